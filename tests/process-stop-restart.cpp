#define BOOST_TEST_MODULE stop_restart
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <thread>

#include "support/mesh.h"

// Pattern: processes of the mesh are stopped as planned, or killed and started
// again, while messages of before still arrive.

namespace rosemarywinch {
namespace {

using test::BackendStandIn;
using test::ConfigurationText;
using test::Mesh;
using test::WaitUntil;

// Longer than a change of a backend server's state needs to reach all nodes.
constexpr std::chrono::milliseconds kPropagation{3'000};

// Two nodes; the backend server `till` beside node 1 serves the requests that
// node 0 accepts.
struct Fixture {
  Fixture() : shop(mesh.Backend(0)), till(mesh.Backend(1)) {
    BOOST_REQUIRE_EQUAL(mesh.Put(ConfigurationText(3, 0, "k1")), 200);
    BOOST_REQUIRE_EQUAL(mesh.Report(0, "shop", "ready", 1), 200);
    BOOST_REQUIRE_EQUAL(mesh.Report(1, "till", "ready", 1), 200);
    BOOST_REQUIRE(WaitUntil([&] { return StatusOf("warm") == 200; }));
  }

  int StatusOf(const std::string& id) {
    return mesh.StatusOf(mesh.Callers(0), Mesh::Request("/pay/1", id, "k1"));
  }

  // Number of requests that the backend server `till` received as `instance`.
  size_t ReceivedAs(const std::string& instance) {
    const std::vector<HttpRequest> received = till.Received();
    return static_cast<size_t>(std::count_if(
        received.begin(), received.end(), [&](const HttpRequest& request) {
          return *request.headers.Find("X-Expect-Instance") == instance;
        }));
  }

  // Sends requests, one after the other, for kPropagation.
  void SendForAWhile() {
    const auto end = std::chrono::steady_clock::now() + kPropagation;
    for (int i = 0; std::chrono::steady_clock::now() < end; ++i) {
      StatusOf("while-" + std::to_string(i));
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
  }

  void Restart(size_t node, const std::string& service) {
    mesh.nodes[node]->Signal(SIGKILL);
    mesh.nodes[node]->Wait();
    mesh.StartNode(node, service);
  }

  Mesh mesh;
  BackendStandIn shop;
  BackendStandIn till;
};

}  // namespace

// Failure: a backend server had deregistered, its node was restarted, and a
// report that came late put it in use again.
BOOST_FIXTURE_TEST_CASE(a_departed_backend_server_stays_departed, Fixture) {
  BOOST_REQUIRE_EQUAL(mesh.Withdraw(1), 200);
  Restart(1, "till");
  BOOST_REQUIRE(
      WaitUntil([&] { return mesh.Report(1, "till", "ready", 2) == 200; }));
  std::this_thread::sleep_for(kPropagation);
  const size_t before = ReceivedAs("i-1");
  mesh.Report(1, "till", "ready", 3);
  SendForAWhile();
  BOOST_TEST(ReceivedAs("i-1") == before);
  BOOST_REQUIRE_EQUAL(mesh.Report(1, "till", "ready", 1, /*born=*/6), 200);
  BOOST_TEST(WaitUntil([&] { return StatusOf("next") == 200; }));
  BOOST_TEST(ReceivedAs("i-2") > 0u);
}

// Failure: the notice came after the restart and before the first report; the
// node acknowledged and forgot it.
BOOST_FIXTURE_TEST_CASE(a_notice_to_a_restarted_node_is_kept, Fixture) {
  Restart(1, "till");
  BOOST_REQUIRE(WaitUntil([&] { return mesh.Withdraw(1) == 200; }));
  const size_t before = ReceivedAs("i-1");
  mesh.Report(1, "till", "ready", 2);
  SendForAWhile();
  BOOST_TEST(ReceivedAs("i-1") == before);
}

// A departure that control can't store isn't acknowledged, and ends the
// backend server's use all the same.
BOOST_FIXTURE_TEST_CASE(a_departure_is_acknowledged_once_it_is_stored,
                        Fixture) {
  for (const auto& [id, control] : mesh.controls) {
    control->Signal(SIGSTOP);
  }
  BOOST_TEST(mesh.Withdraw(1) == 503);
  const size_t before = ReceivedAs("i-1");
  StatusOf("late");
  BOOST_TEST(ReceivedAs("i-1") == before);
  for (const auto& [id, control] : mesh.controls) {
    control->Signal(SIGCONT);
  }
  BOOST_TEST(WaitUntil([&] { return mesh.Withdraw(1) == 200; }));
}

}  // namespace rosemarywinch
