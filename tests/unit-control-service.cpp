#define BOOST_TEST_MODULE control_service
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <future>
#include <thread>

#include "rosemarywinch/adapters/system.h"
#include "rosemarywinch/programs/consensus_driver.h"
#include "rosemarywinch/programs/control_service.h"
#include "support/fakes.h"
#include "support/mesh.h"

namespace rosemarywinch {
namespace {

using trompeloeil::_;

// A leader that is the only replica.
class LeaderFixture {
 public:
  explicit LeaderFixture(
      ConfigurationReader::Parser parser = ParseWithoutRoutes)
      : m_parser(std::move(parser)) {
    m_service.Attach(m_driver);
    BOOST_REQUIRE(m_driver.Start());
    while (std::holds_alternative<Error>(
        Capture([&] { return m_driver.ReadAsLeader(); }))) {
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
  }
  ~LeaderFixture() { m_driver.Stop(); }

  PollResponse Poll(const PollRequest& request) {
    const auto outcome = Capture([&] { return m_service.Poll(request); });
    BOOST_REQUIRE(std::holds_alternative<PollResponse>(outcome));
    return std::get<PollResponse>(outcome);
  }

  void PutConfiguration(uint64_t version, const std::string& document) {
    FleetCommand command;
    command.change = rosemarywinch::PutConfiguration{version, 0, document, "f"};
    BOOST_REQUIRE(m_driver.Submit(command, {5'000}));
  }

  // Stores the departures in a poll and waits for that. Returns whether there
  // were any to store.
  bool Store(const PollRequest& request) {
    std::promise<void> stored;
    const bool begun =
        m_service.StoreDepartures(request, [&] { stored.set_value(); });
    if (begun) {
      stored.get_future().wait();
    }
    return begun;
  }

 private:
  static ConsensusDriver::Options Options() {
    ConsensusDriver::Options options;
    options.replica.replica_id = 1;
    options.replica.replica_ids = {1};
    options.replica.heartbeat = {20};
    return options;
  }

  const ConfigurationReader::Parser m_parser;
  test::MockStorage m_storage;
  test::MockTransport m_transport;
  const std::unique_ptr<trompeloeil::expectation> m_recovers =
      NAMED_ALLOW_CALL(m_storage, Recover()).RETURN(RecoveredState{});
  const std::unique_ptr<trompeloeil::expectation> m_saves =
      NAMED_ALLOW_CALL(m_storage, SaveHardState(_)).RETURN(Done{});
  const std::unique_ptr<trompeloeil::expectation> m_appends =
      NAMED_ALLOW_CALL(m_storage, Append(_)).RETURN(Done{});
  SystemClock m_clock;
  SystemRandom m_random;
  ControlService m_service{{3'000}, QuotaTolerance{}, {}, m_parser};
  ConsensusDriver m_driver{Options(), m_clock,     m_random,
                           m_storage, m_transport, m_service};
};

PollRequest RequestOf(const std::string& node) {
  PollRequest request;
  request.protocol_version = consensus::kProtocolVersion;
  request.node = node;
  request.member = {node,    "127.0.0.1:1",        "dc",
                    "books", BackendState::kReady, 4};
  request.services = {{"books", 0}};
  QuotaReport quota;
  quota.account = "a";
  quota.waiting = 1;
  request.quotas = {quota};
  return request;
}

// Failure: a departure was acknowledged that no later process could know.
BOOST_AUTO_TEST_CASE(a_departure_is_in_the_poll_after_it_was_stored) {
  LeaderFixture leader;
  PollRequest request = RequestOf("n1");
  BOOST_TEST(!leader.Poll(request).departures_known);
  request.departures = {{"i-1", Duration{1'000}}};
  BOOST_TEST(leader.Store(request));
  const PollResponse response = leader.Poll(request);
  BOOST_TEST(response.departures_known);
  BOOST_TEST((response.departures == request.departures));
  BOOST_TEST(!leader.Store(request));
  // The next process of the node.
  request.departures.clear();
  request.wants_departures = true;
  BOOST_TEST(leader.Poll(request).departures.size() == 1u);
  request.node = "n2";
  BOOST_TEST(leader.Poll(request).departures.empty());
}

// Access pattern: a request finds no token at its node, many times a second
// over all nodes.
BOOST_AUTO_TEST_CASE(a_poll_for_tokens_gets_grants_and_nothing_else) {
  LeaderFixture leader;
  PollRequest request = RequestOf("n1");
  request.tokens_only = true;
  const PollResponse response = leader.Poll(request);
  BOOST_REQUIRE(response.quotas.size() == 1u);
  BOOST_TEST(response.quotas.front().tokens >= 1);
  BOOST_TEST(response.services.empty());
  BOOST_TEST(!response.state);
  BOOST_TEST(!response.configuration);
}

BOOST_AUTO_TEST_CASE(a_poll_for_tokens_does_not_announce_the_node) {
  LeaderFixture leader;
  PollRequest request = RequestOf("n1");
  request.tokens_only = true;
  leader.Poll(request);
  const PollResponse other = leader.Poll(RequestOf("n2"));
  BOOST_REQUIRE(other.services.size() == 1u);
  BOOST_REQUIRE(other.services.front().members.size() == 1u);
  BOOST_TEST(other.services.front().members.front().node == "n2");
}

// Failure: the leader of a cluster that nobody disturbed lost its term each
// time that its nodes polled after a large change, because the polls waited for
// the configuration to be read.
BOOST_AUTO_TEST_CASE(polls_are_answered_while_a_configuration_is_read) {
  std::promise<void> release;
  const std::shared_future<void> released = release.get_future().share();
  LeaderFixture leader([released](const std::string& document) {
    released.wait();
    return ParseWithoutRoutes(document);
  });
  leader.PutConfiguration(4, test::ConfigurationText(4, 0, "k"));
  PollRequest request = RequestOf("n1");
  request.quotas.front().account = "ann";
  const PollResponse early = leader.Poll(request);
  BOOST_TEST(early.configuration_version == 4u);
  BOOST_TEST(early.quotas.empty());
  release.set_value();
  BOOST_TEST(
      test::WaitUntil([&] { return !leader.Poll(request).quotas.empty(); }));
}

}  // namespace
}  // namespace rosemarywinch
