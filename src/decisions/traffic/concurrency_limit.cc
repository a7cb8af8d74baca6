#include "rosemarywinch/decisions/traffic/concurrency_limit.h"

#include <algorithm>
#include <cmath>

#include "rosemarywinch/core/schema_support.h"

namespace rosemarywinch {

namespace {

constexpr Duration kWindow{200};
constexpr uint32_t kMinWindowCalls = 8;
constexpr uint32_t kUnlimited = UINT32_MAX;
// Latency above this multiple of the baseline means a queue has formed.
constexpr double kQueueingRatio = 1.6;
constexpr double kShrink = 0.85;
// Part by which the baseline rises in a window, so that it can be relearnt.
constexpr double kBaselineDrift = 0.01;
constexpr double kMinLimit = 2;
constexpr double kFailurePart = 0.2;
constexpr double kMinBaselineMs = 0.5;

void CloseWindow(AdaptiveLimit& limit, TimePoint now) {
  const double mean_ms = limit.window_sum_ms / limit.window_calls;
  const double floor_ms = std::max(mean_ms, kMinBaselineMs);
  limit.baseline_ms =
      limit.baseline_ms == 0
          ? floor_ms
          : std::min(limit.baseline_ms * (1 + kBaselineDrift), floor_ms);
  limit.baseline_ms = std::max(limit.baseline_ms, kMinBaselineMs);
  const bool failing =
      limit.window_failures > limit.window_calls * kFailurePart;
  const bool queueing = mean_ms > limit.baseline_ms * kQueueingRatio;
  const bool used = limit.window_peak * 2 >= limit.limit;
  if (failing || queueing) {
    limit.limit = std::max(kMinLimit, limit.limit * kShrink);
  } else if (used) {
    limit.limit += std::sqrt(limit.limit);
  }
  limit.limit = std::min(limit.limit, static_cast<double>(limit.slots));
  limit.window_sum_ms = 0;
  limit.window_calls = 0;
  limit.window_failures = 0;
  limit.window_peak = 0;
  limit.window_start = now;
}

}  // namespace

ConcurrencyLimit MakeLimit(LimitPolicy policy, uint32_t slots) {
  const uint32_t usable = std::max<uint32_t>(1, slots);
  switch (policy) {
    case LimitPolicy::kNone:
      return NoLimit{};
    case LimitPolicy::kStatic:
      return StaticLimit{usable};
    case LimitPolicy::kAdaptive:
      break;
  }
  AdaptiveLimit limit;
  limit.slots = usable;
  limit.limit = usable;
  return limit;
}

uint32_t CurrentLimit(const ConcurrencyLimit& limit) {
  return std::visit(
      Overloaded{[](const NoLimit&) { return kUnlimited; },
                 [](const StaticLimit& fixed) { return fixed.slots; },
                 [](const AdaptiveLimit& adaptive) {
                   return std::max<uint32_t>(
                       1, static_cast<uint32_t>(adaptive.limit));
                 }},
      limit);
}

void OnSample(ConcurrencyLimit& limit,
              TimePoint now,
              const CallSample& sample,
              uint32_t in_flight) {
  auto* adaptive = std::get_if<AdaptiveLimit>(&limit);
  if (adaptive == nullptr) {
    return;
  }
  adaptive->window_sum_ms += sample.service_ms;
  adaptive->window_calls += 1;
  adaptive->window_failures += sample.failed ? 1 : 0;
  adaptive->window_peak = std::max(adaptive->window_peak, in_flight);
  const bool due = now >= adaptive->window_start + kWindow;
  if (due && adaptive->window_calls >= kMinWindowCalls) {
    CloseWindow(*adaptive, now);
  }
}

}  // namespace rosemarywinch
