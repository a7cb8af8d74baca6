#ifndef ROSEMARYWINCH_DECISIONS_TRAFFIC_PRESSURE_GATE_H_
#define ROSEMARYWINCH_DECISIONS_TRAFFIC_PRESSURE_GATE_H_

#include <cstdint>
#include <map>
#include <string>

#include "rosemarywinch/core/time.h"

namespace rosemarywinch {

/// Pressure that a request which timed out tells of.
inline constexpr double kPressureOfTimeout = 2.0;

/// Admission by the whole call graph, at the node that takes a request.
///
/// Answers the pattern "a small service deep in the graph limits the rest":
/// letting a request in that dies below wastes all the work above. Answers
/// carry the pressure of the member and of what it calls; while the pressure
/// on a service is above 1, a growing part of the fresh requests for it is
/// refused at once, the least urgent first. The caller serialises all calls.
class PressureGate {
 public:
  /// Decides on a fresh request of `rank`, 0 the most urgent; `point` is a
  /// random number in [0, 1). Complexity: linear in the ranks in use.
  bool Admit(TimePoint now, uint32_t rank, double point);

  /// Learns from the pressure that came with an answer.
  void OnPressure(TimePoint now, double pressure);

  /// Part of the offered requests that is let in.
  double admitted() const { return m_admitted; }

 private:
  void Adjust(TimePoint now);
  double ChanceOf(uint32_t rank) const;

  double m_admitted = 1;
  double m_pressure_sum = 0;
  uint32_t m_pressures = 0;
  TimePoint m_adjusted;
  /// Recent offers by rank, weighted by their age.
  std::map<uint32_t, double> m_offers;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_DECISIONS_TRAFFIC_PRESSURE_GATE_H_
