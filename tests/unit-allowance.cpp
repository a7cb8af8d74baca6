#define BOOST_TEST_MODULE allowance
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cmath>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "rosemarywinch/decisions/control/allowance_allocator.h"
#include "rosemarywinch/decisions/control/allowance_bucket.h"
#include "rosemarywinch/decisions/control/lease.h"
#include "support/fakes.h"

namespace rosemarywinch {
namespace {

constexpr Duration kLease{3000};
constexpr Duration kPoll{1000};
constexpr Duration kStep{10};
constexpr Duration kUrgentPollDelay{100};
constexpr Duration kWait{400};
constexpr size_t kMaxWaiting = 32;

// A single bucket with the whole limit, which no access pattern may exceed.
class ReferenceBucket {
 public:
  ReferenceBucket(const RateLimit& limit, TimePoint now)
      : m_limit(limit), m_tokens(limit.burst), m_last_refill(now) {}

  // Returns the tokens left after one more request.
  double Take(TimePoint now) {
    m_tokens =
        std::min(m_limit.burst,
                 m_tokens + m_limit.rate * (now - m_last_refill).Seconds());
    m_last_refill = now;
    m_tokens -= 1;
    return m_tokens;
  }

 private:
  const RateLimit m_limit;
  double m_tokens;
  TimePoint m_last_refill;
};

// Simulates nodes that share one account through an allocator.
class Fleet {
 public:
  Fleet(size_t nodes, RateLimit limit, uint64_t seed)
      : m_random(seed), m_limit(limit), m_nodes(nodes) {
    for (size_t i = 0; i < nodes; ++i) {
      m_nodes[i].next_poll =
          now + Duration{static_cast<int64_t>(m_random.Below(kPoll.ms))};
    }
    // The term began long ago, so the reserve is full.
    m_allocator.emplace(now - Duration{1'000'000}, kLease);
    m_reference.emplace(limit, now);
  }

  // Sends `rates[i]` requests/s to node i for `length`.
  void Run(Duration length, const std::vector<double>& rates) {
    const TimePoint end = now + length;
    while (now < end) {
      now = now + kStep;
      for (size_t i = 0; i < m_nodes.size(); ++i) {
        Node& node = m_nodes[i];
        node.pending += rates[i] * kStep.Seconds();
        while (node.pending >= 1) {
          node.pending -= 1;
          Request(node);
        }
        const bool early = node.bucket.ShouldReleaseSoon(now) &&
                           now >= node.last_poll + kUrgentPollDelay;
        if (now >= node.next_poll || early) {
          Poll(node, i);
        }
      }
    }
  }

  // Replaces the leader. The new one does not know which shares are allocated.
  void FailOver() { m_allocator.emplace(now, kLease); }

  // Cuts node `i` off from control, or reconnects it.
  void Cut(size_t i, bool cut) { m_nodes[i].cut = cut; }

  uint64_t offered = 0;
  uint64_t taken = 0;
  double least_tokens = 1e9;
  uint32_t loss_percent = 0;
  TimePoint now{5'000'000};

 private:
  struct Node {
    AllowanceBucket bucket;
    TimePoint next_poll;
    double pending = 0;
    bool cut = false;
    bool knows_account = false;
    TimePoint last_poll;
    Duration pause = kUrgentPollDelay;
    std::vector<TimePoint> waiting;
  };

  void Request(Node& node) {
    ++offered;
    node.bucket.RecordArrival(now);
    if (!node.knows_account) {
      // The first request triggers a poll and waits for it.
      node.knows_account = true;
      Poll(node, static_cast<size_t>(&node - m_nodes.data()));
    }
    if (Take(node)) {
      return;
    }
    // As in NodeState: a request without a token waits briefly for the next
    // poll if few others do, and brings that poll forward. The minimum pause
    // between such early polls doubles each time.
    if (node.waiting.size() < kMaxWaiting) {
      node.waiting.push_back(now + kWait);
    }
    const TimePoint urgent = node.last_poll + node.pause;
    node.next_poll = std::min(node.next_poll, std::max(now, urgent));
  }

  bool Take(Node& node) {
    if (!node.bucket.TryTake(now)) {
      return false;
    }
    ++taken;
    least_tokens = std::min(least_tokens, m_reference->Take(now));
    return true;
  }

  void RetryWaiting(Node& node) {
    std::erase_if(node.waiting, [&](TimePoint end) { return end <= now; });
    while (!node.waiting.empty() && Take(node)) {
      node.waiting.pop_back();
    }
  }

  void Poll(Node& node, size_t index) {
    const bool urgent = now < node.last_poll + kPoll;
    node.pause = urgent ? std::min(node.pause * 2, kPoll) : kUrgentPollDelay;
    node.last_poll = now;
    node.next_poll = now + kPoll;
    if (!node.knows_account) {
      return;
    }
    const AllowanceReport report = node.bucket.Report(now, "acme");
    if (node.cut || m_random.Below(100) < loss_percent) {
      return;
    }
    const AllowanceGrant grant =
        m_allocator->OnReport(now, m_limit, std::to_string(index), report);
    const RateLimit allocated = m_allocator->Allocated();
    BOOST_REQUIRE_LE(allocated.rate, m_limit.rate * 1.000001);
    BOOST_REQUIRE_LE(allocated.burst, m_limit.burst * 1.000001);
    if (m_random.Below(100) >= loss_percent) {
      node.bucket.Apply(now, grant, now + kLease);
      RetryWaiting(node);
    }
  }

  test::SeededRandom m_random;
  const RateLimit m_limit;
  std::vector<Node> m_nodes;
  std::optional<AllowanceAllocator> m_allocator;
  std::optional<ReferenceBucket> m_reference;
};

std::vector<double> RatesWithOneBusyNode(size_t nodes, size_t at, double rate) {
  std::vector<double> rates(nodes, 0);
  rates[at] = rate;
  return rates;
}

BOOST_AUTO_TEST_CASE(rate_and_burst_hold_over_all_nodes_under_faults) {
  for (uint64_t seed = 1; seed <= 60; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      test::SeededRandom random(seed);
      const size_t nodes = 2 + random.Below(9);
      const RateLimit limit{1.0 + static_cast<double>(random.Below(200)),
                            1.0 + static_cast<double>(random.Below(300))};
      Fleet fleet(nodes, limit, seed);
      fleet.loss_percent = static_cast<uint32_t>(random.Below(40));
      for (int round = 0; round < 20; ++round) {
        std::vector<double> rates(nodes);
        for (double& rate : rates) {
          rate = static_cast<double>(random.Below(3)) * limit.rate;
        }
        const size_t victim = random.Below(nodes);
        fleet.Cut(victim, random.Below(3) == 0);
        if (random.Below(5) == 0) {
          fleet.FailOver();
        }
        fleet.Run({static_cast<int64_t>(random.Below(4000))}, rates);
        fleet.Cut(victim, false);
      }
      BOOST_TEST(fleet.least_tokens >= -0.001);
      BOOST_TEST(fleet.taken > 0u);
    }
  }
}

// Returns the fraction of the requests that got no token.
double RejectedFraction(Fleet& fleet) {
  return 1.0 - static_cast<double>(fleet.taken) /
                   static_cast<double>(std::max<uint64_t>(1, fleet.offered));
}

BOOST_AUTO_TEST_CASE(steady_demand_within_the_rate_is_rarely_refused) {
  for (size_t nodes : {2u, 40u}) {
    Fleet fleet(nodes, {100, 100}, 7);
    fleet.Run({60'000},
              std::vector<double>(nodes, 90.0 / static_cast<double>(nodes)));
    BOOST_TEST_MESSAGE(nodes << " nodes, even: " << RejectedFraction(fleet));
    BOOST_TEST(RejectedFraction(fleet) < 0.01);
  }
}

BOOST_AUTO_TEST_CASE(skewed_demand_within_the_rate_is_rarely_refused) {
  for (size_t nodes : {2u, 40u}) {
    Fleet fleet(nodes, {100, 100}, 8);
    fleet.Run({60'000}, RatesWithOneBusyNode(nodes, 0, 90));
    BOOST_TEST_MESSAGE(nodes << " nodes, skewed: " << RejectedFraction(fleet));
    BOOST_TEST(RejectedFraction(fleet) < 0.01);
  }
}

BOOST_AUTO_TEST_CASE(shares_follow_demand_that_moves) {
  for (size_t nodes : {2u, 40u}) {
    Fleet fleet(nodes, {100, 100}, 9);
    for (size_t round = 0; round < 20; ++round) {
      fleet.Run({5000}, RatesWithOneBusyNode(nodes, round % nodes, 90));
    }
    BOOST_TEST_MESSAGE(nodes << " nodes, moving: " << RejectedFraction(fleet));
    BOOST_TEST(RejectedFraction(fleet) < 0.10);
  }
}

BOOST_AUTO_TEST_CASE(most_of_the_rate_is_usable_under_overload) {
  for (size_t nodes : {2u, 40u}) {
    Fleet fleet(nodes, {100, 100}, 10);
    fleet.Run({60'000}, std::vector<double>(nodes, 500.0 / nodes));
    const double used = static_cast<double>(fleet.taken) / 60.0 / 100.0;
    BOOST_TEST_MESSAGE(nodes << " nodes, overload: " << used);
    BOOST_TEST(used > 0.95);
  }
}

BOOST_AUTO_TEST_CASE(a_fail_over_keeps_allocated_shares) {
  Fleet fleet(4, {100, 100}, 11);
  const std::vector<double> rates(4, 20);
  fleet.Run({20'000}, rates);
  fleet.offered = 0;
  fleet.taken = 0;
  fleet.FailOver();
  fleet.Run({3000}, rates);
  BOOST_TEST_MESSAGE("fail-over: " << RejectedFraction(fleet));
  BOOST_TEST(RejectedFraction(fleet) < 0.05);
}

}  // namespace
}  // namespace rosemarywinch
