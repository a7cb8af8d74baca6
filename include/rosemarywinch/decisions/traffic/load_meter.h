#ifndef ROSEMARYWINCH_DECISIONS_TRAFFIC_LOAD_METER_H_
#define ROSEMARYWINCH_DECISIONS_TRAFFIC_LOAD_METER_H_

#include <cstddef>
#include <cstdint>
#include <optional>

#include "rosemarywinch/core/time.h"
#include "rosemarywinch/schema/balance.h"

namespace rosemarywinch {

/// How a call ended, as seen by the node of the backend server.
enum class CallEnd {
  /// The backend server answered.
  kCompleted,
  /// The call was refused unsent or by the backend server.
  kRefused,
  /// The backend server failed or did not answer.
  kFailed,
};

/// Measures the load of the local backend server between two reports. The
/// means are integrals over time, so they do not depend on when they are read.
/// Not thread-safe.
class LoadMeter {
 public:
  /// Records the numbers of running and waiting calls from `now` on.
  void OnCalls(TimePoint now, size_t busy, size_t waiting);

  /// Counts the end of a call.
  void OnEnd(CallEnd end);

  /// Forgets the calls of an earlier incarnation of the backend server.
  void Restart(TimePoint now);

  /// Returns the load since the last report, and begins the next interval;
  /// nothing if less than 200 ms have passed since.
  std::optional<BackendLoad> Take(TimePoint now, double usable_slots);

 private:
  void Advance(TimePoint now);

  TimePoint m_interval_start;
  TimePoint m_advanced;
  double m_busy = 0;
  double m_waiting = 0;
  /// Integrals of the numbers of calls since `m_interval_start`, in calls x ms.
  double m_busy_ms = 0;
  double m_waiting_ms = 0;
  uint64_t m_completed = 0;
  uint64_t m_refused = 0;
  uint64_t m_failed = 0;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_DECISIONS_TRAFFIC_LOAD_METER_H_
