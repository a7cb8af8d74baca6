#ifndef ROSEMARYWINCH_DECISIONS_TRAFFIC_COLD_START_LIMIT_H_
#define ROSEMARYWINCH_DECISIONS_TRAFFIC_COLD_START_LIMIT_H_

#include <cstddef>
#include <cstdint>
#include <deque>

#include "rosemarywinch/core/time.h"

namespace rosemarywinch {

/// Limits how many calls start on a cold backend server: at most `rate` in any
/// span of one second (sliding window log), and how many run at a time. After
/// the cold period the number of slots grows to the full one over some seconds.
/// Not thread-safe.
class ColdStartLimit {
 public:
  /// Sets the calls per second that the backend server bears at present; 0
  /// means that it is not cold. From the change to 0 on, the slots grow.
  /// `mean_ms` is the mean time of a call.
  void SetRate(TimePoint now, double rate, double mean_ms);

  bool cold() const { return m_rate > 0; }
  double rate() const { return m_rate; }

  /// Returns whether the slots still grow after a cold period.
  bool IsWarming(TimePoint now) const;

  /// Counts a call that starts now. Does nothing unless cold().
  void OnStart(TimePoint now);

  /// Returns the earliest time, not before `now`, at which a call may start
  /// that has `ahead` others before it. Complexity: constant.
  TimePoint StartTime(TimePoint now, size_t ahead) const;

  /// Returns the number of calls that may run at a time, of `slots` at most.
  uint32_t UsableSlots(TimePoint now, uint32_t slots, double mean_ms) const;

 private:
  size_t CallsPerWindow() const;
  Duration Window() const;

  double m_rate = 0;
  /// Times of the last calls that started, the latest last; CallsPerWindow() of
  /// them at most.
  std::deque<TimePoint> m_starts;
  /// Slots that were used when the last cold period ended, and its end.
  double m_slots_when_cold = 0;
  TimePoint m_warm_since;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_DECISIONS_TRAFFIC_COLD_START_LIMIT_H_
