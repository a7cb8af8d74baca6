#define BOOST_TEST_MODULE router
#include <boost/test/unit_test.hpp>

#include <map>

#include "rosemarywinch/decisions/traffic/router.h"
#include "support/fakes.h"

namespace rosemarywinch {
namespace {

constexpr TimePoint kNow{100'000};

Member Make(const std::string& node,
            const std::string& data_centre = "dc1",
            BackendState state = BackendState::kReady) {
  return {node, "127.0.0.1:1", data_centre, "shop", state, 10};
}

struct Fixture {
  Router router{"dc1"};
  test::SeededRandom random{1};

  void List(std::vector<Member> members, TimePoint now = kNow) {
    ServiceUpdate update;
    update.service = "shop";
    update.revision = ++revision;
    update.complete = true;
    update.members = std::move(members);
    router.Apply(now, update);
  }

  // Makes calls that finish immediately; returns the number of calls by member.
  std::map<std::string, int> Spread(int calls, TimePoint now = kNow) {
    std::map<std::string, int> counts;
    for (int i = 0; i < calls; ++i) {
      const auto member = router.Choose(now, {}, random);
      if (member) {
        ++counts[member->node];
        router.Finish(now, member->node, CallResult::kAnswered, {5});
      }
    }
    return counts;
  }

  uint64_t revision = 0;
};

BOOST_FIXTURE_TEST_CASE(calls_go_to_the_least_loaded_members, Fixture) {
  List({Make("a"), Make("b"), Make("c")});
  std::map<std::string, int> counts;
  for (int i = 0; i < 30; ++i) {
    ++counts[router.Choose(kNow, {}, random)->node];
  }
  for (const char* node : {"a", "b", "c"}) {
    BOOST_TEST(counts[node] >= 8);
  }
}

BOOST_FIXTURE_TEST_CASE(the_local_data_centre_is_preferred_until_it_spills_over,
                        Fixture) {
  List({Make("near"), Make("far", "dc2")});
  BOOST_TEST(Spread(50)["near"] == 50);
  std::map<std::string, int> counts;
  for (int i = 0; i < 30; ++i) {
    ++counts[router.Choose(kNow, {}, random)->node];
  }
  BOOST_TEST(counts["near"] >= 7);
  BOOST_TEST(counts["far"] >= 5);
}

BOOST_FIXTURE_TEST_CASE(leaving_and_silent_members_get_no_calls, Fixture) {
  List({Make("a"), Make("b", "dc1", BackendState::kLeaving),
        Make("c", "dc1", BackendState::kSilent)});
  BOOST_TEST(Spread(50)["a"] == 50);
  List({Make("b", "dc1", BackendState::kLeaving)});
  BOOST_TEST(!router.Choose(kNow, {}, random).has_value());
}

BOOST_FIXTURE_TEST_CASE(the_share_of_a_starting_member_grows, Fixture) {
  List({Make("warm"), Make("cold", "dc1", BackendState::kStarting)});
  std::map<std::string, int> early;
  for (int i = 0; i < 10; ++i) {
    ++early[router.Choose(kNow, {}, random)->node];
  }
  BOOST_TEST(early["cold"] <= 2);
  Fixture later;
  later.List({Make("warm"), Make("cold", "dc1", BackendState::kStarting)});
  std::map<std::string, int> late;
  for (int i = 0; i < 10; ++i) {
    ++late[later.router.Choose(kNow + Duration{10'000}, {}, random)->node];
  }
  BOOST_TEST(late["cold"] >= 3);
}

// Guards against a failing member that keeps its share, and against one that
// gets it all back at once.
BOOST_FIXTURE_TEST_CASE(failing_members_get_less_and_return_gradually,
                        Fixture) {
  List({Make("good"), Make("bad"), Make("fine")});
  router.ChooseBound("bad");
  router.Finish(kNow, "bad", CallResult::kFailed, {});
  BOOST_TEST(Spread(12)["bad"] <= 3);
  for (int i = 0; i < 5; ++i) {
    router.ChooseBound("bad");
    router.Finish(kNow, "bad", CallResult::kFailed, {});
  }
  BOOST_TEST(Spread(50)["bad"] <= 1);
  BOOST_TEST(Spread(60, kNow + Duration{300'000})["bad"] >= 15);
}

BOOST_FIXTURE_TEST_CASE(failures_never_empty_a_service, Fixture) {
  List({Make("a"), Make("b"), Make("c")});
  for (const char* node : {"a", "b", "c"}) {
    for (int i = 0; i < 10; ++i) {
      router.ChooseBound(node);
      router.Finish(kNow, node, CallResult::kFailed, {});
    }
  }
  BOOST_TEST(Spread(30).size() == 3u);
}

// Guards against a single healthy member that gets the calls of all others.
BOOST_FIXTURE_TEST_CASE(at_most_half_of_a_service_is_left_out, Fixture) {
  List({Make("a"), Make("b"), Make("c"), Make("healthy")});
  for (const char* node : {"a", "b", "c"}) {
    for (int i = 0; i < 10; ++i) {
      router.ChooseBound(node);
      router.Finish(kNow, node, CallResult::kFailed, {});
    }
  }
  std::map<std::string, int> counts;
  for (int i = 0; i < 40; ++i) {
    ++counts[router.Choose(kNow, {}, random)->node];
  }
  BOOST_TEST(counts["healthy"] <= 22);
}

BOOST_FIXTURE_TEST_CASE(weights_apply_and_fade_without_control, Fixture) {
  List({Make("a"), Make("b")});
  router.ApplyBalance({"shop", 7, {{"b", 0.25}}, {}});
  router.OnControl(kNow);
  BOOST_TEST(router.balance_revision() == 7u);
  const int share = Spread(500)["b"];
  BOOST_TEST(share >= 90);
  BOOST_TEST(share <= 110);
  router.ApplyBalance({"shop", 6, {}, {}});
  BOOST_TEST(router.balance_revision() == 7u);
  BOOST_TEST(Spread(500, kNow + Duration{9'000})["b"] >= 240);
}

// Guards against calls that stay in a data centre that control has closed, and
// against ones that leave it for one that takes none.
BOOST_FIXTURE_TEST_CASE(calls_leave_the_data_centre_as_control_says, Fixture) {
  List({Make("near"), Make("far", "dc2"), Make("farther", "dc3")});
  router.OnControl(kNow);
  BOOST_TEST(Spread(100)["near"] == 100);
  router.ApplyBalance(
      {"shop", 1, {}, {{"dc1", 0.6, 0}, {"dc2", 1, 1}, {"dc3", 1, 0}}});
  const auto counts = Spread(1'000);
  BOOST_TEST(counts.at("near") >= 540);
  BOOST_TEST(counts.at("near") <= 660);
  BOOST_TEST(counts.count("farther") == 0u);
  router.ApplyBalance({"shop", 2, {}, {{"dc1", 0, 0}}});
  BOOST_TEST(Spread(100).count("near") == 0u);
}

// Guards against nodes that all send to the same member at the same moment.
BOOST_AUTO_TEST_CASE(nodes_do_not_choose_in_step) {
  std::map<std::string, int> first;
  for (uint64_t node = 0; node < 200; ++node) {
    Fixture fixture;
    fixture.random = test::SeededRandom(node + 1);
    fixture.List({Make("a"), Make("b"), Make("c"), Make("d")});
    ++first[fixture.router.Choose(kNow, {}, fixture.random)->node];
  }
  for (const char* member : {"a", "b", "c", "d"}) {
    BOOST_TEST(first[member] >= 30);
    BOOST_TEST(first[member] <= 70);
  }
}

// Guards against calls beyond what a cold server bears, and against its whole
// share at the moment at which it is warm.
BOOST_FIXTURE_TEST_CASE(a_cold_member_counts_with_the_slots_it_can_use,
                        Fixture) {
  Member cold = Make("cold", "dc1", BackendState::kStarting);
  cold.cold_rate = 10;
  List({Make("warm"), cold});
  // 10 calls a second of 5 ms, against 10 slots.
  BOOST_TEST(Spread(1'000)["cold"] <= 20);
  cold.state = BackendState::kReady;
  List({Make("warm"), cold});
  const int half_warm = Spread(1'000, kNow + Duration{2'000})["cold"];
  BOOST_TEST(half_warm >= 250);
  BOOST_TEST(half_warm <= 400);
  BOOST_TEST(Spread(1'000, kNow + Duration{4'000})["cold"] >= 450);
}

BOOST_FIXTURE_TEST_CASE(delta_updates_add_and_remove_members, Fixture) {
  List({Make("a")});
  ServiceUpdate update;
  update.revision = 9;
  update.members = {Make("b")};
  update.removed = {"a"};
  router.Apply(kNow, update);
  BOOST_TEST(router.revision() == 9u);
  BOOST_TEST(Spread(10)["b"] == 10);
}

}  // namespace
}  // namespace rosemarywinch
