#define BOOST_TEST_MODULE control_service
#include <boost/test/unit_test.hpp>

#include <future>

#include "support/control.h"
#include "support/mesh.h"

namespace rosemarywinch {
namespace {

// A leader that is the only replica.
class LeaderFixture {
 public:
  explicit LeaderFixture(
      ConfigurationReader::Parser parser = ParseWithoutRoutes)
      : m_replica({.parser = std::move(parser)}) {
    m_replica.WaitForLeader();
  }

  PollResponse Poll(const PollRequest& request) {
    return m_replica.Poll(request);
  }

  void PutConfiguration(uint64_t version, const std::string& document) {
    FleetCommand command;
    command.change = rosemarywinch::PutConfiguration{version, 0, document, "f"};
    BOOST_REQUIRE(m_replica.driver.Submit(command, {5'000}));
  }

  // Stores the departures in a poll and waits for that. Returns whether there
  // were any to store.
  bool Store(const PollRequest& request) {
    std::promise<void> stored;
    const bool begun =
        m_replica.service.StoreDepartures(request, [&] { stored.set_value(); });
    if (begun) {
      stored.get_future().wait();
    }
    return begun;
  }

 private:
  test::ControlReplica m_replica;
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
