#define BOOST_TEST_MODULE platform
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <future>
#include <set>
#include <thread>

#include "support/mesh.h"

namespace rosemarywinch {
namespace {

using test::BackendStandIn;
using test::ConfigurationText;
using test::kCallTimeout;
using test::kReplicas;
using test::Mesh;
using test::WaitUntil;

// One mesh that all cases share; they run in the order of this file.
struct Fixture {
  Fixture() : shop(mesh.Backend(0)), till(mesh.Backend(1)) {
    BOOST_REQUIRE_EQUAL(mesh.Put(ConfigurationText(3, 0, "k1")), 200);
    BOOST_REQUIRE_EQUAL(mesh.Report(0, "shop", "ready", 1), 200);
    BOOST_REQUIRE_EQUAL(mesh.Report(1, "till", "ready", 1), 200);
    BOOST_REQUIRE(WaitUntil([&] {
      return mesh.StatusOf(mesh.Callers(0),
                           Mesh::Request("/pay/1", "warm", "k1")) == 200;
    }));
  }
  Mesh mesh;
  BackendStandIn shop;
  BackendStandIn till;
  int sequence = 1;

  static Fixture& Get() {
    static Fixture fixture;
    // Without new reports, the nodes would take the backend servers for gone.
    ++fixture.sequence;
    fixture.mesh.Report(0, "shop", "ready", fixture.sequence);
    fixture.mesh.Report(1, "till", "ready", fixture.sequence);
    return fixture;
  }
};

// Limit of the time for which a withdrawn key may still be accepted.
constexpr int kRevokeMs = 5'000;

// Reports the second process of the backend server `till`, which
// leaving_backend_server_receives_no_requests starts.
void ReportSecondTill(Fixture& fixture) {
  fixture.mesh.Report(1, "till", "ready", ++fixture.sequence, /*born=*/6);
}

// Sends requests to node 0, one after the other over kept connections, until
// `stopped` or the node accepts none. Returns the ids of those without an
// answer.
std::vector<std::string> SendUntil(const Mesh& mesh,
                                   const std::atomic<bool>& stopped,
                                   const std::string& prefix) {
  std::vector<std::string> lost;
  CurlChannel channel;
  for (int i = 0; !stopped; ++i) {
    const std::string id = prefix + std::to_string(i);
    const HttpResult result =
        channel.Send(mesh.Callers(0), Mesh::Request("/pay/l", id, "k3"),
                     {kCallTimeout, false, {}});
    if (!std::holds_alternative<HttpResponse>(result)) {
      lost.push_back(id);
    }
    if (std::holds_alternative<NotSent>(result)) {
      break;
    }
  }
  return lost;
}

}  // namespace

BOOST_AUTO_TEST_CASE(request_is_forwarded_with_account_headers) {
  Fixture& fixture = Fixture::Get();
  const HttpResult result = fixture.mesh.Send(
      fixture.mesh.Callers(0), Mesh::Request("/pay/2?x=1", "id-2", "k1"));
  const auto* response = std::get_if<HttpResponse>(&result);
  BOOST_REQUIRE(response != nullptr);
  BOOST_TEST(response->status == 200);
  BOOST_TEST(response->body == "answer to id-2");
  const HttpRequest received = fixture.till.Received().back();
  BOOST_TEST(received.target == "/pay/2?x=1");
  BOOST_TEST(*received.headers.Find("Host") == "a.example");
  BOOST_TEST(*received.headers.Find("X-Tenant-Name") == "ann");
  BOOST_TEST(*received.headers.Find("X-Caller-Service") == "shop");
  BOOST_TEST(*received.headers.Find("X-Expect-Instance") == "i-1");
  BOOST_TEST((received.headers.Find("Authorization") == nullptr));
  BOOST_TEST(std::stoi(*received.headers.Find("X-Deadline-Ms")) <= 3000);
}

BOOST_AUTO_TEST_CASE(refusals_have_distinct_statuses) {
  Fixture& fixture = Fixture::Get();
  const auto status = [&](const std::string& path, const std::string& key) {
    return fixture.mesh.StatusOf(fixture.mesh.Callers(0),
                                 Mesh::Request(path, "id-3", key));
  };
  BOOST_TEST(status("/pay/3", "other") == 401);
  BOOST_TEST(status("/none/3", "k1") == 404);
  BOOST_TEST(fixture.mesh.Put("{\"version\":") == 400);
  BOOST_TEST(fixture.mesh.Put(ConfigurationText(9, 1, "k1")) == 412);
  BOOST_TEST(fixture.mesh.Put(ConfigurationText(3, 0, "k1")) == 200);
}

// Failure: a body of the largest size was held in so many copies that a node
// used more than its memory.
BOOST_AUTO_TEST_CASE(a_body_of_the_largest_size_fits_in_memory) {
  constexpr size_t kLargestBody = 67'108'864;
  constexpr uint64_t kMemoryMegabytes = 260;
  Fixture& fixture = Fixture::Get();
  HttpRequest request = Mesh::Request("/pay/up", "id-large", "k1");
  request.method = "POST";
  request.body = std::string(kLargestBody, 'x');
  BOOST_TEST(fixture.mesh.StatusOf(fixture.mesh.Callers(0), request) == 200);
  for (const auto& node : fixture.mesh.nodes) {
    BOOST_TEST_MESSAGE("node used " << node->PeakMegabytes() << " MB");
    BOOST_TEST(node->PeakMegabytes() < kMemoryMegabytes);
  }
}

// Pattern: one odd entry of another writer ends all processes that read it, one
// after the other.
BOOST_AUTO_TEST_CASE(odd_documents_end_no_process) {
  Fixture& fixture = Fixture::Get();
  Mesh& mesh = fixture.mesh;
  constexpr size_t kLevels = 200'000;
  const std::string nested =
      std::string(kLevels, '[') + std::string(kLevels, ']');
  const std::string report = R"({"service":"till","address":")" +
                             mesh.Backend(1) +
                             R"(","state":"ready","sequence":99,"slots":)";
  for (int i = 1; i <= kReplicas; ++i) {
    const int status =
        mesh.StatusOf(mesh.OperatorAddress(i),
                      HttpRequestBuilder("PUT", "/configuration")
                          .Body("{\"version\":9,\"x\":" + nested + "}")
                          .Build());
    BOOST_TEST(status == 400);
  }
  for (const std::string& odd : {nested, std::string("4294967412"),
                                 std::string("1e400"), std::string("-1")}) {
    BOOST_TEST(
        mesh.StatusOf(mesh.Local(1), HttpRequestBuilder("PUT", "/backends/i-9")
                                         .Body(report + odd + "}")
                                         .Build()) == 400);
  }
  for (const auto& [number, control] : mesh.controls) {
    BOOST_TEST(control->IsRunning());
  }
  for (const auto& node : mesh.nodes) {
    BOOST_TEST(node->IsRunning());
  }
  BOOST_TEST(mesh.StatusOf(mesh.Callers(0),
                           Mesh::Request("/pay/8", "id-8", "k1")) == 200);
}

BOOST_AUTO_TEST_CASE(response_with_wrong_request_id_is_dropped) {
  Fixture& fixture = Fixture::Get();
  fixture.till.wrong_id = true;
  const HttpResult result = fixture.mesh.Send(
      fixture.mesh.Callers(0), Mesh::Request("/pay/4", "id-4", "k1"));
  fixture.till.wrong_id = false;
  const auto* response = std::get_if<HttpResponse>(&result);
  BOOST_REQUIRE(response != nullptr);
  BOOST_TEST(response->status >= 500);
  BOOST_TEST((response->headers.Find("X-Server-Seal") == nullptr));
}

// Failure: an answer whose status is none of HTTP reached the client.
BOOST_AUTO_TEST_CASE(response_that_is_no_http_is_an_unknown_outcome) {
  Fixture& fixture = Fixture::Get();
  for (const int status : {0, 99, 999}) {
    const size_t before = fixture.till.Received().size();
    fixture.till.status = status;
    const HttpResult result = fixture.mesh.Send(
        fixture.mesh.Callers(0),
        Mesh::Request("/pay/9", "id-" + std::to_string(status), "k1"));
    fixture.till.status = 200;
    const auto* response = std::get_if<HttpResponse>(&result);
    BOOST_REQUIRE(response != nullptr);
    BOOST_TEST(response->status == 502);
    BOOST_TEST((response->headers.Find("X-Server-Seal") == nullptr));
    // The request may have run, and may do so once at most.
    BOOST_TEST(fixture.till.Received().size() == before + 1);
  }
}

BOOST_AUTO_TEST_CASE(caller_disconnect_cancels_backend_request) {
  Fixture& fixture = Fixture::Get();
  fixture.till.delay_ms = 2'500;
  const int before = fixture.till.abandoned;
  static_cast<void>(fixture.mesh.channel.Send(
      fixture.mesh.Callers(0), Mesh::Request("/pay/5", "id-5", "k1"),
      {Duration{300}, true, {}}));
  BOOST_TEST(WaitUntil([&] { return fixture.till.abandoned > before; },
                       std::chrono::milliseconds(2'000)));
  fixture.till.delay_ms = 0;
}

// A request whose deadline passes while it waits in the queue has not run. Its
// caller must be told so (503, not 504), because it may then send it again.
BOOST_AUTO_TEST_CASE(request_expired_in_queue_is_reported_as_not_run) {
  Fixture& fixture = Fixture::Get();
  constexpr int kSlotsInUse = 3;
  fixture.till.delay_ms = 3'500;
  const size_t before = fixture.till.Received().size();
  std::vector<std::future<int>> statuses;
  for (int i = 0; i < kSlotsInUse; ++i) {
    statuses.push_back(std::async(std::launch::async, [&fixture, i] {
      CurlChannel channel;
      const HttpResult result = channel.Send(
          fixture.mesh.Callers(0),
          Mesh::Request("/pay/5", "busy-" + std::to_string(i), "k1"),
          {kCallTimeout, true, {}});
      const auto* response = std::get_if<HttpResponse>(&result);
      return response == nullptr ? 0 : response->status;
    }));
  }
  BOOST_REQUIRE(WaitUntil(
      [&] { return fixture.till.Received().size() == before + kSlotsInUse; }));
  BOOST_TEST(fixture.mesh.StatusOf(fixture.mesh.Callers(0),
                                   Mesh::Request("/pay/5", "waits", "k1")) ==
             503);
  for (auto& status : statuses) {
    BOOST_TEST(status.get() == 504);
  }
  BOOST_TEST(fixture.till.Received().size() == before + kSlotsInUse);
  fixture.till.delay_ms = 0;
}

BOOST_AUTO_TEST_CASE(leaving_backend_server_receives_no_requests) {
  Fixture& fixture = Fixture::Get();
  BOOST_REQUIRE_EQUAL(
      fixture.mesh.Report(1, "till", "leaving", ++fixture.sequence), 200);
  const size_t before = fixture.till.Received().size();
  BOOST_TEST(fixture.mesh.StatusOf(fixture.mesh.Callers(0),
                                   Mesh::Request("/pay/6", "id-6", "k1")) ==
             503);
  BOOST_TEST(fixture.till.Received().size() == before);
  // Starts a new backend server process (new id and birth time) for the cases
  // that follow.
  const Json report{{"service", "till"}, {"address", fixture.mesh.Backend(1)},
                    {"state", "ready"},  {"slots", 4},
                    {"sequence", 1},     {"born", 6}};
  BOOST_TEST(fixture.mesh.StatusOf(fixture.mesh.Local(1),
                                   HttpRequestBuilder("PUT", "/backends/i-2")
                                       .Body(report.dump())
                                       .Build()) == 200);
  BOOST_TEST(WaitUntil([&] {
    return fixture.mesh.StatusOf(fixture.mesh.Callers(0),
                                 Mesh::Request("/pay/7", "id-7", "k1")) == 200;
  }));
}

BOOST_AUTO_TEST_CASE(accepted_configuration_survives_kill_of_all_replicas) {
  Fixture& fixture = Fixture::Get();
  const std::string second = ConfigurationText(8, 3, "k2");
  BOOST_REQUIRE_EQUAL(fixture.mesh.Put(second), 200);
  for (auto& [i, control] : fixture.mesh.controls) {
    control->Signal(SIGKILL);
    control->Wait();
  }
  for (int i = 1; i <= kReplicas; ++i) {
    fixture.mesh.StartControl(i, /*founding=*/false);
  }
  BOOST_TEST(fixture.mesh.Get() == second);
}

BOOST_AUTO_TEST_CASE(withdrawn_key_is_refused) {
  Fixture& fixture = Fixture::Get();
  BOOST_TEST(WaitUntil([&] {
    const int status = fixture.mesh.StatusOf(
        fixture.mesh.Callers(0), Mesh::Request("/pay/8", "id-8", "k1"));
    return status == 401;
  }));
}

// Pattern: a process that was paused acts on a permission that has run out
// meanwhile.
BOOST_AUTO_TEST_CASE(a_node_that_was_paused_accepts_no_withdrawn_key) {
  Fixture& fixture = Fixture::Get();
  Mesh& mesh = fixture.mesh;
  ReportSecondTill(fixture);
  BOOST_REQUIRE(WaitUntil([&] {
    return mesh.StatusOf(mesh.Callers(0),
                         Mesh::Request("/pay/8", "id-8", "k2")) == 200;
  }));
  mesh.nodes[0]->Signal(SIGSTOP);
  BOOST_REQUIRE_EQUAL(mesh.Put(ConfigurationText(12, 8, "k3")), 200);
  std::this_thread::sleep_for(std::chrono::milliseconds(kRevokeMs));
  const size_t before = fixture.till.Received().size();
  auto status = std::async(std::launch::async, [&] {
    return mesh.StatusOf(mesh.Callers(0),
                         Mesh::Request("/pay/8", "id-8", "k2"));
  });
  // The request waits in the socket until the node goes on.
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  mesh.nodes[0]->Signal(SIGCONT);
  const int refused = status.get();
  BOOST_TEST((refused == 401 || refused == 503));
  BOOST_TEST(fixture.till.Received().size() == before);
}

// Pattern: after a restart, a key that was withdrawn is in use again.
BOOST_AUTO_TEST_CASE(a_restarted_node_accepts_no_withdrawn_key) {
  Fixture& fixture = Fixture::Get();
  Mesh& mesh = fixture.mesh;
  mesh.nodes[0]->Signal(SIGKILL);
  mesh.nodes[0]->Wait();
  mesh.StartNode(0, "shop");
  int withdrawn = 0;
  const size_t before = fixture.till.Received().size();
  BOOST_TEST(WaitUntil([&] {
    withdrawn =
        mesh.StatusOf(mesh.Callers(0), Mesh::Request("/pay/8", "id-8", "k2"));
    return withdrawn == 401 || withdrawn == 200;
  }));
  BOOST_TEST(withdrawn == 401);
  BOOST_TEST(fixture.till.Received().size() == before);
  ReportSecondTill(fixture);
  BOOST_TEST(WaitUntil([&] {
    return mesh.StatusOf(mesh.Callers(0),
                         Mesh::Request("/pay/8", "id-8", "k3")) == 200;
  }));
}

// Failure: after the last client account was taken out of the configuration,
// its key and any other were accepted for good.
BOOST_AUTO_TEST_CASE(the_key_of_the_last_account_is_withdrawn) {
  Fixture& fixture = Fixture::Get();
  Mesh& mesh = fixture.mesh;
  Json emptied = Json::parse(ConfigurationText(15, 12, "k3"));
  emptied["accounts"] = Json::object();
  BOOST_REQUIRE_EQUAL(mesh.Put(emptied.dump()), 200);
  for (const char* key : {"k3", "unknown"}) {
    BOOST_TEST(WaitUntil([&] {
      return mesh.StatusOf(mesh.Callers(0),
                           Mesh::Request("/pay/8", "id-8", key)) == 401;
    }));
  }
  BOOST_REQUIRE_EQUAL(mesh.Put(ConfigurationText(18, 15, "k3")), 200);
  ReportSecondTill(fixture);
  BOOST_TEST(WaitUntil([&] {
    return mesh.StatusOf(mesh.Callers(0),
                         Mesh::Request("/pay/8", "id-8", "k3")) == 200;
  }));
}

// Pattern: during a planned stop under load, requests that have just been
// accepted are cut off.
BOOST_AUTO_TEST_CASE(a_planned_stop_under_load_cuts_no_request_off) {
  Fixture& fixture = Fixture::Get();
  Mesh& mesh = fixture.mesh;
  ReportSecondTill(fixture);
  fixture.till.delay_ms = 60;
  constexpr int kClients = 8;
  std::atomic<bool> stopped = false;
  std::vector<std::future<std::vector<std::string>>> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.push_back(std::async(std::launch::async, [&, i] {
      return SendUntil(mesh, stopped, "load-" + std::to_string(i) + "-");
    }));
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  mesh.nodes[0]->Signal(SIGTERM);
  BOOST_TEST(mesh.nodes[0]->Wait() == 0);
  stopped = true;
  std::set<std::string> ran;
  for (const HttpRequest& request : fixture.till.Received()) {
    ran.insert(*request.headers.Find("X-Request-Id"));
  }
  for (auto& client : clients) {
    for (const std::string& id : client.get()) {
      BOOST_TEST(!ran.contains(id), id << " ran and was not answered");
    }
  }
  fixture.till.delay_ms = 0;
  mesh.StartNode(0, "shop");
}

BOOST_AUTO_TEST_CASE(graceful_shutdown_finishes_requests_in_progress) {
  Fixture& fixture = Fixture::Get();
  ReportSecondTill(fixture);
  const auto request = Mesh::Request("/pay/9", "id-9", "k3");
  BOOST_REQUIRE(WaitUntil([&] {
    return fixture.mesh.StatusOf(fixture.mesh.Callers(0), request) == 200;
  }));
  fixture.till.delay_ms = 1'500;
  const size_t before = fixture.till.Received().size();
  // The node may still shed load of the case before, so the caller returns
  // until its request is taken. It does not return after the stop has begun.
  std::atomic<bool> stopping = false;
  auto status = std::async(std::launch::async, [&] {
    int last = 0;
    do {
      last = fixture.mesh.StatusOf(fixture.mesh.Callers(0), request);
    } while (last == 503 && !stopping);
    return last;
  });
  const bool sent =
      WaitUntil([&] { return fixture.till.Received().size() > before; });
  stopping = true;
  if (!sent) {
    BOOST_FAIL("not sent, but answered " << status.get());
  }
  fixture.mesh.nodes[0]->Signal(SIGTERM);
  BOOST_TEST(status.get() == 200);
  BOOST_TEST(fixture.mesh.nodes[0]->Wait() == 0);
}

}  // namespace rosemarywinch
