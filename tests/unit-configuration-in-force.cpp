#define BOOST_TEST_MODULE configuration_in_force
#include <boost/test/unit_test.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <future>
#include <thread>

#include "platform/wire_protocol.h"
#include "rosemarywinch/adapters/text_packer.h"
#include "rosemarywinch/programs/mesh/mesh_view.h"
#include "rosemarywinch/programs/mesh/operator_call_handler.h"
#include "support/control.h"
#include "support/mesh.h"

using namespace rosemarywinch;
using test::ConfigurationText;
using test::WaitUntil;

namespace {

constexpr int kOk = 200;
constexpr int kUnavailable = 503;
// Longer than the test, so that only confirmations put a version in force.
constexpr Duration kLease{600'000};

// The only replica of a cluster. Its nodes are played by the test.
class Control {
 public:
  Control() { m_replica.WaitForLeader(); }
  ~Control() {
    m_context.stop();
    m_thread.join();
  }

  // Begins to put a configuration.
  std::future<int> BeginPut(int version, int base) {
    return asio::co_spawn(
        m_context,
        [this, version, base]() -> asio::awaitable<int> {
          const HttpResponse response = co_await m_handler.Handle(
              HttpRequestBuilder("PUT", "/configuration")
                  .Body(ConfigurationText(version, base, "k"))
                  .Build());
          co_return response.status;
        },
        asio::use_future);
  }

  // Puts a configuration, also again, until it is acknowledged or refused.
  int Put(int version, int base) {
    int status = 0;
    WaitUntil([&] {
      status = BeginPut(version, base).get();
      return status != 503;
    });
    return status;
  }

  // Polls as a node that acts on configuration `held`, 0 for none. Returns the
  // version that it is told to act on.
  uint64_t Poll(const std::string& node, uint64_t held, bool small = false) {
    PollRequest request;
    request.tokens_only = small;
    request.protocol_version = consensus::kProtocolVersion;
    request.node = node;
    request.configuration_version = held;
    return m_replica.Poll(request).configuration_version;
  }

 private:
  test::ControlReplica m_replica{{.lease = kLease}};
  WireProtocol m_protocol;
  OperatorCallHandler m_handler{
      1, 1, m_protocol, m_replica.service, m_replica.driver, m_replica.clock};
  asio::io_context m_context;
  asio::executor_work_guard<asio::io_context::executor_type> m_work{
      m_context.get_executor()};
  std::thread m_thread{[this] { m_context.run(); }};
};

}  // namespace

// Failure: a configuration was acknowledged while nodes acted on the one before
// it, and was not in force in time where their polls were held up.
BOOST_AUTO_TEST_CASE(no_acknowledgement_while_a_node_acts_on_an_older_version) {
  Control control;
  BOOST_TEST(control.Put(4, 0) == kOk);
  BOOST_TEST(control.Poll("late", 4) == 4u);
  std::future<int> answer = control.BeginPut(6, 4);
  BOOST_REQUIRE(WaitUntil([&] { return control.Poll("quick", 6) == 6u; }));
  BOOST_TEST(answer.get() == kUnavailable);
  BOOST_TEST(control.Poll("late", 6) == 6u);
  BOOST_TEST(control.Put(6, 4) == kOk);
}

// The polls for tokens in between report no loads, so that they may follow each
// other at short intervals.
BOOST_AUTO_TEST_CASE(a_small_poll_confirms_a_configuration) {
  Control control;
  BOOST_TEST(control.Put(4, 0) == kOk);
  control.Poll("node", 4);
  BOOST_TEST(control.BeginPut(6, 4).get() == kUnavailable);
  control.Poll("node", 6, /*small=*/true);
  BOOST_TEST(control.Put(6, 4) == kOk);
}

// A node that has started anew acts on no version until it is answered.
BOOST_AUTO_TEST_CASE(a_node_without_a_configuration_delays_no_acknowledgement) {
  Control control;
  BOOST_TEST(control.Put(4, 0) == kOk);
  control.Poll("node", 4);
  BOOST_TEST(control.BeginPut(6, 4).get() == kUnavailable);
  control.Poll("node", 0);
  BOOST_TEST(control.Put(6, 4) == kOk);
}

// Failure: a node told control that it had reached a version of the fleet's
// state whose configuration it did not act on.
BOOST_AUTO_TEST_CASE(a_node_confirms_only_what_it_acts_on) {
  test::FakeClock clock;
  test::SeededRandom random(1);
  MeshView view("dc", clock, random);
  PollResponse response;
  response.lease = {3'000};
  response.config_version = 10;
  response.configuration_version = 4;
  response.configuration =
      PackedDocument{0, *Pack(ConfigurationText(4, 0, "k"), "")};
  BOOST_REQUIRE(view.ApplyPoll(clock.now, response));
  response.config_version = 11;
  response.configuration_version = 6;
  BOOST_REQUIRE(view.ApplyPoll(clock.now, response));
  PollRequest request;
  view.FillPoll(request);
  BOOST_TEST(request.configuration_version == 4u);
  BOOST_TEST(request.config_version == 10u);
}
