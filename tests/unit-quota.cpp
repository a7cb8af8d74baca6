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

// Nodes that poll a leader twice a second, and at once when a request finds no
// token and the fleet is not known to be dry. Time is simulated.
class QuotaFleet {
 public:
  QuotaFleet(size_t nodes, AllowanceLimit limit)
      : m_limit(limit), m_nodes(nodes) {
    m_pool.emplace(m_now, kLease, QuotaTolerance{});
  }

  // `rate`: requests/s over all nodes.
  void Run(Duration length, double rate) {
    const TimePoint end = m_now + length;
    while (m_now < end) {
      m_now = m_now + kStep;
      PollWhatIsDue();
      std::poisson_distribution<int> arrivals(rate * kStep.Seconds());
      for (int count = arrivals(m_random); count > 0; --count) {
        Offer(m_random() % m_nodes.size());
      }
      CountWindow();
    }
  }

  void CutOff(size_t node) { m_cut.insert(node); }
  void LoseLeader() { m_leader_gone = true; }
  void NewLeader() {
    m_leader_gone = false;
    m_pool.emplace(m_now, kLease, QuotaTolerance{});
  }

  double RefusedPart() const {
    return static_cast<double>(m_refused) / static_cast<double>(m_offered);
  }
  void ForgetCounts() { m_refused = m_offered = 0; }
  size_t most_in_window() const { return m_most; }

  // What the users' rule allows in a window.
  double Allowed() const {
    return (m_limit.rate * kWindow.Seconds() + m_limit.burst) * 1.1 + 20;
  }

 private:
  struct Node {
    QuotaCache cache;
    TimePoint next_poll;
  };

  void Offer(size_t index) {
    Node& node = m_nodes[index];
    ++m_offered;
    node.cache.CountOffer(m_now);
    bool taken = node.cache.TryTake(m_now);
    if (!taken && !node.cache.IsDry(m_now)) {
      node.cache.BeginWait();
      Poll(index);
      node.cache.EndWait();
      taken = node.cache.TryTake(m_now);
    }
    if (taken) {
      m_taken.push_back(m_now);
    } else {
      ++m_refused;
    }
  }

  void PollWhatIsDue() {
    for (size_t i = 0; i < m_nodes.size(); ++i) {
      if (m_now >= m_nodes[i].next_poll) {
        Poll(i);
      }
    }
  }

  void Poll(size_t index) {
    Node& node = m_nodes[index];
    node.next_poll = m_now + kPollInterval;
    const QuotaReport report = node.cache.Report(m_now, "a");
    if (m_leader_gone || m_cut.contains(index)) {
      return;
    }
    const QuotaGrant grant =
        m_pool->OnReport(m_now, m_limit, std::to_string(index), report);
    node.cache.Apply(m_now, m_now, grant, m_now + kLease);
  }

  void CountWindow() {
    while (!m_taken.empty() && m_taken.front() + kWindow < m_now) {
      m_taken.pop_front();
    }
    m_most = std::max(m_most, m_taken.size());
  }

  const AllowanceLimit m_limit;
  TimePoint m_now{100'000};
  std::mt19937 m_random{7};
  std::vector<Node> m_nodes;
  std::optional<QuotaPool> m_pool;
  std::set<size_t> m_cut;
  bool m_leader_gone = false;
  std::deque<TimePoint> m_taken;
  size_t m_offered = 0;
  size_t m_refused = 0;
  size_t m_most = 0;
};

}  // namespace

// Pattern: many nodes, little demand at each.
BOOST_AUTO_TEST_CASE(steady_demand_below_the_rate_is_hardly_refused) {
  for (size_t nodes : {3u, 13u, 84u}) {
    QuotaFleet fleet(nodes, {54, 54});
    fleet.Run({5'000}, 34);
    fleet.ForgetCounts();
    fleet.Run({60'000}, 34);
    BOOST_TEST_CONTEXT("nodes " << nodes) {
      BOOST_TEST(fleet.RefusedPart() < 0.01);
    }
  }
}

// Pattern: one account sends many times its rate.
BOOST_AUTO_TEST_CASE(a_hot_account_gets_its_rate_and_no_more) {
  QuotaFleet fleet(13, {54, 54});
  fleet.Run({10'000}, 34);
  fleet.Run({20'000}, 34 * 7.5);
  BOOST_TEST(fleet.most_in_window() <= fleet.Allowed());
  fleet.ForgetCounts();
  fleet.Run({10'000}, 34 * 7.5);
  // At most a twentieth of the rate stays unused.
  BOOST_TEST(1 - fleet.RefusedPart() >= 0.95 * 54 / (34 * 7.5));
}

// Pattern: the leader of control is lost and another one begins.
BOOST_AUTO_TEST_CASE(a_change_of_leader_refuses_little) {
  QuotaFleet fleet(13, {54, 54});
  fleet.Run({10'000}, 34);
  fleet.ForgetCounts();
  fleet.LoseLeader();
  fleet.Run({2'000}, 34);
  fleet.NewLeader();
  fleet.Run({4'000}, 34);
  BOOST_TEST(fleet.RefusedPart() < 0.15);
  BOOST_TEST(fleet.most_in_window() <= fleet.Allowed());
}

BOOST_AUTO_TEST_CASE(a_hot_account_stays_bounded_over_changes_of_leader) {
  QuotaFleet fleet(13, {54, 54});
  fleet.Run({10'000}, 34 * 7.5);
  for (int i = 0; i < 3; ++i) {
    fleet.LoseLeader();
    fleet.Run({1'500}, 34 * 7.5);
    fleet.NewLeader();
    fleet.Run({1'000}, 34 * 7.5);
  }
  BOOST_TEST(fleet.most_in_window() <= fleet.Allowed());
}

BOOST_AUTO_TEST_CASE(nodes_that_are_cut_off_do_not_break_the_limit) {
  QuotaFleet fleet(12, {54, 54});
  fleet.Run({10'000}, 34 * 7.5);
  for (size_t node = 0; node < 6; ++node) {
    fleet.CutOff(node);
  }
  fleet.Run({15'000}, 34 * 7.5);
  BOOST_TEST(fleet.most_in_window() <= fleet.Allowed());
}
