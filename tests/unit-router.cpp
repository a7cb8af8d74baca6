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

BOOST_FIXTURE_TEST_CASE(failing_members_are_ejected_for_a_while, Fixture) {
  List({Make("good"), Make("bad"), Make("fine")});
  for (int i = 0; i < 5; ++i) {
    router.ChooseBound("bad");
    router.Finish(kNow, "bad", CallResult::kFailed, {});
  }
  BOOST_TEST(Spread(50).count("bad") == 0u);
  BOOST_TEST(Spread(50, kNow + Duration{1'500})["bad"] > 0);
}

BOOST_FIXTURE_TEST_CASE(ejection_never_empties_a_service, Fixture) {
  List({Make("a"), Make("b"), Make("c")});
  for (const char* node : {"a", "b", "c"}) {
    for (int i = 0; i < 10; ++i) {
      router.ChooseBound(node);
      router.Finish(kNow, node, CallResult::kFailed, {});
    }
  }
  BOOST_TEST(Spread(30).size() == 3u);
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
