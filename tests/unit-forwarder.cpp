#define BOOST_TEST_MODULE forwarder
#include <boost/test/unit_test.hpp>

#include "rosemarywinch/decisions/traffic/headers.h"
#include "rosemarywinch/programs/forwarder.h"
#include "support/fakes.h"

namespace rosemarywinch {
namespace {

using trompeloeil::_;

// A node without a local backend server, and two remote members.
struct Fixture {
  Fixture() {
    PollResponse poll;
    poll.cluster = "c";
    poll.term = 1;
    poll.lease = {3000};
    poll.config_version = 1;
    poll.state.emplace();
    poll.state->version = 1;
    ServiceUpdate update;
    update.service = "shop";
    update.revision = 1;
    update.complete = true;
    for (const std::string name : {"m1", "m2"}) {
      update.members.push_back(
          {name, name + ":1", "dc1", "shop", BackendState::kReady, 10});
    }
    poll.services.push_back(update);
    BOOST_REQUIRE(state.ApplyPoll(clock.now, poll));
    envelope.service = "shop";
    envelope.timeout = {1000};
    envelope.retries = 2;
    envelope.request_id = "r";
  }

  static HttpResult Answer(const CallOutcome& outcome, uint32_t left) {
    return EncodeReport({outcome, left, {}});
  }

  test::FakeClock clock;
  test::SeededRandom random{1};
  test::MockChannel channel;
  NodeState state{"dc1", clock, random};
  BackendDispatcher dispatcher{"self", NodeSettings{}, clock, random, channel};
  Forwarder forwarder{"self", state, dispatcher, clock, random, channel};
  HopEnvelope envelope;
  HttpRequest request;
};

const NotRun kBusy{{ErrorId::kOverloaded, {}}, {}};
const ResponseLost kLost{{ErrorId::kUnreachable, "cut"}};

BOOST_FIXTURE_TEST_CASE(rejected_call_is_retried_on_another_member, Fixture) {
  std::vector<std::string> asked;
  ALLOW_CALL(channel, Send(_, _, _))
      .LR_SIDE_EFFECT(asked.push_back(_1))
      .LR_RETURN(asked.size() == 1 ? Answer(kBusy, 1)
                                   : Answer(Ran{HttpResponse{}}, 0));
  const CallReport report = forwarder.Forward(envelope, request, std::nullopt);
  BOOST_TEST(std::holds_alternative<Ran>(report.outcome));
  BOOST_REQUIRE(asked.size() == 2u);
  BOOST_TEST(asked[0] != asked[1]);
}

BOOST_FIXTURE_TEST_CASE(no_retry_without_allowance, Fixture) {
  int calls = 0;
  ALLOW_CALL(channel, Send(_, _, _))
      .LR_SIDE_EFFECT(++calls)
      .LR_RETURN(Answer(kBusy, 0));
  envelope.retries = 0;
  forwarder.Forward(envelope, request, std::nullopt);
  BOOST_TEST(calls == 1);
}

BOOST_FIXTURE_TEST_CASE(lookup_is_retried_after_lost_response, Fixture) {
  int calls = 0;
  ALLOW_CALL(channel, Send(_, _, _))
      .LR_SIDE_EFFECT(++calls)
      .LR_RETURN(calls == 1 ? HttpResult(kLost)
                            : Answer(Ran{HttpResponse{}}, 0));
  const CallReport report = forwarder.Forward(envelope, request, std::nullopt);
  BOOST_TEST(std::holds_alternative<Ran>(report.outcome));
  BOOST_TEST(calls == 2);
}

BOOST_FIXTURE_TEST_CASE(booking_is_not_retried_after_lost_response, Fixture) {
  int runs = 0;
  envelope.at_most_once = true;
  ALLOW_CALL(channel, Send(_, _, _))
      .WITH(_2.path == Forwarder::kFencePath)
      .RETURN(HttpResponse{200, {}, "no"});
  ALLOW_CALL(channel, Send(_, _, _))
      .WITH(_2.path != Forwarder::kFencePath)
      .LR_SIDE_EFFECT(++runs)
      .RETURN(kLost);
  const CallReport report = forwarder.Forward(envelope, request, "m1");
  BOOST_TEST(std::holds_alternative<UnknownOutcome>(report.outcome));
  BOOST_TEST(runs == 1);
}

BOOST_FIXTURE_TEST_CASE(fenced_booking_is_reported_as_not_run, Fixture) {
  envelope.at_most_once = true;
  ALLOW_CALL(channel, Send(_, _, _))
      .WITH(_2.path == Forwarder::kFencePath)
      .RETURN(HttpResponse{200, {}, "yes"});
  ALLOW_CALL(channel, Send(_, _, _))
      .WITH(_2.path != Forwarder::kFencePath)
      .RETURN(kLost);
  const CallReport report = forwarder.Forward(envelope, request, "m1");
  BOOST_TEST(std::holds_alternative<NotRun>(report.outcome));
}

// Failure: an error page of another process at a node's address was handed to a
// caller as the id for its request, or counted as a yes.
BOOST_FIXTURE_TEST_CASE(an_error_of_a_peer_answers_no_query, Fixture) {
  ALLOW_CALL(channel, Send(_, _, _))
      .WITH(_2.path == Forwarder::kOfferPath)
      .RETURN(HttpResponse{404, {}, "no such page"});
  BOOST_TEST(std::holds_alternative<Error>(
      Capture([&] { return forwarder.ObtainId("shop", "acme"); })));
  envelope.at_most_once = true;
  ALLOW_CALL(channel, Send(_, _, _))
      .WITH(_2.path == Forwarder::kFencePath)
      .RETURN(HttpResponse{500, {}, "yes"});
  ALLOW_CALL(channel, Send(_, _, _)).WITH(_2.path == "/").RETURN(kLost);
  const CallReport report = forwarder.Forward(envelope, request, "m1");
  BOOST_TEST(std::holds_alternative<UnknownOutcome>(report.outcome));
}

BOOST_FIXTURE_TEST_CASE(waits_only_for_a_node_that_knows_the_attempt, Fixture) {
  std::string known = "yes";
  bool goes_on = false;
  ALLOW_CALL(channel, Send(_, _, _))
      .WITH(_2.path == Forwarder::kAttemptPath)
      .LR_RETURN(HttpResult(HttpResponse{200, {}, known}));
  ALLOW_CALL(channel, Send(_, _, _))
      .WITH(_2.path == "/")
      .LR_SIDE_EFFECT(clock.now = clock.now + Duration{1600};
                      goes_on = _3.keep_waiting())
      .RETURN(kLost);
  envelope.retries = 0;
  forwarder.Forward(envelope, request, std::nullopt);
  BOOST_TEST(goes_on);
  known = "no";
  forwarder.Forward(envelope, request, std::nullopt);
  BOOST_TEST(!goes_on);
}

// Failure: before this node's next poll, a request without retries ends at the
// first member of an evacuated data centre, or is refused by all of them in
// turn.
BOOST_FIXTURE_TEST_CASE(a_refusal_for_an_evacuation_costs_no_retry, Fixture) {
  PollResponse poll;
  poll.cluster = "c";
  poll.term = 1;
  poll.config_version = 1;
  ServiceUpdate update;
  update.service = "shop";
  update.revision = 2;
  update.members = {{"m3", "m3:1", "dc2", "shop", BackendState::kReady, 10}};
  poll.services = {update};
  BOOST_REQUIRE(state.ApplyPoll(clock.now, poll));
  const NotRun evacuated{{ErrorId::kEvacuated, {}}, {}};
  std::vector<std::string> asked;
  ALLOW_CALL(channel, Send(_, _, _))
      .LR_SIDE_EFFECT(asked.push_back(_1))
      .LR_RETURN(_1 == "m3:1" ? Answer(Ran{HttpResponse{}}, 0)
                              : Answer(evacuated, 0));
  envelope.retries = 0;
  const CallReport report = forwarder.Forward(envelope, request, std::nullopt);
  BOOST_TEST(std::holds_alternative<Ran>(report.outcome));
  BOOST_TEST(asked.size() == 2u);
}

// Failure: a node in an evacuated data centre runs a request that has not
// started, or learns of the order only from a whole state.
BOOST_FIXTURE_TEST_CASE(an_evacuated_node_runs_nothing_new, Fixture) {
  PollResponse poll;
  poll.cluster = "c";
  poll.term = 1;
  poll.config_version = 2;
  HistoryRecord record;
  record.version = 2;
  record.command.change = StartEvacuation{"dc1", {"dc1", "dc2"}};
  poll.commands = {record};
  BOOST_REQUIRE(state.ApplyPoll(clock.now, poll));
  BOOST_REQUIRE(state.IsLocalEvacuated());
  BOOST_TEST(!state.Choose("shop", {}));
  Announcement backend;
  backend.service = "shop";
  backend.address = "b:1";
  backend.state = BackendState::kReady;
  backend.slots = 1;
  dispatcher.Announce(backend);
  dispatcher.SetEvacuated(state.IsLocalEvacuated());
  FORBID_CALL(channel, Send(_, _, _));
  const CallReport report = dispatcher.Run(envelope, request);
  BOOST_REQUIRE(std::holds_alternative<NotRun>(report.outcome));
  BOOST_TEST(
      (std::get<NotRun>(report.outcome).error.id == ErrorId::kEvacuated));
}

}  // namespace
}  // namespace rosemarywinch
