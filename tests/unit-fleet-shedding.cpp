#define BOOST_TEST_MODULE fleet_shedding
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "rosemarywinch/decisions/control/admission_planner.h"
#include "rosemarywinch/decisions/traffic/entry_admission.h"
#include "rosemarywinch/decisions/traffic/entry_demand_meter.h"
#include "rosemarywinch/decisions/traffic/load_shedder.h"

using namespace rosemarywinch;

namespace {

constexpr Duration kStep{10};
constexpr Duration kPollInterval{500};
constexpr uint32_t kUrgent = 0;
constexpr uint32_t kOther = 2;
constexpr double kCapacity = 300;
const std::string kService = "service";

// Many nodes that admit requests by the plan of one leader, in front of servers
// that share a queue. A call takes `kWork` beside its wait, and its response
// carries the wait as pressure. A node polls the leader twice a second; the
// first one reports the load of all servers.
class Fleet {
 public:
  explicit Fleet(size_t nodes) : m_nodes(nodes) {
    m_planner.Reset(m_now, 1);
    for (size_t i = 0; i < nodes; ++i) {
      m_nodes[i].next_poll =
          m_now + Duration{static_cast<int64_t>(m_random() % 500)};
    }
  }

  // `demand` is in requests/s over all nodes; a quarter of it is urgent.
  void Run(Duration length, double demand) {
    const TimePoint end = m_now + length;
    std::poisson_distribution<int> arrivals(demand * kStep.Seconds());
    while (m_now < end) {
      m_now = m_now + kStep;
      for (int count = arrivals(m_random); count > 0; --count) {
        Offer(m_nodes[choose_node(m_now, m_random() % m_nodes.size())],
              m_random() % 4 == 0 ? kUrgent : kOther);
      }
      const double served = std::min(m_waiting, capacity * kStep.Seconds());
      m_waiting -= served;
      m_served += served;
      Answer();
      for (size_t i = 0; i < m_nodes.size(); ++i) {
        if (m_now >= m_nodes[i].next_poll) {
          Poll(i);
        }
      }
    }
  }

  // Returns the requests/s that end within the time that their callers allow.
  double Goodput(Duration length, double demand) {
    m_offered = m_admitted = m_timely = {};
    m_accounts = {};
    Run(length, demand);
    return (m_timely[kUrgent] + m_timely[kOther]) / length.Seconds();
  }
  double AdmittedFraction(uint32_t priority) {
    return m_admitted[priority] / m_offered[priority];
  }
  double AccountFraction(const std::string& account) {
    return m_accounts[account].second / m_accounts[account].first;
  }
  double WaitSeconds() const { return m_waiting / capacity; }
  double PlannedFraction() const {
    const EntryAdmission* entry =
        FindEntry(m_planner.current(), {kService, kOther});
    return entry == nullptr ? 1 : entry->fraction;
  }
  void ReplaceLeader() { m_planner.Reset(m_now, 2); }

  double capacity = kCapacity;
  bool control_lost = false;
  // Nodes from this index on do not reach the leader.
  size_t cut_off_from = SIZE_MAX;
  std::function<size_t(TimePoint, size_t)> choose_node =
      [](TimePoint, size_t index) { return index; };
  std::function<std::string(std::mt19937&)> choose_account =
      [](std::mt19937& random) { return std::to_string(random() % 40); };

 private:
  static constexpr Duration kWork{100};
  static constexpr double kMaxWaitSeconds = 0.5;

  struct Node {
    PlannedAdmission planned;
    EntryDemandMeter demand;
    LoadShedder shedder;
    PriorityDistribution priorities;
    TimePoint next_poll;
  };
  struct Response {
    TimePoint due;
    Node* node;
    double pressure;
  };

  // The wait differs between the servers.
  double Pressure() {
    std::uniform_real_distribution<double> spread(0, 2);
    return WaitSeconds() * spread(m_random) / 0.040;
  }

  bool Admit(Node& node, const EntryClass& entry, const std::string& account) {
    std::uniform_real_distribution<double> sample(0, 1);
    if (node.planned.IsInForce(m_now)) {
      const auto verdict = node.planned.Admit(entry, account, sample(m_random));
      if (!verdict.admitted) {
        return false;
      }
      node.shedder.FollowPlan(entry.priority, verdict.class_fraction);
    } else {
      node.shedder.EndPlan();
    }
    node.priorities.OnRequest(m_now, entry.priority);
    return node.shedder.Admit(
        m_now, entry.priority,
        node.priorities.LowerPriorityFraction(entry.priority),
        sample(m_random));
  }

  void Offer(Node& node, uint32_t priority) {
    const EntryClass entry{kService, priority};
    const std::string account = choose_account(m_random);
    const bool admitted = Admit(node, entry, account);
    node.demand.OnRequest(entry, account, admitted, m_random());
    m_offered[priority] += 1;
    m_accounts[account].first += 1;
    if (!admitted) {
      return;
    }
    m_admitted[priority] += 1;
    m_accounts[account].second += 1;
    m_timely[priority] += WaitSeconds() < kMaxWaitSeconds ? 1 : 0;
    m_waiting += 1;
    const Duration wait{static_cast<int64_t>(WaitSeconds() * 1000)};
    m_responses.push_back({m_now + wait + kWork, &node, Pressure()});
  }

  void Answer() {
    std::erase_if(m_responses, [&](const Response& response) {
      if (response.due > m_now) {
        return false;
      }
      response.node->shedder.OnPressure(m_now, response.pressure);
      return true;
    });
  }

  void Poll(size_t index) {
    Node& node = m_nodes[index];
    node.next_poll = m_now + kPollInterval;
    PollRequest request;
    request.node = std::to_string(index);
    request.demand = node.demand.Take(m_now);
    if (index == 0) {
      FillLoad(request);
    }
    if (control_lost || index >= cut_off_from) {
      return;
    }
    BOOST_REQUIRE(std::holds_alternative<Done>(
        Capture([&] { return m_planner.OnReport(m_now, request); })));
    if (!m_planner.IsComplete(m_now)) {
      return;
    }
    const AdmissionPlan& plan =
        m_planner.Plan(m_now, [](const std::string&) { return 0.0; });
    if (plan.revision != node.planned.revision()) {
      node.planned.Apply(m_now, plan);
    }
    node.planned.Confirm(m_now, plan.revision);
  }

  void FillLoad(PollRequest& request) {
    const double rate = m_served / kPollInterval.Seconds();
    const double busy = rate * kWork.Seconds() * (kCapacity / capacity);
    request.member.service = kService;
    request.member.state = BackendState::kReady;
    request.load = BackendLoad{
        kCapacity * kWork.Seconds(), busy, std::floor(m_waiting), rate, 0, 0};
    request.usage = {{kService, busy}};
    m_served = 0;
  }

  std::vector<Node> m_nodes;
  TimePoint m_now{10'000};
  std::mt19937 m_random{7};
  AdmissionPlanner m_planner;
  double m_waiting = 0;
  double m_served = 0;
  std::vector<Response> m_responses;
  std::map<uint32_t, double> m_offered;
  std::map<uint32_t, double> m_admitted;
  std::map<uint32_t, double> m_timely;
  std::map<std::string, std::pair<double, double>> m_accounts;
};

}  // namespace

// Pattern: demand far above the capacity, a few requests a second at each of
// many nodes.
BOOST_AUTO_TEST_CASE(an_overload_is_shed_within_3_seconds_at_any_size) {
  for (size_t nodes : {13u, 84u, 184u, 1'400u}) {
    Fleet fleet(nodes);
    fleet.Run({8'000}, 0.5 * kCapacity);
    fleet.Run({3'000}, 1.8 * kCapacity);
    const double goodput = fleet.Goodput({10'000}, 1.8 * kCapacity);
    BOOST_TEST_CONTEXT("nodes " << nodes) {
      BOOST_TEST(goodput >= 0.8 * kCapacity);
      BOOST_TEST(fleet.AdmittedFraction(kUrgent) > 0.95);
      BOOST_TEST(fleet.AdmittedFraction(kOther) > 0.25);
      BOOST_TEST(fleet.WaitSeconds() < 0.1);
    }
  }
}

BOOST_AUTO_TEST_CASE(all_are_admitted_soon_after_an_overload_at_any_size) {
  for (size_t nodes : {13u, 84u, 184u, 1'400u}) {
    Fleet fleet(nodes);
    fleet.Run({15'000}, 1.8 * kCapacity);
    fleet.Run({3'000}, 0.5 * kCapacity);
    fleet.Goodput({5'000}, 0.5 * kCapacity);
    BOOST_TEST_CONTEXT("nodes " << nodes) {
      BOOST_TEST(fleet.AdmittedFraction(kUrgent) > 0.99);
      BOOST_TEST(fleet.AdmittedFraction(kOther) > 0.99);
    }
  }
}

// Failure: the plan stayed where it had been driven, shut or open.
BOOST_AUTO_TEST_CASE(the_plan_converges_from_open_and_from_shut) {
  Fleet open(84);
  open.Run({8'000}, 0.5 * kCapacity);
  open.Run({15'000}, 1.5 * kCapacity);
  Fleet shut(84);
  shut.Run({8'000}, 0.5 * kCapacity);
  shut.capacity = 0.1 * kCapacity;
  shut.Run({10'000}, 1.5 * kCapacity);
  shut.capacity = kCapacity;
  shut.Run({25'000}, 1.5 * kCapacity);
  const double from_open = open.Goodput({5'000}, 1.5 * kCapacity);
  const double from_shut = shut.Goodput({5'000}, 1.5 * kCapacity);
  BOOST_TEST(from_open >= 0.8 * kCapacity);
  BOOST_TEST(from_shut >= 0.8 * kCapacity);
}

// Failure: capacity falls to a tenth within a second, which the plan learns
// late; the nodes must react by themselves meanwhile.
BOOST_AUTO_TEST_CASE(a_collapse_is_met_within_seconds) {
  Fleet fleet(84);
  fleet.Run({8'000}, 0.7 * kCapacity);
  fleet.capacity = 0.1 * kCapacity;
  fleet.Run({6'000}, 0.7 * kCapacity);
  const double goodput = fleet.Goodput({10'000}, 0.7 * kCapacity);
  BOOST_TEST(goodput >= 0.5 * fleet.capacity);
  fleet.capacity = kCapacity;
  fleet.Run({15'000}, 0.7 * kCapacity);
  BOOST_TEST(fleet.Goodput({5'000}, 0.7 * kCapacity) >= 0.65 * kCapacity);
}

// Fault: control is lost in an overload. Each node goes on from the plan.
BOOST_AUTO_TEST_CASE(without_control_nodes_go_on_from_the_last_plan) {
  Fleet fleet(84);
  fleet.Run({8'000}, 0.5 * kCapacity);
  fleet.Run({8'000}, 1.8 * kCapacity);
  fleet.control_lost = true;
  fleet.Run({2'500}, 1.8 * kCapacity);
  BOOST_TEST(fleet.Goodput({3'000}, 1.8 * kCapacity) >= 0.7 * kCapacity);
  BOOST_TEST(fleet.AdmittedFraction(kUrgent) > fleet.AdmittedFraction(kOther));
}

// Fault: the leader dies in an overload, and the next one knows nothing.
BOOST_AUTO_TEST_CASE(a_new_leader_plans_from_the_first_reports) {
  Fleet fleet(84);
  fleet.Run({8'000}, 0.5 * kCapacity);
  fleet.Run({8'000}, 1.8 * kCapacity);
  fleet.ReplaceLeader();
  BOOST_TEST(fleet.Goodput({4'000}, 1.8 * kCapacity) >= 0.75 * kCapacity);
}

// Fault: a part of the nodes doesn't reach control and doesn't follow the plan.
BOOST_AUTO_TEST_CASE(a_partitioned_part_does_no_more_harm_than_its_share) {
  Fleet fleet(80);
  fleet.cut_off_from = 72;
  fleet.Run({8'000}, 0.5 * kCapacity);
  fleet.Run({5'000}, 1.8 * kCapacity);
  BOOST_TEST(fleet.Goodput({10'000}, 1.8 * kCapacity) >= 0.75 * kCapacity);
}

// Pattern: all requests enter at one half of the nodes, then at the other.
BOOST_AUTO_TEST_CASE(demand_may_move_each_second) {
  Fleet fleet(84);
  fleet.choose_node = [](TimePoint now, size_t index) {
    return index / 2 + (now.ms / 1'000 % 2 == 0 ? 0 : 42);
  };
  fleet.Run({8'000}, 0.5 * kCapacity);
  fleet.Run({5'000}, 1.8 * kCapacity);
  BOOST_TEST(fleet.Goodput({10'000}, 1.8 * kCapacity) >= 0.8 * kCapacity);
}

// Pattern: one account sends as much as all others together, which alone fit
// the capacity. Failure: the others were refused because of it.
BOOST_AUTO_TEST_CASE(an_account_below_its_fair_share_is_refused_nothing) {
  for (size_t nodes : {13u, 184u, 1'400u}) {
    Fleet fleet(nodes);
    fleet.Run({8'000}, 0.5 * kCapacity);
    fleet.choose_account = [](std::mt19937& random) {
      return random() % 2 == 0 ? std::string("heavy")
                               : std::to_string(random() % 40);
    };
    fleet.Run({6'000}, 1.2 * kCapacity);
    fleet.Goodput({10'000}, 1.2 * kCapacity);
    BOOST_TEST_CONTEXT("nodes " << nodes) {
      for (int i = 0; i < 40; ++i) {
        BOOST_TEST(fleet.AccountFraction(std::to_string(i)) > 0.9);
      }
      BOOST_TEST(fleet.AccountFraction("heavy") < 0.75);
      BOOST_TEST(fleet.AccountFraction("heavy") > 0.3);
    }
  }
}

// Failure: a fleet with spare capacity refused requests.
BOOST_AUTO_TEST_CASE(nothing_is_refused_below_capacity) {
  Fleet fleet(84);
  fleet.Run({5'000}, 0.7 * kCapacity);
  fleet.Goodput({20'000}, 0.7 * kCapacity);
  BOOST_TEST(fleet.AdmittedFraction(kUrgent) == 1.0);
  BOOST_TEST(fleet.AdmittedFraction(kOther) == 1.0);
  BOOST_TEST(fleet.PlannedFraction() == 1.0);
}

BOOST_AUTO_TEST_CASE(a_new_priority_begins_where_the_others_are) {
  TimePoint now{10'000};
  LoadShedder shedder;
  shedder.Admit(now, kOther, 0, 0);
  for (int i = 0; i < 40; ++i) {
    now = now + kPollInterval;
    shedder.OnPressure(now, 10);
    shedder.OnPressure(now + Duration{1}, 10);
  }
  constexpr uint32_t kLowest = 9;
  BOOST_TEST(!shedder.Admit(now, kLowest, 0, 0.5));
}

// Failure: when the plan ended, all nodes admitted everything for a moment.
BOOST_AUTO_TEST_CASE(the_load_shedder_goes_on_from_the_plan) {
  const TimePoint now{10'000};
  LoadShedder shedder;
  shedder.FollowPlan(kOther, 0.4);
  BOOST_TEST(shedder.Admit(now, kOther, 0, 0.9));
  shedder.EndPlan();
  BOOST_TEST(shedder.admitted(kOther) == 0.4);
  BOOST_TEST(!shedder.Admit(now, kOther, 0, 0.5));
}
