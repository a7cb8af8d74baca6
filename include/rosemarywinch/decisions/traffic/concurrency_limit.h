#ifndef ROSEMARYWINCH_DECISIONS_TRAFFIC_CONCURRENCY_LIMIT_H_
#define ROSEMARYWINCH_DECISIONS_TRAFFIC_CONCURRENCY_LIMIT_H_

#include <cstdint>
#include <variant>

#include "rosemarywinch/core/time.h"
#include "rosemarywinch/schema/settings.h"

namespace rosemarywinch {

/// What one finished call tells the limit.
struct CallSample {
  /// Time that the backend server itself spent, nested calls left out.
  double service_ms = 0;
  /// The backend server refused the call or did not answer.
  bool failed = false;
};

/// Any number of calls at a time.
struct NoLimit {};

/// As many calls at a time as the backend server has slots.
struct StaticLimit {
  uint32_t slots = 1;
};

/// A limit learnt from latency: it grows while calls take about as long as
/// they do on an idle backend server, and shrinks when they take longer. When
/// shrinking brings no relief, there was no queue to shorten: the backend
/// server itself has become slower, so the limit comes back.
struct AdaptiveLimit {
  uint32_t slots = 1;
  double limit = 1;
  /// Latency of an almost idle backend server; forgotten slowly.
  double baseline_ms = 0;
  double window_sum_ms = 0;
  uint32_t window_calls = 0;
  uint32_t window_failures = 0;
  uint32_t window_peak = 0;
  TimePoint window_start;
  /// Windows in a row that shrank the limit, and how many brought no relief.
  uint32_t shrinks = 0;
  uint32_t ineffective_shrinks = 0;
  double limit_before_shrinks = 0;
  double last_shrink_mean_ms = 0;
};

using ConcurrencyLimit = std::variant<NoLimit, StaticLimit, AdaptiveLimit>;

/// Makes the limit of a policy for a backend server with `slots` slots.
ConcurrencyLimit MakeLimit(LimitPolicy policy, uint32_t slots);

/// Makes a limit that leaves a part of the slots free, for the pattern "a
/// backend server slows down when it is nearly full": there, the last slots
/// cost more than they bring. Probes and new connections hold slots too.
StaticLimit LimitWithHeadroom(uint32_t slots);

/// Returns how many calls may run at a time.
uint32_t CurrentLimit(const ConcurrencyLimit& limit);

/// Learns from a finished call that was one of `in_flight`.
void OnSample(ConcurrencyLimit& limit,
              TimePoint now,
              const CallSample& sample,
              uint32_t in_flight);

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_DECISIONS_TRAFFIC_CONCURRENCY_LIMIT_H_
