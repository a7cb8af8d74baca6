#define BOOST_TEST_MODULE path
#include <boost/test/unit_test.hpp>

#include <atomic>
#include <thread>

#include "support/fleet.h"

namespace rosemarywinch {
namespace {

using test::Fleet;

// Two services on four nodes; `shop` calls `stock`.
struct TwoServicesFixture {
  TwoServicesFixture() {
    for (int i = 0; i < 4; ++i) {
      fleet.StartNode();
    }
    for (size_t i : {0u, 1u}) {
      fleet.StartBackend(i, "shop",
                         {"--call", "GET:/stock/level", "--record",
                          fleet.folder.At("seen" + std::to_string(i))});
    }
    for (size_t i : {2u, 3u}) {
      fleet.StartBackend(
          i, "stock",
          {"--record", fleet.folder.At("seen" + std::to_string(i))});
    }
    BOOST_REQUIRE(fleet.RetryOperatorCommand(
        {"tree",         "set",           "/shop/list",  "path_prefix",
         "/list",        "/shop/book",    "path_prefix", "/book",
         "/shop/book",   "request_class", "booking",     "/shop/book",
         "max_body",     "1000",          "/shop/front", "path_prefix",
         "/front",       "/shop/front",   "access",      "open",
         "/stock/level", "path_prefix",   "/level",      "/",
         "rate",         "5000",          "/",           "burst",
         "5000"}));
    BOOST_REQUIRE(fleet.WaitForNodes());
    BOOST_REQUIRE(test::WaitUntil([&] { return fleet.ReadyMembers() == 4; }));
    key = fleet.GiveKey("acme");
    BOOST_REQUIRE(key.size() == 85u);
  }

  std::string Seen() {
    std::string all;
    for (int i = 0; i < 4; ++i) {
      std::ifstream file(fleet.folder.At("seen" + std::to_string(i)));
      all += std::string(std::istreambuf_iterator<char>(file), {});
    }
    return all;
  }

  Fleet fleet;
  std::string key;
};

std::string HeaderOf(const HttpResponse& response, const std::string& name) {
  const std::string* value = response.headers.Find(name);
  return value == nullptr ? "" : *value;
}

BOOST_FIXTURE_TEST_CASE(valid_and_invalid_requests, TwoServicesFixture) {
  // Every node serves the request, including its nested call.
  for (size_t node = 0; node < 4; ++node) {
    const HttpResponse answer = fleet.Get(node, "/shop/list/7?x=1", key);
    BOOST_TEST(answer.status == 200);
    BOOST_TEST(answer.body == "done /list/7\n");
    BOOST_TEST(HeaderOf(answer, "X-Request-Outcome") == "ran");
  }
  // No key, wrong key, unknown route, key in the query string, and an open
  // route.
  const auto refusal = [&](const HttpResponse& response) {
    return std::to_string(response.status) + " " +
           HeaderOf(response, "X-Refusal-Reason") + " " +
           HeaderOf(response, "X-Request-Outcome");
  };
  BOOST_TEST(refusal(fleet.Get(0, "/shop/list", "")) == "401 E201 not-run");
  std::string wrong = key;
  wrong.back() = wrong.back() == 'a' ? 'b' : 'a';
  BOOST_TEST(refusal(fleet.Get(0, "/shop/list", wrong)) == "401 E202 not-run");
  BOOST_TEST(refusal(fleet.Get(0, "/none/x", key)) == "404 E204 not-run");
  BOOST_TEST(refusal(fleet.Get(0, "/shop/list?k=" + key, "")) ==
             "400 E203 not-run");
  BOOST_TEST(fleet.Get(1, "/shop/front", "").status == 200);
  // Invalid timeout, body over the route's limit, headers over the limit.
  HttpRequest request;
  request.path = "/shop/list";
  request.headers.Add("Authorization", "Bearer " + key);
  request.headers.Add("X-Request-Timeout-Ms", "soon");
  BOOST_TEST(refusal(Fleet::ResponseOf(fleet.Send(
                 fleet.AddressOf(0), request))) == "400 E207 not-run");
  HttpRequest large;
  large.method = "POST";
  large.path = "/shop/book";
  large.headers.Add("Authorization", "Bearer " + key);
  large.body = std::string(1001, 'x');
  const HttpResponse too_large =
      Fleet::ResponseOf(fleet.Send(fleet.AddressOf(0), large));
  BOOST_TEST(refusal(too_large) == "413 E205 not-run");
  BOOST_TEST(HeaderOf(too_large, "X-Refusal-Level") == "/shop/book");
  HttpRequest large_headers;
  large_headers.path = "/shop/list";
  large_headers.headers.Add("X-Long", std::string(64 * 1024, 'x'));
  BOOST_TEST(
      Fleet::ResponseOf(fleet.Send(fleet.AddressOf(0), large_headers)).status ==
      431);
  // A chunked body arrives complete, whether it passes through one node or two.
  for (size_t node : {0u, 1u, 2u}) {
    HttpRequest chunked;
    chunked.method = "POST";
    chunked.path = "/shop/list";
    chunked.headers.Add("Authorization", "Bearer " + key);
    chunked.headers.Add("Transfer-Encoding", "chunked");
    chunked.body = "sent in chunks";
    const HttpResponse answer =
        Fleet::ResponseOf(fleet.Send(fleet.AddressOf(node), chunked));
    BOOST_TEST(answer.status == 200);
    BOOST_TEST(HeaderOf(answer, "X-Echo") == "sent in chunks");
  }
  // A booking runs once, whichever node the retry goes to.
  std::string id;
  const HttpResponse booked = fleet.Post(0, "/shop/book", key, id);
  BOOST_TEST(booked.status == 200);
  const HttpResponse again = fleet.Post(3, "/shop/book", key, id);
  BOOST_TEST(again.body == booked.body);
  const int runs =
      fleet.Stats(0)["ids"].get<int>() + fleet.Stats(1)["ids"].get<int>();
  BOOST_TEST(runs == 1);
  // The explanation for operators, and the metrics.
  const std::string request_id = HeaderOf(booked, "X-Request-Id");
  const auto explained =
      fleet.RunOperatorCommand({"status", "--why", request_id, "--node",
                                fleet.AddressOf(0, "local_port")});
  BOOST_TEST(explained.output.find("\"outcome\":\"ran\"") != std::string::npos);
  HttpRequest metrics;
  metrics.path = "/metrics";
  const std::string text =
      Fleet::ResponseOf(fleet.Send(fleet.AddressOf(0, "local_port"), metrics))
          .body;
  BOOST_TEST(text.find("rosemarywinch_request_seconds_bucket{account=\"acme\","
                       "class=\"booking\"") != std::string::npos);
  // The key never reached a backend server, in a header or anywhere else.
  const std::string seen = Seen();
  BOOST_TEST(seen.find("/list/7") != std::string::npos);
  BOOST_TEST(seen.find(key.substr(21)) == std::string::npos);
  BOOST_TEST(seen.find("Authorization") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(large_response_is_complete_under_load) {
  Fleet fleet(1);
  fleet.StartNode();
  fleet.StartNode();
  constexpr size_t kLarge = 8 * 1024 * 1024;
  fleet.StartBackend(0, "big", {"--answer-bytes", std::to_string(kLarge)});
  fleet.StartBackend(1, "small", {"--slots", "300", "--service-ms", "100"});
  BOOST_REQUIRE(
      fleet.RetryOperatorCommand({"tree", "set", "/big/all", "access", "open",
                                  "/small/all", "access", "open"}));
  BOOST_REQUIRE(fleet.WaitForNodes());
  BOOST_REQUIRE(test::WaitUntil([&] { return fleet.ReadyMembers() == 2; }));
  std::atomic<int> answered = 0;
  std::vector<std::thread> threads;
  for (int i = 0; i < 200; ++i) {
    threads.emplace_back([&, i] {
      for (int round = 0; round < 3; ++round) {
        const std::string path = "/small/x" + std::to_string(i);
        const HttpResponse answer =
            fleet.Get(static_cast<size_t>(i % 2), path, "");
        answered += answer.body == "done " + path.substr(6) + "\n" ? 1 : 0;
      }
    });
  }
  for (int i = 0; i < 4; ++i) {
    const HttpResponse large = fleet.Get(1, "/big/file", "");
    BOOST_TEST(large.body.size() == kLarge);
    BOOST_TEST(large.body.starts_with("done /file\n"));
    BOOST_TEST(large.body.find_first_not_of('x', 11) == std::string::npos);
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  BOOST_TEST(answered == 600);
}

BOOST_AUTO_TEST_CASE(startup_errors_and_malformed_messages_are_reported) {
  Fleet fleet(1);
  BOOST_REQUIRE(fleet.WaitForLeader());
  const std::string port = fleet.controls.at(1).Field("port");
  const auto taken = fleet.RunOperatorCommand({"node", "--port", port});
  BOOST_TEST(taken.code == 69);
  BOOST_TEST(taken.output.find("E401") != std::string::npos);
  const auto unwritable = fleet.RunOperatorCommand(
      {"control", "--replica-id", "1", "--data-folder", "/proc/nowhere"});
  BOOST_TEST(unwritable.output.find("E402") != std::string::npos);
  const auto unknown = fleet.RunOperatorCommand({"node", "--prot", "1"});
  BOOST_TEST(unknown.code == 64);
  BOOST_TEST(unknown.output.find("--port") != std::string::npos);
  // Malformed messages and those of another protocol version are rejected.
  HttpRequest request;
  request.method = "POST";
  request.path = "/rpc";
  request.body = R"({"id":1,"method":"node.poll","params":{"term":"x"}})";
  const std::string address = "127.0.0.1:" + port;
  BOOST_TEST(Fleet::ResponseOf(fleet.Send(address, request))
                 .body.find("\"code\":307") != std::string::npos);
  request.body =
      R"({"id":1,"method":"node.poll","params":{"protocol_version":9}})";
  BOOST_TEST(Fleet::ResponseOf(fleet.Send(address, request))
                 .body.find("\"code\":306") != std::string::npos);
}

}  // namespace
}  // namespace rosemarywinch
