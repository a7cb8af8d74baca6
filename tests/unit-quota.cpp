#define BOOST_TEST_MODULE quota
#include <boost/test/unit_test.hpp>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "rosemarywinch/decisions/control/quota_cache.h"
#include "rosemarywinch/decisions/control/quota_pool.h"

using namespace rosemarywinch;

namespace {

constexpr Duration kLease{3'500};
constexpr Duration kStep{10};
constexpr Duration kPollInterval{500};
constexpr Duration kWindow{5'000};

// Simulates nodes that poll a leader twice a second, and at once when a request
// finds no token and the pool is not known to be exhausted.
class QuotaFleet {
 public:
  QuotaFleet(size_t nodes, RateLimit limit) : m_limit(limit), m_nodes(nodes) {
    m_pool.emplace(m_now, m_now, kLease, QuotaTolerance{});
  }

  // `rate` is in requests/s over all nodes.
  void Run(Duration length, double rate) {
    const TimePoint end = m_now + length;
    while (m_now < end) {
      m_now = m_now + kStep;
      PollDueNodes();
      std::poisson_distribution<int> arrivals(rate * kStep.Seconds());
      for (int count = arrivals(m_random); count > 0; --count) {
        SendRequest(m_only_node.value_or(m_random() % m_nodes.size()));
      }
      UpdateWindow();
    }
  }

  // Sends all requests to one node, or again to all nodes at random.
  void SendOnlyTo(std::optional<size_t> node) { m_only_node = node; }
  void Disconnect(size_t node) { m_disconnected.insert(node); }
  void StopLeader() { m_leader_stopped = true; }
  void StartLeader() {
    m_leader_stopped = false;
    m_pool.emplace(m_now, m_now, kLease, QuotaTolerance{});
  }

  double RejectedFraction() const {
    return static_cast<double>(m_rejected) / static_cast<double>(m_sent);
  }
  void ResetCounts() { m_rejected = m_sent = m_reports = 0; }
  // Reports to the leader for each request.
  double ReportsPerRequest() const {
    return static_cast<double>(m_reports) / static_cast<double>(m_sent);
  }
  size_t max_in_window() const { return m_max_in_window; }

  // Number of requests that limit and tolerance allow in a window.
  double Allowed() const {
    return (m_limit.rate * kWindow.Seconds() + m_limit.burst) * 1.1 + 20;
  }

 private:
  struct Node {
    QuotaCache cache;
    TimePoint next_poll;
  };

  void SendRequest(size_t index) {
    Node& node = m_nodes[index];
    ++m_sent;
    node.cache.RecordArrival(m_now);
    bool admitted = node.cache.TryTake(m_now);
    if (!admitted && !node.cache.IsExhausted(m_now)) {
      node.cache.BeginWait();
      Poll(index);
      node.cache.EndWait();
      admitted = node.cache.TryTake(m_now);
    }
    if (admitted) {
      m_admitted.push_back(m_now);
    } else {
      ++m_rejected;
    }
  }

  void PollDueNodes() {
    for (size_t i = 0; i < m_nodes.size(); ++i) {
      if (m_now < m_nodes[i].next_poll) {
        continue;
      }
      m_nodes[i].next_poll = m_now + kPollInterval;
      if (m_nodes[i].cache.NeedsReport(m_now)) {
        Poll(i);
      }
    }
  }

  void Poll(size_t index) {
    Node& node = m_nodes[index];
    ++m_reports;
    const QuotaReport report = node.cache.Report(m_now, "a");
    if (m_leader_stopped || m_disconnected.contains(index)) {
      return;
    }
    const QuotaGrant grant =
        m_pool->OnReport(m_now, m_limit, std::to_string(index), report);
    node.cache.Apply(m_now, m_now, grant, m_now + kLease);
  }

  void UpdateWindow() {
    while (!m_admitted.empty() && m_admitted.front() + kWindow < m_now) {
      m_admitted.pop_front();
    }
    m_max_in_window = std::max(m_max_in_window, m_admitted.size());
  }

  const RateLimit m_limit;
  TimePoint m_now{100'000};
  std::mt19937 m_random{7};
  std::vector<Node> m_nodes;
  std::optional<QuotaPool> m_pool;
  std::set<size_t> m_disconnected;
  bool m_leader_stopped = false;
  std::optional<size_t> m_only_node;
  std::deque<TimePoint> m_admitted;
  size_t m_sent = 0;
  size_t m_rejected = 0;
  size_t m_reports = 0;
  size_t m_max_in_window = 0;
};

}  // namespace

// Access pattern: many nodes, little demand at each.
BOOST_AUTO_TEST_CASE(steady_demand_below_the_rate_is_rarely_refused) {
  for (size_t nodes : {3u, 13u, 84u}) {
    QuotaFleet fleet(nodes, {54, 54});
    fleet.Run({5'000}, 34);
    fleet.ResetCounts();
    fleet.Run({60'000}, 34);
    BOOST_TEST_CONTEXT("nodes " << nodes) {
      BOOST_TEST(fleet.RejectedFraction() < 0.01);
    }
  }
}

// Access pattern: one account sends many times its rate.
BOOST_AUTO_TEST_CASE(a_hot_account_gets_its_rate_and_no_more) {
  QuotaFleet fleet(13, {54, 54});
  fleet.Run({10'000}, 34);
  fleet.Run({20'000}, 34 * 7.5);
  BOOST_TEST(fleet.max_in_window() <= fleet.Allowed());
  fleet.ResetCounts();
  fleet.Run({10'000}, 34 * 7.5);
  // At least 95 % of the rate is used.
  BOOST_TEST(1 - fleet.RejectedFraction() >= 0.95 * 54 / (34 * 7.5));
}

// Fault: the control leader is lost and another one takes over.
BOOST_AUTO_TEST_CASE(a_change_of_leader_causes_few_refusals) {
  QuotaFleet fleet(13, {54, 54});
  fleet.Run({10'000}, 34);
  fleet.ResetCounts();
  fleet.StopLeader();
  fleet.Run({2'000}, 34);
  fleet.StartLeader();
  fleet.Run({4'000}, 34);
  BOOST_TEST(fleet.RejectedFraction() < 0.15);
  BOOST_TEST(fleet.max_in_window() <= fleet.Allowed());
}

BOOST_AUTO_TEST_CASE(a_hot_account_stays_bounded_over_changes_of_leader) {
  QuotaFleet fleet(13, {54, 54});
  fleet.Run({10'000}, 34 * 7.5);
  for (int i = 0; i < 3; ++i) {
    fleet.StopLeader();
    fleet.Run({1'500}, 34 * 7.5);
    fleet.StartLeader();
    fleet.Run({1'000}, 34 * 7.5);
  }
  BOOST_TEST(fleet.max_in_window() <= fleet.Allowed());
}

BOOST_AUTO_TEST_CASE(nodes_that_are_cut_off_do_not_exceed_the_limit) {
  QuotaFleet fleet(12, {54, 54});
  fleet.Run({10'000}, 34 * 7.5);
  for (size_t node = 0; node < 6; ++node) {
    fleet.Disconnect(node);
  }
  fleet.Run({15'000}, 34 * 7.5);
  BOOST_TEST(fleet.max_in_window() <= fleet.Allowed());
}

// Access pattern: hundreds of nodes and small accounts, so that a node sees an
// account once in tens of seconds or minutes.
BOOST_AUTO_TEST_CASE(small_accounts_on_many_nodes_are_rarely_refused) {
  constexpr double kLimitOverDemand = 1.6;
  for (size_t nodes : {13u, 84u, 184u, 1'400u}) {
    for (double demand : {0.5, 1.0, 4.0, 16.0}) {
      const double rate = demand * kLimitOverDemand;
      QuotaFleet fleet(nodes, {rate, rate});
      fleet.Run({5'000}, demand);
      fleet.ResetCounts();
      fleet.Run({60'000}, demand);
      BOOST_TEST_CONTEXT("nodes " << nodes << ", demand " << demand) {
        BOOST_TEST(fleet.RejectedFraction() < 0.005);
        BOOST_TEST(fleet.max_in_window() <= fleet.Allowed());
        // A token at a request, and some that are handed back.
        BOOST_TEST(fleet.ReportsPerRequest() < 4);
      }
    }
  }
}

// Fault: hot accounts of any size on many nodes, with new leaders and nodes
// that are cut off.
BOOST_AUTO_TEST_CASE(hot_accounts_on_many_nodes_stay_bounded_over_faults) {
  for (size_t nodes : {84u, 184u}) {
    for (double rate : {1.0, 6.0, 54.0}) {
      QuotaFleet fleet(nodes, {rate, rate});
      fleet.Run({10'000}, rate * 5);
      for (size_t node = 0; node < nodes / 2; ++node) {
        fleet.Disconnect(node);
      }
      fleet.Run({6'000}, rate * 5);
      for (int i = 0; i < 3; ++i) {
        fleet.StopLeader();
        fleet.Run({1'500}, rate * 5);
        fleet.StartLeader();
        fleet.Run({1'000}, rate * 5);
      }
      BOOST_TEST_CONTEXT("nodes " << nodes << ", rate " << rate) {
        BOOST_TEST(fleet.max_in_window() <= fleet.Allowed());
      }
    }
  }
}

// Failure: a node that was cut off used its fallback rate, of which a new
// leader did not know, so that both spent the account's rate.
BOOST_AUTO_TEST_CASE(a_new_leader_honours_the_grants_of_its_predecessor) {
  for (const bool hot_before : {false, true}) {
    QuotaFleet fleet(6, {123, 123});
    fleet.SendOnlyTo(0);
    fleet.Run({10'000}, 100);
    if (hot_before) {
      fleet.SendOnlyTo(1);
      fleet.Run({300}, 300);
    }
    fleet.Disconnect(0);
    fleet.StopLeader();
    fleet.SendOnlyTo({});
    fleet.Run({1'000}, 400);
    fleet.StartLeader();
    fleet.Run({6'000}, 600);
    BOOST_TEST(fleet.max_in_window() <= fleet.Allowed());
  }
}
