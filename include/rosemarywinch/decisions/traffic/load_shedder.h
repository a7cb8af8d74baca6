#ifndef ROSEMARYWINCH_DECISIONS_TRAFFIC_LOAD_SHEDDER_H_
#define ROSEMARYWINCH_DECISIONS_TRAFFIC_LOAD_SHEDDER_H_

#include <cstdint>
#include <map>
#include <string>

#include "rosemarywinch/core/time.h"

namespace rosemarywinch {

/// Pressure that a request counts as when it times out.
inline constexpr double kTimeoutPressure = 2.0;

/// Distribution of the recent requests of a node over their priorities.
///
/// Shared by the load shedders of all services, so that priorities compare
/// across services when routes of several services depend on one overloaded
/// service. Not thread-safe.
class PriorityDistribution {
 public:
  /// Counts a request of `priority`, 0 the highest.
  void OnRequest(TimePoint now, uint32_t priority);

  /// Returns the fraction of the recent requests that have a lower priority
  /// than `priority`.
  double LowerPriorityFraction(uint32_t priority) const;

 private:
  TimePoint m_last_decay;
  /// Recent requests by priority, weighted by age.
  std::map<uint32_t, double> m_requests;
};

/// Sheds load at the node where requests enter, by the pressure of the whole
/// call graph.
///
/// When a small service deep in the graph is the bottleneck, admitting a
/// request that fails there wastes the work of all services above. Responses
/// carry the pressure of the member and of its dependencies. While the pressure
/// is above 1, a growing fraction of the root requests is refused at once. The
/// admitted fraction of each priority changes in steps of its own: the more
/// requests have a lower priority, the greater its weight, which makes its
/// decreases smaller and its increases larger. So the lowest priorities are
/// refused first and recover last, while the pressure settles near 1.
///
/// While an admission plan of the whole fleet is in force, the load shedder
/// only guards against a collapse that the plan does not know yet: it reacts to
/// a higher pressure and recovers faster. When the plan ends, it goes on from
/// the fractions of the plan. Not thread-safe.
class LoadShedder {
 public:
  LoadShedder();

  /// Returns whether to admit a root request of `priority`; `lower_priority`
  /// is the fraction of the requests that have a lower priority, `sample` a
  /// random number in [0, 1).
  bool Admit(TimePoint now,
             uint32_t priority,
             double lower_priority,
             double sample);

  /// Records the pressure reported by a response.
  void OnPressure(TimePoint now, double pressure);

  /// Records that an admission plan is in force, which admits `fraction` of the
  /// requests of `priority`. Called before Admit() for each request.
  void FollowPlan(uint32_t priority, double fraction);
  /// Records that no admission plan is in force. Called before Admit() for each
  /// request.
  void EndPlan();

  /// Fraction of the requests of `priority` that the load shedder itself
  /// admits.
  double admitted(uint32_t priority) const;

  /// Mean pressure on which the last adjustment was based.
  double last_pressure() const { return m_last_pressure; }

 private:
  struct PriorityState {
    double admitted = 1;
    double weight = 1;
    /// Fraction that the admission plan admits.
    double planned = 1;
  };

  void Adjust(TimePoint now);
  void ApplyPressure(double pressure, double intervals);
  PriorityState InitialState(double weight) const;
  void BeginInterval(TimePoint now);
  void UpdateAdmitted(PriorityState& state,
                      double pressure,
                      double intervals) const;
  void Recover();

  std::map<uint32_t, PriorityState> m_states;
  /// States of the lowest and of the highest possible priority, between which
  /// one that is seen for the first time begins.
  PriorityState m_lowest;
  PriorityState m_highest;
  double m_last_pressure = 0;
  double m_pressure_sum = 0;
  uint32_t m_samples = 0;
  /// Requests admitted since the last adjustment.
  uint32_t m_admitted = 0;
  TimePoint m_last_adjustment;
  TimePoint m_last_sample;
  bool m_plan_in_force = false;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_DECISIONS_TRAFFIC_LOAD_SHEDDER_H_
