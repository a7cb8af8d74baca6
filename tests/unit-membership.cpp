#define BOOST_TEST_MODULE membership
#include <boost/test/unit_test.hpp>

#include "rosemarywinch/decisions/control/membership_directory.h"

namespace rosemarywinch {
namespace {

constexpr Duration kTimeout{3000};

Member Make(const std::string& node,
            BackendState state = BackendState::kReady) {
  return {node, "127.0.0.1:1", "dc1", "shop", state, 10};
}

BOOST_AUTO_TEST_CASE(an_update_contains_only_changes) {
  MembershipDirectory directory(kTimeout);
  TimePoint now{100'000};
  directory.Reset(now, 7);
  now = now + kTimeout;
  directory.OnPoll(now, Make("a"), false);
  directory.OnPoll(now, Make("b"), false);
  const ServiceUpdate all = directory.UpdateSince(now, {"shop", 0});
  BOOST_TEST(all.complete);
  BOOST_TEST(all.members.size() == 2u);
  directory.OnPoll(now, Make("b"), false);
  BOOST_TEST(
      directory.UpdateSince(now, {"shop", all.revision}).members.empty());
  directory.OnPoll(now, Make("b", BackendState::kLeaving), false);
  const ServiceUpdate delta =
      directory.UpdateSince(now, {"shop", all.revision});
  BOOST_TEST(!delta.complete);
  BOOST_REQUIRE(delta.members.size() == 1u);
  BOOST_TEST((delta.members[0].state == BackendState::kLeaving));
  BOOST_TEST(directory.UpdateSince(now, {"other", 0}).members.empty());
}

BOOST_AUTO_TEST_CASE(leaving_and_silent_nodes_are_removed) {
  MembershipDirectory directory(kTimeout);
  TimePoint now{100'000};
  directory.Reset(now, 1);
  now = now + kTimeout;
  directory.OnPoll(now, Make("leaver"), false);
  directory.OnPoll(now, Make("silent"), false);
  const uint64_t before = directory.UpdateSince(now, {"shop", 0}).revision;
  directory.OnPoll(now, Make("leaver"), true);
  now = now + kTimeout;
  directory.ExpireSilent(now);
  const ServiceUpdate update = directory.UpdateSince(now, {"shop", before});
  BOOST_TEST(update.removed.size() == 2u);
  BOOST_TEST(directory.Members().empty());
}

BOOST_AUTO_TEST_CASE(a_new_leader_first_sends_partial_updates) {
  MembershipDirectory directory(kTimeout);
  TimePoint now{100'000};
  directory.Reset(now, 1);
  directory.OnPoll(now + kTimeout, Make("a"), false);
  const uint64_t cursor =
      directory.UpdateSince(now + kTimeout, {"shop", 0}).revision;
  now = now + kTimeout * 2;
  directory.Reset(now, 2);
  directory.OnPoll(now, Make("b"), false);
  const ServiceUpdate early = directory.UpdateSince(now, {"shop", cursor});
  BOOST_TEST(!early.complete);
  BOOST_TEST(early.members.size() == 1u);
  BOOST_TEST(early.revision == cursor);
  now = now + kTimeout;
  const ServiceUpdate late = directory.UpdateSince(now, {"shop", cursor});
  BOOST_TEST(late.complete);
}

}  // namespace
}  // namespace rosemarywinch
