#define BOOST_TEST_MODULE process_evacuation
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <thread>

#include "support/mesh.h"

using namespace rosemarywinch;
using test::BackendStandIn;
using test::kReplicas;
using test::Mesh;
using test::WaitUntil;

namespace {

// Time after the acknowledgement of an order from which on no request may reach
// the data centre.
constexpr std::chrono::milliseconds kBound{5'000};

// Nodes 0 (shop) and 1 (till) in data centre dc, node 2 (till) in dc-b.
struct Fixture {
  Fixture() {
    mesh.StartNode(2, "till", "dc-b");
    Json document = Json::parse(test::ConfigurationText(1, 0, "k1"));
    // Open, so that the rate of the account does not matter.
    document["routes"]["r-pay"]["open"] = true;
    BOOST_REQUIRE_EQUAL(mesh.Put(document.dump()), 200);
    BOOST_REQUIRE(WaitUntil([&] { return Send() == 200; }));
  }

  // Reports all backend servers, as they do at intervals, and sends a request
  // to the node in dc.
  int Send() {
    ++sequence;
    mesh.Report(0, "shop", "ready", sequence);
    mesh.Report(1, "till", "ready", sequence);
    mesh.Report(2, "till", "ready", sequence);
    return mesh.StatusOf(
        mesh.Callers(0),
        Mesh::Request("/pay/1", "r-" + std::to_string(sequence), "k1"));
  }

  int Order(int replica, const char* method, const std::string& data_centre) {
    return mesh.StatusOf(
        mesh.OperatorAddress(replica),
        HttpRequestBuilder(method, "/evacuations/" + data_centre).Build());
  }

  // Sends an order to all replicas in turn until one answers it for good, and
  // returns that status.
  int Order(const char* method, const std::string& data_centre) {
    int status = 0;
    BOOST_REQUIRE(WaitUntil([&] {
      for (leader = 1; leader <= kReplicas; ++leader) {
        status = Order(leader, method, data_centre);
        if (status != 0 && status != 307 && status != 503) {
          return true;
        }
      }
      return false;
    }));
    return status;
  }

  void CheckNoneArrives() {
    const size_t before = local.Received().size();
    for (int i = 0; i < 20; ++i) {
      BOOST_TEST(Send() == 200);
    }
    BOOST_TEST(local.Received().size() == before);
  }

  Mesh mesh;
  BackendStandIn shop{mesh.Backend(0)};
  BackendStandIn local{mesh.Backend(1)};
  BackendStandIn remote{mesh.Backend(2)};
  int sequence = 0;
  int leader = 0;
};

}  // namespace

// Failures: requests reach an evacuated data centre after the bound; the order
// is lost with the leader or with the power of all replicas; traffic does not
// return after the order is withdrawn.
BOOST_FIXTURE_TEST_CASE(an_evacuation_holds_until_it_is_withdrawn, Fixture) {
  BOOST_TEST(Order("PUT", "nowhere") == 400);
  const size_t before = local.Received().size();
  BOOST_REQUIRE(WaitUntil([&] {
    Send();
    return local.Received().size() > before;
  }));
  BOOST_TEST(Order("PUT", "dc") == 200);
  const auto bound = std::chrono::steady_clock::now() + kBound;
  while (std::chrono::steady_clock::now() < bound) {
    BOOST_TEST(Send() == 200);
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  CheckNoneArrives();
  BOOST_TEST(Order("PUT", "dc") == 200);
  const int killed = leader;
  mesh.controls[killed]->Signal(SIGKILL);
  mesh.controls[killed]->Wait();
  CheckNoneArrives();
  BOOST_TEST(Order("PUT", "dc") == 200);
  CheckNoneArrives();
  mesh.StartControl(killed, /*founding=*/false);
  for (auto& [i, control] : mesh.controls) {
    control->Signal(SIGKILL);
    control->Wait();
    mesh.StartControl(i, /*founding=*/false);
  }
  BOOST_TEST(Order("PUT", "dc-b") == 409);
  BOOST_REQUIRE(WaitUntil([&] { return Send() == 200; }));
  CheckNoneArrives();
  const size_t evacuated = local.Received().size();
  BOOST_TEST(Order("DELETE", "dc") == 200);
  BOOST_TEST(WaitUntil([&] {
    Send();
    return local.Received().size() > evacuated;
  }));
}
