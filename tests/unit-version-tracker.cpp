#define BOOST_TEST_MODULE version_tracker
#include <boost/test/unit_test.hpp>

#include <map>

#include "rosemarywinch/decisions/control/lease.h"
#include "rosemarywinch/decisions/control/version_tracker.h"
#include "support/fakes.h"

namespace rosemarywinch {
namespace {

constexpr Duration kLease{3000};

BOOST_AUTO_TEST_CASE(a_version_is_in_force_once_all_nodes_confirm_it) {
  VersionTracker tracker(kLease);
  TimePoint now{100'000};
  tracker.Reset(now, 1);
  now = now + LessorLeaseDuration(kLease);
  tracker.OnPoll(now, "a", 1);
  tracker.OnPoll(now, "b", 1);
  BOOST_TEST(tracker.InForce(now) == 1u);
  tracker.OnApplied(now, 2);
  tracker.OnPoll(now, "a", 2);
  BOOST_TEST(tracker.InForce(now) == 1u);
  BOOST_TEST((tracker.PendingNodes(now, 2) == std::vector<std::string>{"b"}));
  tracker.OnPoll(now, "b", 2);
  BOOST_TEST(tracker.InForce(now) == 2u);
}

BOOST_AUTO_TEST_CASE(a_silent_node_delays_a_version_no_longer_than_its_lease) {
  VersionTracker tracker(kLease);
  TimePoint now{100'000};
  tracker.Reset(now, 1);
  now = now + LessorLeaseDuration(kLease);
  tracker.OnPoll(now, "silent", 1);
  tracker.OnApplied(now, 2);
  BOOST_TEST(tracker.InForce(now + kLease) == 1u);
  BOOST_TEST(tracker.InForce(now + LessorLeaseDuration(kLease)) == 2u);
}

BOOST_AUTO_TEST_CASE(a_new_leader_waits_for_leases_of_earlier_leaders) {
  VersionTracker tracker(kLease);
  const TimePoint now{100'000};
  tracker.Reset(now, 5);
  tracker.OnPoll(now, "known", 5);
  BOOST_TEST(tracker.InForce(now + kLease) == 0u);
  BOOST_TEST(tracker.InForce(now + LessorLeaseDuration(kLease)) == 5u);
}

// A node that is silent after a change stops acting on the former version when
// its lease ends, which may be before the bound of the operator.
BOOST_AUTO_TEST_CASE(a_version_is_due_when_the_leases_end_within_the_bound) {
  constexpr Duration kBound{2'000};
  VersionTracker tracker(kLease);
  const TimePoint start{100'000};
  tracker.Reset(start, 1);
  const TimePoint now = start + LessorLeaseDuration(kLease);
  tracker.OnPoll(now, "silent", 1);
  tracker.OnApplied(now, 2);
  const TimePoint due = now + LessorLeaseDuration(kLease) - kBound;
  BOOST_TEST(!tracker.InForceWithin(due - Duration{1}, kBound, 2));
  BOOST_TEST(tracker.InForceWithin(due, kBound, 2));
  tracker.OnPoll(now, "silent", 2);
  BOOST_TEST(tracker.InForceWithin(now, kBound, 2));
}

// Failure: after a change of leader, operators waited for leases that had
// ended, counted from the start of the new term.
BOOST_AUTO_TEST_CASE(a_new_leader_counts_from_its_time_as_a_follower) {
  VersionTracker tracker(kLease);
  const TimePoint applied{100'000};
  tracker.Reset(applied - Duration{60'000}, 1);
  tracker.OnApplied(applied, 2);
  const Duration later{1'000};
  tracker.Reset(applied + later, 2);
  const TimePoint due = applied + LessorLeaseDuration(kLease);
  BOOST_TEST(tracker.InForce(due - Duration{1}) < 2u);
  BOOST_TEST(tracker.InForce(due) == 2u);
}

// Nodes whose clocks drift by up to the allowed maximum act on a version only
// under a lease. None may act on a version older than the one in force.
BOOST_AUTO_TEST_CASE(no_node_acts_on_a_version_older_than_the_one_in_force) {
  for (uint64_t seed = 1; seed <= 200; ++seed) {
    test::SeededRandom random(seed);
    VersionTracker tracker(kLease);
    struct Node {
      uint64_t version = 0;
      TimePoint lease_end;
    };
    std::map<std::string, Node> nodes;
    TimePoint now{100'000};
    uint64_t version = 1;
    tracker.Reset(now, version);
    for (int step = 0; step < 2000; ++step) {
      now = now + Duration{static_cast<int64_t>(random.Below(50))};
      const std::string name = std::to_string(random.Below(5));
      const uint64_t event = random.Below(20);
      if (event == 0) {
        tracker.OnApplied(now, ++version);
      } else if (event == 1 && random.Below(20) == 0) {
        tracker.Reset(now, version);
      } else if (event < 8) {
        Node& node = nodes[name];
        const TimePoint sent =
            now - Duration{static_cast<int64_t>(random.Below(200))};
        tracker.OnPoll(now, name, node.version);
        if (random.Below(4) != 0) {
          // A slow clock extends the lease by up to the allowed drift.
          const int64_t drift = random.Below(kMaxClockDriftPercent + 1);
          node.version = version;
          node.lease_end = sent + kLease + kLease * drift / 100;
        }
      }
      const uint64_t in_force = tracker.InForce(now);
      for (const auto& [id, node] : nodes) {
        if (now < node.lease_end) {
          BOOST_REQUIRE_GE(node.version, in_force);
        }
      }
    }
  }
}

}  // namespace
}  // namespace rosemarywinch
