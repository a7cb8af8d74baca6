#define BOOST_TEST_MODULE fleet_store
#include <boost/test/unit_test.hpp>

#include "rosemarywinch/decisions/fleet/fleet_store.h"
#include "rosemarywinch/decisions/fleet/policy.h"
#include "rosemarywinch/decisions/traffic/route_table.h"

namespace rosemarywinch {
namespace {

FleetCommand Change(const std::string& id,
                    uint64_t expected,
                    std::vector<Edit> edits) {
  FleetCommand command;
  command.operation_id = id;
  command.author = "ann";
  command.change = ChangeTree{expected, std::move(edits)};
  return command;
}

FleetCommand Give(const std::string& id, const std::string& key) {
  FleetCommand command;
  command.operation_id = id;
  command.change = GiveKey{"acme", key, "hash"};
  return command;
}

BOOST_AUTO_TEST_CASE(fields_are_inherited_independently) {
  FleetState state;
  const auto result =
      ApplyCommand(state, Change("1", 0,
                                 {{"/", "timeout", "900", false},
                                  {"/shop", "retries", "1", false},
                                  {"/shop/list", "path_prefix", "/list", false},
                                  {"/@acme", "rate", "7", false},
                                  {"/shop/@acme", "timeout", "300", false}}));
  BOOST_REQUIRE(result.error == ErrorId::kNone);
  const EffectivePolicy policy = EffectiveAt(state, {"shop", "list", "acme"});
  BOOST_TEST(policy.settings.timeout->ms == 300);
  BOOST_TEST(policy.origins.at("timeout") == "/shop/@acme");
  BOOST_TEST(*policy.settings.retries == 1u);
  BOOST_TEST(policy.origins.at("retries") == "/shop");
  BOOST_TEST(*policy.settings.rate == 7);
  BOOST_TEST(policy.origins.at("burst") == "default");
  BOOST_TEST(EffectiveAt(state, {"shop", "list", ""}).settings.timeout->ms ==
             900);
}

BOOST_AUTO_TEST_CASE(
    concurrent_changes_get_one_winner_and_a_described_conflict) {
  FleetState state;
  const auto first =
      ApplyCommand(state, Change("a", 0, {{"/", "retries", "1", false}}));
  const auto second =
      ApplyCommand(state, Change("b", 0, {{"/", "retries", "3", false}}));
  BOOST_TEST((first.error == ErrorId::kNone));
  BOOST_TEST((second.error == ErrorId::kConflict));
  BOOST_TEST(second.detail.find("ann") != std::string::npos);
  BOOST_TEST(second.detail.find("/ retries = 1") != std::string::npos);
  BOOST_TEST(*state.tree.at("/").retries == 1u);
}

BOOST_AUTO_TEST_CASE(a_new_key_does_not_conflict_with_a_change_of_the_tree) {
  FleetState state;
  ApplyCommand(state, Give("k", "0011"));
  const auto result =
      ApplyCommand(state, Change("a", 0, {{"/", "retries", "1", false}}));
  BOOST_TEST((result.error == ErrorId::kNone));
}

BOOST_AUTO_TEST_CASE(a_resent_command_gets_its_first_result) {
  FleetState state;
  const FleetCommand command = Change("a", 0, {{"/", "retries", "1", false}});
  const auto first = ApplyCommand(state, command);
  ApplyCommand(state, Change("b", 1, {{"/", "retries", "2", false}}));
  const auto again = ApplyCommand(state, command);
  BOOST_TEST((again == first));
  BOOST_TEST(*state.tree.at("/").retries == 2u);
  const auto reused =
      ApplyCommand(state, Change("a", 2, {{"/", "retries", "9", false}}));
  BOOST_TEST((reused.error == ErrorId::kOperationReused));
}

BOOST_AUTO_TEST_CASE(a_batch_of_edits_is_atomic) {
  FleetState state;
  const auto result = ApplyCommand(
      state,
      Change("a", 0,
             {{"/", "retries", "1", false}, {"/", "retries", "99", false}}));
  BOOST_TEST((result.error == ErrorId::kBadValue));
  BOOST_TEST(result.detail.find("from 0 to 10") != std::string::npos);
  BOOST_TEST(state.tree.empty());
  BOOST_TEST(state.version == 0u);
}

BOOST_AUTO_TEST_CASE(changes_are_checked_against_schema_and_levels) {
  FleetState state;
  const auto error_of = [&](const Edit& edit) {
    FleetState copy = state;
    return ApplyCommand(copy, Change("x", state.version, {edit})).error;
  };
  const auto check = [&](const Edit& edit, ErrorId want) {
    BOOST_TEST(NameOf(error_of(edit)) == NameOf(want));
  };
  check({"/shop", "rate", "5", false}, ErrorId::kWrongLevel);
  check({"/", "ratte", "5", false}, ErrorId::kUnknownSetting);
  check({"shop", "rate", "5", false}, ErrorId::kBadPath);
  check({"/a/b/c", "retries", "5", false}, ErrorId::kBadPath);
  check({"/", "timeout", "soon", false}, ErrorId::kBadValue);
  check({"/s/r", "request_class", "party", false}, ErrorId::kBadValue);
  check({"/s/r", "path_prefix", "list", false}, ErrorId::kBadValue);
}

BOOST_AUTO_TEST_CASE(routes_of_a_service_have_distinct_prefixes) {
  FleetState state;
  const auto result =
      ApplyCommand(state, Change("a", 0,
                                 {{"/shop/one", "path_prefix", "/x", false},
                                  {"/shop/two", "path_prefix", "/x", false}}));
  BOOST_TEST((result.error == ErrorId::kRouteConflict));
}

BOOST_AUTO_TEST_CASE(an_open_route_stays_open) {
  FleetState state;
  ApplyCommand(state, Change("a", 0,
                             {{"/shop/front", "access", "open", false},
                              {"/shop/front", "path_prefix", "/f", false}}));
  const auto closed = ApplyCommand(
      state, Change("b", 1, {{"/shop/front", "access", "closed", false}}));
  BOOST_TEST((closed.error == ErrorId::kRouteStaysOpen));
  const auto removed = ApplyCommand(
      state, Change("c", 1, {{"/shop/front", "access", "", true}}));
  BOOST_TEST((removed.error == ErrorId::kRouteStaysOpen));
}

BOOST_AUTO_TEST_CASE(an_account_holds_two_keys_at_most) {
  FleetState state;
  BOOST_TEST((ApplyCommand(state, Give("1", "aa")).error == ErrorId::kNone));
  BOOST_TEST((ApplyCommand(state, Give("2", "bb")).error == ErrorId::kNone));
  BOOST_TEST(
      (ApplyCommand(state, Give("3", "cc")).error == ErrorId::kTooManyKeys));
  FleetCommand withdraw;
  withdraw.operation_id = "4";
  withdraw.change = WithdrawKey{"aa"};
  BOOST_TEST((ApplyCommand(state, withdraw).error == ErrorId::kNone));
  withdraw.operation_id = "5";
  BOOST_TEST((ApplyCommand(state, withdraw).error == ErrorId::kUnknownKeyId));
}

BOOST_AUTO_TEST_CASE(a_node_that_applies_the_commands_holds_the_same_tree) {
  FleetState state;
  FleetState node;
  for (int i = 0; i < 50; ++i) {
    ApplyCommand(state, Change(std::to_string(i), state.version,
                               {{"/s" + std::to_string(i % 7), "retries",
                                 std::to_string(i % 10), false}}));
  }
  const auto commands = CommandsAfter(state, 0);
  BOOST_REQUIRE(commands.has_value());
  for (const HistoryRecord& record : *commands) {
    ApplyAccepted(node, record);
  }
  BOOST_TEST((node.tree == state.tree));
  BOOST_TEST(node.version == state.version);
}

BOOST_AUTO_TEST_CASE(the_longest_prefix_wins_and_ends_at_a_slash) {
  FleetState state;
  ApplyCommand(state, Change("a", 0,
                             {{"/shop/all", "path_prefix", "/", false},
                              {"/shop/list", "path_prefix", "/list", false}}));
  const RouteTable table(state);
  const auto route_of = [&](const std::string& path) {
    const auto found = Capture([&] { return table.Find(path); });
    const auto* match = std::get_if<RouteMatch>(&found);
    return match == nullptr ? std::string("none")
                            : match->route + " " + match->backend_path;
  };
  BOOST_TEST(route_of("/shop/list/3") == "list /list/3");
  BOOST_TEST(route_of("/shop/listing") == "all /listing");
  BOOST_TEST(route_of("/shop") == "all /");
  BOOST_TEST(route_of("/elsewhere/list") == "none");
  BOOST_TEST(route_of("/") == "none");
}

}  // namespace
}  // namespace rosemarywinch
