#define BOOST_TEST_MODULE evacuation
#include <boost/test/unit_test.hpp>

#include "rosemarywinch/adapters/json_codec.h"
#include "rosemarywinch/decisions/fleet/fleet_store.h"
#include "rosemarywinch/decisions/traffic/router.h"
#include "support/fakes.h"

using namespace rosemarywinch;

namespace {

constexpr TimePoint kNow{100'000};
const std::vector<std::string> kKnown{"dc1", "dc2"};

FleetCommand Start(const std::string& data_centre,
                   const std::string& operation = "") {
  FleetCommand command;
  command.operation_id = operation;
  command.change = StartEvacuation{data_centre, kKnown};
  return command;
}

FleetCommand End(const std::string& data_centre,
                 std::vector<std::string> known = kKnown) {
  FleetCommand command;
  command.change = EndEvacuation{data_centre, std::move(known)};
  return command;
}

ErrorId ErrorOf(FleetState& state, const FleetCommand& command) {
  return ApplyCommand(state, command).error;
}

struct RouterFixture {
  RouterFixture() {
    ServiceUpdate update;
    update.revision = 1;
    for (const char* node : {"a", "b", "c", "d"}) {
      const std::string data_centre = node[0] < 'd' ? "dc1" : "dc2";
      update.members.push_back(
          {node, "", data_centre, "shop", BackendState::kReady, 10});
    }
    router.Apply(kNow, update);
  }
  std::string Choose(TimePoint now = kNow) {
    const auto member = router.Choose(now, {}, random);
    return member ? member->data_centre : "";
  }
  Router router{"dc1"};
  test::SeededRandom random{1};
};

}  // namespace

// Failure: the second order, which carries no operation id either, gets the
// result of another one, or nodes poll a version that changes nothing.
BOOST_AUTO_TEST_CASE(a_repeated_order_succeeds_and_changes_nothing) {
  FleetState state;
  BOOST_TEST((ErrorOf(state, Start("dc1")) == ErrorId::kNone));
  const FleetState once = state;
  BOOST_TEST((ErrorOf(state, Start("dc1")) == ErrorId::kNone));
  BOOST_TEST((state == once));
  BOOST_TEST((ErrorOf(state, End("dc1")) == ErrorId::kNone));
  BOOST_TEST(state.evacuated.empty());
  const FleetState ended = state;
  BOOST_TEST((ErrorOf(state, End("dc1")) == ErrorId::kNone));
  BOOST_TEST((state == ended));
  BOOST_TEST((ErrorOf(state, Start("dc1")) == ErrorId::kNone));
  BOOST_TEST(state.evacuated.size() == 1u);
}

// Failure: a command of the product's own operators that is resent after the
// end of the evacuation starts it again.
BOOST_AUTO_TEST_CASE(a_resent_operation_is_not_executed_again) {
  FleetState state;
  ApplyCommand(state, Start("dc1", "op"));
  ApplyCommand(state, End("dc1"));
  BOOST_TEST((ErrorOf(state, Start("dc1", "op")) == ErrorId::kNone));
  BOOST_TEST(state.evacuated.empty());
}

// Failure: no backend server is left in use, or an order for a misspelt name
// is acknowledged.
BOOST_AUTO_TEST_CASE(unknown_and_last_data_centres_are_refused) {
  FleetState state;
  const FleetState before = state;
  BOOST_TEST((ErrorOf(state, Start("dc3")) == ErrorId::kUnknownDataCentre));
  BOOST_TEST((ErrorOf(state, End("dc3")) == ErrorId::kUnknownDataCentre));
  BOOST_TEST((state == before));
  ApplyCommand(state, Start("dc1"));
  const FleetState one = state;
  BOOST_TEST((ErrorOf(state, Start("dc2")) == ErrorId::kLastDataCentre));
  BOOST_TEST((state == one));
  // A data centre that was taken off the list while it was evacuated.
  BOOST_TEST((ErrorOf(state, End("dc1", {"dc2"})) == ErrorId::kNone));
}

// Failure: the order is lost with a snapshot, or nodes that follow the history
// hold another list than control.
BOOST_AUTO_TEST_CASE(the_order_is_in_snapshots_and_in_the_history) {
  FleetState state;
  ApplyCommand(state, Start("dc1"));
  const auto restored =
      Capture([&] { return FromBinary<FleetState>(ToBinary(state)); });
  BOOST_REQUIRE(std::holds_alternative<FleetState>(restored));
  FleetState next = std::get<FleetState>(restored);
  BOOST_TEST((next == state));
  BOOST_TEST((ErrorOf(next, Start("dc1")) == ErrorId::kNone));
  BOOST_TEST((next == state));
  ApplyCommand(state, End("dc1"));
  ApplyCommand(state, Start("dc2"));
  FleetState node;
  const auto commands = CommandsAfter(state, 0);
  BOOST_REQUIRE(commands);
  for (const HistoryRecord& record : *commands) {
    ApplyAccepted(node, record);
  }
  BOOST_TEST(node.version == state.version);
  BOOST_TEST((node.evacuated == state.evacuated));
}

// Failure: calls still go to the evacuated data centre, or do not return after
// its end.
BOOST_FIXTURE_TEST_CASE(an_evacuated_data_centre_gets_no_calls, RouterFixture) {
  BOOST_TEST(Choose() == "dc1");
  router.SetEvacuated({"dc1"});
  for (int i = 0; i < 50; ++i) {
    BOOST_TEST(Choose() == "dc2");
  }
  router.SetEvacuated({"dc1", "dc2"});
  BOOST_TEST(Choose() == "");
  router.SetEvacuated({});
  BOOST_TEST(Choose() == "dc1");
}

// Failure: before its next poll, a node tries one member of the evacuated data
// centre after the other, or holds the refusals against them afterwards.
BOOST_FIXTURE_TEST_CASE(one_refusal_excludes_the_data_centre_for_a_while,
                        RouterFixture) {
  for (int i = 0; i < 10; ++i) {
    const auto member = router.Choose(kNow, {}, random);
    BOOST_REQUIRE(member);
    router.Finish(kNow, member->node, CallResult::kEvacuated, {1});
    BOOST_TEST(Choose() == "dc2");
    router.SetEvacuated({});
  }
  BOOST_TEST(Choose() == "dc1");
  const auto member = router.Choose(kNow, {}, random);
  router.Finish(kNow, member->node, CallResult::kEvacuated, {1});
  BOOST_TEST(Choose(kNow + Duration{999}) == "dc2");
  BOOST_TEST(Choose(kNow + Duration{1'000}) == "dc1");
}
