#ifndef ROSEMARYWINCH_DECISIONS_TRAFFIC_LOAD_SHEDDER_H_
#define ROSEMARYWINCH_DECISIONS_TRAFFIC_LOAD_SHEDDER_H_

#include <cstdint>
#include <map>
#include <string>

#include "rosemarywinch/core/time.h"

namespace rosemarywinch {

/// Pressure that a request which timed out tells of.
inline constexpr double kTimeoutPressure = 2.0;

/// How urgent the requests of one rank are among those of late at a node.
///
/// Answers the pattern "routes of several services share a full service below":
/// the gates of all services compare their ranks on one scale. The caller
/// serialises all calls.
class PriorityDistribution {
 public:
  /// Counts a request of `rank`, 0 the most urgent.
  void OnRequest(TimePoint now, uint32_t priority);

  /// Returns the part of the requests that is less urgent than `rank`.
  double LowerPriorityFraction(uint32_t priority) const;

 private:
  TimePoint m_last_decay;
  /// Recent requests by rank, weighted by their age.
  std::map<uint32_t, double> m_requests;
};

/// Admission by the whole call graph, at the node that takes a request.
///
/// Answers the pattern "a small service deep in the graph limits the rest":
/// letting a request in that dies below wastes all the work above. Answers
/// carry the pressure of the member and of what it calls. While the pressure
/// is above 1, a growing part of the fresh requests is refused at once. The
/// part of each rank shrinks and grows by steps of its own: the more requests
/// are less urgent, the greater its weight, so the least urgent are refused
/// first and return last, while the pressure settles near 1 for all. The
/// caller serialises all calls.
class LoadShedder {
 public:
  /// Decides on a fresh request of `rank`; `lower_priority` is the part of the
  /// requests that is less urgent, `point` a random number in [0, 1).
  bool Admit(TimePoint now,
             uint32_t priority,
             double lower_priority,
             double sample);

  /// Learns from the pressure that came with an answer.
  void OnPressure(TimePoint now, double pressure);

  /// Part of the requests of `rank` that is let in.
  double admitted(uint32_t priority) const;

  /// Mean pressure that the last adjustment went by.
  double last_pressure() const { return m_last_pressure; }

 private:
  struct PriorityState {
    double admitted = 1;
    double weight = 1;
  };

  void Adjust(TimePoint now);
  static void UpdateAdmitted(PriorityState& state, double pressure);
  void Recover();

  std::map<uint32_t, PriorityState> m_states;
  double m_last_pressure = 0;
  double m_pressure_sum = 0;
  uint32_t m_samples = 0;
  /// Requests let in since the last adjustment.
  uint32_t m_admitted = 0;
  TimePoint m_last_adjustment;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_DECISIONS_TRAFFIC_LOAD_SHEDDER_H_
