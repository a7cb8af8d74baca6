#define BOOST_TEST_MODULE admission_plan
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <limits>
#include <random>
#include <string>
#include <vector>

#include "rosemarywinch/decisions/control/admission_planner.h"
#include "rosemarywinch/decisions/traffic/entry_admission.h"
#include "rosemarywinch/decisions/traffic/entry_demand_meter.h"
#include "rosemarywinch/decisions/traffic/entry_usage_meter.h"

using namespace rosemarywinch;

namespace {

constexpr Duration kPollInterval{500};

double NoLimit(const std::string&) {
  return 0;
}

// One node that reports a service of 10 usable slots, where each admitted
// request takes 0.1 slots.
class OneNode {
 public:
  OneNode() { planner.Reset(now, 3); }

  void Poll(std::vector<EntryDemand> demand, double busy) {
    now = now + kPollInterval;
    request.node = "n1";
    request.member.service = "shop";
    request.member.state = BackendState::kReady;
    request.load = BackendLoad{10, busy, 0, busy * 10, 0, 0};
    request.demand = std::move(demand);
    request.usage = {{"shop", busy}};
    Report();
    planner.Plan(now, limit);
  }
  bool Report() {
    return std::holds_alternative<Done>(
        Capture([&] { return planner.OnReport(now, request); }));
  }
  const AdmissionPlan& plan() const { return planner.current(); }

  TimePoint now{10'000};
  PollRequest request;
  AdmissionPlanner planner;
  AdmissionPlanner::AccountLimit limit = NoLimit;
};

EntryDemand Demand(double offered, double admitted) {
  return {"shop", 1, offered, admitted, {}};
}

// Classes of random priorities, rates and costs in front of services with
// random capacities.
struct Scenario {
  explicit Scenario(uint32_t seed) {
    std::mt19937 random(seed);
    std::uniform_real_distribution<double> number(0, 1);
    for (int i = 0; i < 4; ++i) {
      capacities.push_back(100 * number(random));
    }
    for (int i = 0; i < 12; ++i) {
      ClassDemand demand;
      demand.priority = static_cast<uint32_t>(random() % 4);
      demand.rate = 200 * number(random);
      for (size_t service = 0; service < capacities.size(); ++service) {
        if (random() % 2 == 0) {
          demand.costs.push_back({service, 0.3 * number(random), true});
        }
      }
      classes.push_back(demand);
    }
  }
  bool Uses(const ClassDemand& demand, size_t service) const {
    return std::any_of(
        demand.costs.begin(), demand.costs.end(),
        [&](const SlotCost& cost) { return cost.service == service; });
  }

  std::vector<double> capacities;
  std::vector<ClassDemand> classes;
};

}  // namespace

// Guards against refusals of faulty servers that are not busy being taken for a
// shortage: the plan then admits less and less, and the servers idle.
BOOST_AUTO_TEST_CASE(refusals_of_idle_servers_limit_nothing) {
  OneNode node;
  for (int poll = 0; poll < 30; ++poll) {
    node.now = node.now + kPollInterval;
    node.request.node = "n1";
    node.request.member.service = "shop";
    node.request.member.state = BackendState::kReady;
    // Half of the calls are refused, whatever arrives.
    node.request.load = BackendLoad{10, 4, 0, 40, 40, 0};
    node.request.demand = {Demand(80, 80)};
    node.request.usage = {{"shop", 4}};
    BOOST_REQUIRE(node.Report());
    node.planner.Plan(node.now, NoLimit);
    BOOST_REQUIRE(node.plan().entries.empty());
  }
}

// Guards against costs from the first few requests, here a long one, that limit
// a class while most slots are free.
BOOST_AUTO_TEST_CASE(a_service_with_free_slots_limits_nothing) {
  OneNode node;
  for (int poll = 0; poll < 12; ++poll) {
    node.Poll({Demand(3, 0.6)}, 3);
    BOOST_REQUIRE(node.plan().entries.empty());
  }
}

// Guards against the queue of one server that answers nothing being taken for a
// shortage of the whole service.
BOOST_AUTO_TEST_CASE(the_queue_of_a_hung_server_limits_nothing) {
  OneNode node;
  PollRequest hung;
  hung.node = "n2";
  hung.member.service = "shop";
  hung.member.state = BackendState::kReady;
  hung.load = BackendLoad{2, 2, 400, 0, 0, 0};
  for (int poll = 0; poll < 30; ++poll) {
    BOOST_REQUIRE(std::holds_alternative<Done>(
        Capture([&] { return node.planner.OnReport(node.now, hung); })));
    node.Poll({Demand(80, 80)}, 8);
    BOOST_REQUIRE(node.plan().entries.empty());
  }
}

// Guards against the idle slots of an evacuated data centre being planned for,
// so that twice as much is admitted as the others can serve.
BOOST_AUTO_TEST_CASE(slots_of_evacuated_nodes_are_no_capacity) {
  OneNode node;
  PollRequest evacuated;
  evacuated.node = "n2";
  evacuated.member.service = "shop";
  evacuated.member.state = BackendState::kReady;
  evacuated.load = BackendLoad{10, 0, 0, 0, 0, 0};
  for (int poll = 0; poll < 12; ++poll) {
    const auto reported = Capture([&] {
      return node.planner.OnReport(node.now, evacuated, /*in_use=*/false);
    });
    BOOST_REQUIRE(std::holds_alternative<Done>(reported));
    node.Poll({Demand(180, 90)}, 9);
  }
  BOOST_REQUIRE(node.plan().entries.size() == 1u);
  BOOST_TEST(node.plan().entries[0].fraction < 0.6);
}

// Failure: a class was refused while a less urgent one got more of the same
// capacity than the least share that each class is promised.
BOOST_AUTO_TEST_CASE(no_class_is_refused_for_a_less_urgent_one) {
  for (uint32_t seed = 1; seed <= 200; ++seed) {
    const Scenario scenario(seed);
    const auto shares = DivideCapacity(scenario.classes, scenario.capacities);
    const auto proportional =
        DivideInProportion(scenario.classes, scenario.capacities);
    for (size_t i = 0; i < shares.size(); ++i) {
      for (size_t j = 0; j < shares.size(); ++j) {
        const bool competes =
            shares[i].bottleneck &&
            scenario.Uses(scenario.classes[j], *shares[i].bottleneck) &&
            scenario.classes[j].priority > scenario.classes[i].priority;
        if (competes) {
          BOOST_TEST_CONTEXT("seed " << seed) {
            BOOST_TEST(
                shares[j].fraction <=
                std::max(kProbe, kLeastShare * proportional[j].fraction) +
                    1e-6);
          }
        }
      }
    }
  }
}

// Failure: the plan filled a service beyond its capacity, or left capacity
// unused that a refused class could have had.
BOOST_AUTO_TEST_CASE(capacity_is_used_up_and_not_exceeded) {
  for (uint32_t seed = 1; seed <= 200; ++seed) {
    const Scenario scenario(seed);
    const auto shares = DivideCapacity(scenario.classes, scenario.capacities);
    std::vector<double> used(scenario.capacities.size());
    std::vector<double> probes(used.size());
    for (size_t i = 0; i < shares.size(); ++i) {
      for (const SlotCost& cost : scenario.classes[i].costs) {
        const double all = cost.slots * scenario.classes[i].rate;
        used[cost.service] += all * shares[i].fraction;
        probes[cost.service] += all * kProbe;
      }
    }
    BOOST_TEST_CONTEXT("seed " << seed) {
      for (size_t service = 0; service < used.size(); ++service) {
        BOOST_TEST(used[service] <=
                   scenario.capacities[service] + probes[service] + 1e-6);
      }
      for (const ClassShare& share : shares) {
        BOOST_TEST((share.fraction > 1 - 1e-6 || share.bottleneck.has_value()));
        if (share.bottleneck) {
          BOOST_TEST(used[*share.bottleneck] >=
                     scenario.capacities[*share.bottleneck] - 1e-6);
        }
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(accounts_below_the_fair_rate_are_admitted_whole) {
  const auto fractions =
      DivideAmongAccounts(0.5, {{"a", 10}, {"b", 20}, {"c", 70}});
  BOOST_TEST(fractions[0] == 1.0, boost::test_tools::tolerance(1e-6));
  BOOST_TEST(fractions[1] == 1.0, boost::test_tools::tolerance(1e-6));
  BOOST_TEST(fractions[2] == 2.0 / 7, boost::test_tools::tolerance(1e-6));
  // An account that sends nearly everything keeps its least share.
  std::vector<AccountDemand> accounts(20, {"small", 10});
  accounts.push_back({"large", 800});
  BOOST_TEST(DivideAmongAccounts(0.24, accounts).back() == kLeastShare * 0.24,
             boost::test_tools::tolerance(1e-6));
}

// Pattern: an account sends far more than its own limit. Its excess is refused
// by its rate, so it must take no capacity from others.
BOOST_AUTO_TEST_CASE(demand_counts_up_to_the_limit_of_its_account) {
  OneNode node;
  node.limit = [](const std::string& account) {
    return account == "limited" ? 10.0 : 0.0;
  };
  EntryDemand demand = Demand(500, 50);
  demand.accounts = {{"limited", 450}, {"other", 50}};
  for (int i = 0; i < 20; ++i) {
    node.Poll({demand}, 5);
  }
  BOOST_TEST(node.plan().entries.empty());
}

// Failure: a service whose costs are not measured yet was limited by a guess.
BOOST_AUTO_TEST_CASE(a_class_without_a_measured_cost_is_admitted_whole) {
  OneNode node;
  for (int i = 0; i < 20; ++i) {
    node.Poll({Demand(150, 90), {"new", 5, 1'000, 1'000, {}}}, 9);
  }
  BOOST_REQUIRE(node.plan().entries.size() == 1u);
  BOOST_TEST(node.plan().entries.front().service == "shop");
  BOOST_TEST(node.plan().entries.front().bottleneck == "shop");
  BOOST_TEST(node.plan().entries.front().fraction == 0.6,
             boost::test_tools::tolerance(0.03));
}

// Fault: a node sends numbers that are not finite, negative or absurd.
BOOST_AUTO_TEST_CASE(an_invalid_report_changes_nothing) {
  for (const double bad :
       {std::nan(""), -1.0, 1e9, std::numeric_limits<double>::infinity()}) {
    OneNode node;
    for (int i = 0; i < 10; ++i) {
      node.Poll({Demand(150, 90)}, 9);
    }
    const AdmissionPlan before = node.plan();
    node.request.demand = {Demand(bad, 90)};
    BOOST_TEST(!node.Report());
    node.request.demand = {Demand(150, 90)};
    node.request.usage = {{"shop", bad}};
    BOOST_TEST(!node.Report());
    node.request.usage = {};
    node.request.load->busy = bad;
    BOOST_TEST(!node.Report());
    node.now = node.now + kPollInterval;
    BOOST_TEST((node.planner.Plan(node.now, NoLimit) == before));
  }
}

// Failure: noise of the measurements gave a new plan with each step, which all
// nodes had to fetch.
BOOST_AUTO_TEST_CASE(a_steady_overload_changes_the_plan_rarely) {
  OneNode node;
  std::mt19937 random(7);
  std::poisson_distribution<int> offered(75);
  const auto poll = [&] { node.Poll({Demand(2 * offered(random), 90)}, 9); };
  for (int i = 0; i < 20; ++i) {
    poll();
  }
  const uint64_t before = node.plan().revision;
  for (int i = 0; i < 100; ++i) {
    poll();
  }
  BOOST_TEST(node.plan().revision - before <= 50);
}

// Fault: a new leader has heard from few nodes; and its plan must replace that
// of an earlier term, whatever the number of changes in that one.
BOOST_AUTO_TEST_CASE(a_new_leader_plans_once_it_knows_the_fleet) {
  OneNode node;
  const uint64_t before = node.plan().revision;
  node.planner.Reset(node.now, 4);
  BOOST_TEST(!node.planner.IsComplete(node.now + kPollInterval));
  BOOST_TEST(node.planner.IsComplete(node.now + kPollInterval * 3));
  BOOST_TEST(node.plan().revision > before);
}

BOOST_AUTO_TEST_CASE(a_fraction_of_requests_is_admitted_evenly) {
  PlannedAdmission planned;
  const TimePoint now{10'000};
  AdmissionPlan plan{7, {{"shop", 1, 0.5, {{"heavy", 0.25}}, "last"}}};
  BOOST_TEST(planned.Apply(now, plan));
  for (int i = 0; i < 10; ++i) {
    int admitted = 0;
    for (int j = 0; j < 4; ++j) {
      admitted += planned.Admit({"shop", 1}, "a", 0.3).admitted ? 1 : 0;
    }
    BOOST_TEST(admitted == 2);
  }
  const PlannedVerdict verdict = planned.Admit({"shop", 1}, "heavy", 0);
  BOOST_TEST(!verdict.admitted);
  BOOST_TEST(verdict.account_share);
  BOOST_TEST(verdict.fraction == 0.25);
  BOOST_TEST(verdict.bottleneck == "last");
  BOOST_TEST(planned.Admit({"shop", 0}, "heavy", 0).admitted);
}

// Failure: each of many nodes refused its first request.
BOOST_AUTO_TEST_CASE(nodes_with_one_request_each_admit_the_fraction) {
  std::mt19937 random(7);
  std::uniform_real_distribution<double> start(0, 1);
  int admitted = 0;
  for (int i = 0; i < 1'400; ++i) {
    PlannedAdmission planned;
    planned.Apply(TimePoint{0}, {7, {{"shop", 1, 0.3, {}, "last"}}});
    admitted += planned.Admit({"shop", 1}, "a", start(random)).admitted ? 1 : 0;
  }
  BOOST_TEST(admitted > 0.25 * 1'400);
  BOOST_TEST(admitted < 0.35 * 1'400);
}

// Fault: a node is cut off from control, or gets a plan that cannot be.
BOOST_AUTO_TEST_CASE(a_plan_is_in_force_for_two_seconds) {
  PlannedAdmission planned;
  const TimePoint now{10'000};
  BOOST_TEST(!planned.IsInForce(now));
  planned.Apply(now, {7, {}});
  BOOST_TEST(planned.IsInForce(now + Duration{1'999}));
  BOOST_TEST(!planned.IsInForce(now + Duration{2'000}));
  planned.Confirm(now + Duration{1'000}, 6);
  BOOST_TEST(!planned.IsInForce(now + Duration{2'000}));
  planned.Confirm(now + Duration{1'000}, 7);
  BOOST_TEST(planned.IsInForce(now + Duration{2'000}));
  BOOST_TEST(!planned.Apply(now, {8, {{"shop", 1, std::nan(""), {}, ""}}}));
  BOOST_TEST(planned.revision() == 7u);
}

// Pattern: an account's requests are spread over so many nodes that each sees
// less than one in a report.
BOOST_AUTO_TEST_CASE(samples_of_many_nodes_give_the_rates_of_accounts) {
  std::mt19937 random(7);
  TimePoint now{10'000};
  double heavy = 0;
  double all = 0;
  for (int node = 0; node < 100; ++node) {
    EntryDemandMeter meter;
    meter.Take(now);
    for (int i = 0; i < 15; ++i) {
      const bool is_heavy = random() % 3 == 0;
      meter.OnRequest({"shop", 1},
                      is_heavy ? "heavy" : std::to_string(random() % 80), true,
                      random());
    }
    const auto demand = meter.Take(now + kPollInterval);
    BOOST_REQUIRE(demand.size() == 1u);
    BOOST_TEST(demand[0].accounts.size() <= EntryDemandMeter::kSamples);
    for (const AccountDemand& account : demand[0].accounts) {
      heavy += account.account == "heavy" ? account.offered_rate : 0;
      all += account.offered_rate;
    }
  }
  BOOST_TEST(all == 3'000, boost::test_tools::tolerance(1e-6));
  BOOST_TEST(heavy == 1'000, boost::test_tools::tolerance(0.1));
}

// Failure: a poll grew with the number of classes times the accounts of each.
BOOST_AUTO_TEST_CASE(a_report_of_many_classes_names_one_account_of_each) {
  const TimePoint now{10'000};
  EntryDemandMeter meter;
  meter.Take(now);
  for (uint32_t i = 0; i < 40; ++i) {
    meter.OnRequest({"shop", i % 10}, std::to_string(i), true, i);
  }
  for (const EntryDemand& demand : meter.Take(now + kPollInterval)) {
    BOOST_REQUIRE(demand.accounts.size() == 1u);
    BOOST_TEST(demand.accounts[0].offered_rate == demand.offered_rate);
  }
}

BOOST_AUTO_TEST_CASE(usage_is_the_mean_of_slots_over_time) {
  EntryUsageMeter meter;
  const TimePoint now{10'000};
  meter.Take(now);
  meter.Begin(now, "shop");
  meter.Begin(now + Duration{250}, "shop");
  meter.End(now + Duration{500}, "shop");
  const auto usage = meter.Take(now + Duration{500});
  BOOST_REQUIRE(usage.size() == 1u);
  BOOST_TEST(usage[0].slots == 1.5);
  // Two polls in quick succession.
  BOOST_TEST((meter.Take(now + Duration{540}) == usage));
  meter.End(now + Duration{750}, "shop");
  BOOST_TEST(meter.Take(now + Duration{1'000})[0].slots == 0.5);
  BOOST_TEST(meter.Take(now + Duration{1'500}).empty());
}

// Failure: callers of a nearly shut class returned soon to be refused again.
BOOST_AUTO_TEST_CASE(retries_are_spread_wider_the_less_is_admitted) {
  BOOST_TEST(RetryAfterShedding(1, 0).ms == 500);
  BOOST_TEST(RetryAfterShedding(0.5, 0).ms == 1'000);
  BOOST_TEST(RetryAfterShedding(0.5, 1).ms == 4'000);
  BOOST_TEST(RetryAfterShedding(0, 1).ms == 20'000);
}
