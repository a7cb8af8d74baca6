#ifndef ROSEMARYWINCH_DECISIONS_CONTROL_ADMISSION_PLANNER_H_
#define ROSEMARYWINCH_DECISIONS_CONTROL_ADMISSION_PLANNER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "rosemarywinch/core/error.h"
#include "rosemarywinch/core/time.h"
#include "rosemarywinch/decisions/control/admission_entry.h"
#include "rosemarywinch/decisions/control/capacity_shares.h"
#include "rosemarywinch/decisions/control/service_capacity.h"
#include "rosemarywinch/decisions/traffic/entry_class.h"
#include "rosemarywinch/schema/control.h"

namespace rosemarywinch {

/// The leader's admission control for the whole fleet: computes which fraction
/// of the root requests of each class, and of the accounts that send most, all
/// nodes admit.
///
/// Nodes report what enters the fleet, and what their backend servers spend on
/// requests of each entry service. The ratio of the sums is what a root request
/// costs each service that it uses, directly or not. Capacity is the usable
/// slots, less a reserve, less what is needed to work off waiting calls, times
/// a factor that falls while calls wait or are refused in spite of the plan.
/// State is rebuilt in each term. Not thread-safe: the caller serialises all
/// calls.
class AdmissionPlanner {
 public:
  /// Returns the limit of an account in requests per second, 0 for none.
  using AccountLimit = std::function<double(const std::string& account)>;

  /// Forgets all reports, for the leader of a new term.
  void Reset(TimePoint now, uint64_t term);

  /// Records what a node reports. The capacity of a backend server that is not
  /// `in_use`, because its data centre is evacuated, doesn't count. Errors:
  /// kBadValue for numbers that are not finite, negative or absurdly great, and
  /// for lists that are too long; nothing has changed then.
  Result<Done> OnReport(TimePoint now,
                        const PollRequest& request,
                        bool in_use = true);

  /// Returns whether all nodes have had time to report.
  bool IsComplete(TimePoint now) const;

  /// Returns the plan, computed anew twice a second. Its revision changes only
  /// if the plan differs by more than the noise of the measurements.
  /// Complexity: linear in the reports, at most twice a second.
  const AdmissionPlan& Plan(TimePoint now, const AccountLimit& limit);

  /// The plan as it was computed last.
  const AdmissionPlan& current() const { return m_plan; }

 private:
  struct Report {
    TimePoint at;
    std::string service;
    BackendLoad load;
    std::vector<EntryDemand> demand;
    std::vector<EntryUsage> usage;
  };
  /// Smoothed slots and requests/s, and their ratio.
  struct Cost {
    double usage = 0;
    double admitted = 0;
    double slots = 0;
  };
  struct ClassState {
    double offered = 0;
    /// Rates of the accounts, in proportion to each other.
    std::map<std::string, double> accounts;
  };
  /// Sums over the reports of all nodes.
  struct Sums {
    std::map<EntryClass, ClassState> classes;
    std::map<std::string, double> admitted;
    /// Slots by service and entry service.
    std::map<std::string, std::map<std::string, double>> usage;
  };

  static Result<Done> CheckReport(const PollRequest& request);
  void Step(TimePoint now, const AccountLimit& limit);
  Sums SumReports(TimePoint now);
  void UpdateDemand(const Sums& sums);
  void UpdateCosts(const Sums& sums);
  void UpdateCost(const ServiceCapacity& service,
                  double usage,
                  double admitted,
                  Cost& cost);
  void UpdateTrims(TimePoint now);
  AdmissionPlan MakePlan(const AccountLimit& limit) const;
  std::vector<SlotCost> CostsOf(
      const std::string& entry_service,
      const std::map<std::string, size_t>& indexes) const;
  static std::vector<EntryAccount> AccountsOf(const ClassState& state,
                                              const AccountLimit& limit);

  TimePoint m_since;
  TimePoint m_last_step;
  AdmissionPlan m_plan;
  std::map<std::string, Report> m_reports;
  std::map<std::string, ServiceCapacity> m_services;
  /// Costs by entry service and service.
  std::map<std::string, std::map<std::string, Cost>> m_costs;
  std::map<EntryClass, ClassState> m_classes;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_DECISIONS_CONTROL_ADMISSION_PLANNER_H_
