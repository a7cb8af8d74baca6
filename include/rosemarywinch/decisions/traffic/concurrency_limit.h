#ifndef ROSEMARYWINCH_DECISIONS_TRAFFIC_CONCURRENCY_LIMIT_H_
#define ROSEMARYWINCH_DECISIONS_TRAFFIC_CONCURRENCY_LIMIT_H_

#include <cstdint>
#include <variant>

#include "rosemarywinch/core/time.h"
#include "rosemarywinch/schema/settings.h"

namespace rosemarywinch {

/// Measurement of one finished call.
struct CallSample {
  /// Time spent by the backend server itself, without its nested calls.
  double service_ms = 0;
  /// The backend server refused the call or did not respond.
  bool failed = false;
};

/// No limit on concurrent calls.
struct NoLimit {};

/// Limits concurrent calls to a fixed number of slots.
struct StaticLimit {
  uint32_t slots = 1;
};

/// Adapts the limit to latency: it grows while the latency is near that of an
/// idle backend server and shrinks when the latency is higher. When shrinking
/// does not lower the latency, no queue had formed: the backend server itself
/// has become slower, so the limit is restored.
struct AdaptiveLimit {
  uint32_t slots = 1;
  double limit = 1;
  /// Latency of an almost idle backend server; drifts upwards slowly, so that
  /// it can be relearnt.
  double baseline_ms = 0;
  double window_sum_ms = 0;
  uint32_t window_calls = 0;
  uint32_t window_failures = 0;
  uint32_t window_peak = 0;
  TimePoint window_start;
  /// Consecutive windows that shrank the limit, and how many shrinks in a row
  /// did not lower the latency.
  uint32_t shrinks = 0;
  uint32_t ineffective_shrinks = 0;
  double limit_before_shrinks = 0;
  double last_shrink_mean_ms = 0;
};

using ConcurrencyLimit = std::variant<NoLimit, StaticLimit, AdaptiveLimit>;

/// Creates the limit of a policy for a backend server with `slots` slots.
ConcurrencyLimit MakeLimit(LimitPolicy policy, uint32_t slots);

/// Creates a limit that leaves a fraction of the slots free. A backend server
/// that slows down when nearly full loses more throughput by its last slots
/// than they add. Probes and new connections occupy slots too.
StaticLimit LimitWithHeadroom(uint32_t slots);

/// Returns the number of calls that may run concurrently.
uint32_t CurrentLimit(const ConcurrencyLimit& limit);

/// Updates the limit with a finished call; `in_flight` is the number of calls
/// that were running, that one included.
void OnSample(ConcurrencyLimit& limit,
              TimePoint now,
              const CallSample& sample,
              uint32_t in_flight);

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_DECISIONS_TRAFFIC_CONCURRENCY_LIMIT_H_
