#include "rosemarywinch/decisions/traffic/concurrency_limit.h"

#include <algorithm>
#include <cmath>

#include "rosemarywinch/core/schema_support.h"

namespace rosemarywinch {

namespace {

constexpr Duration kWindow{200};
constexpr uint32_t kMinWindowCalls = 8;
constexpr uint32_t kUnlimited = UINT32_MAX;
// A queue has formed when the latency exceeds this multiple of the baseline.
constexpr double kQueueingRatio = 1.6;
constexpr double kShrinkFactor = 0.85;
// Relative rise of the baseline in each window, so that it can be relearnt.
constexpr double kBaselineDrift = 0.01;
constexpr double kMinLimit = 2;
constexpr double kMaxFailureRatio = 0.2;
constexpr double kMinBaselineMs = 0.5;
// A shrink is ineffective when the latency stays above this fraction of the
// latency before.
constexpr double kImprovementRatio = 0.95;
constexpr uint32_t kMaxIneffectiveShrinks = 2;

// Fraction of the slots that LimitWithHeadroom() uses.
constexpr double kUsableFraction = 0.94;

void ResetShrinks(AdaptiveLimit& limit) {
  limit.shrinks = 0;
  limit.ineffective_shrinks = 0;
}

// Shrinks the limit. When the last shrinks were ineffective, restores the limit
// from before them instead and relearns the baseline.
void ShrinkIfEffective(AdaptiveLimit& limit, double mean_ms) {
  const bool ineffective =
      limit.shrinks > 0 &&
      mean_ms > limit.last_shrink_mean_ms * kImprovementRatio;
  limit.ineffective_shrinks = ineffective ? limit.ineffective_shrinks + 1 : 0;
  if (limit.ineffective_shrinks >= kMaxIneffectiveShrinks) {
    limit.limit = limit.limit_before_shrinks;
    limit.baseline_ms = mean_ms;
    ResetShrinks(limit);
    return;
  }
  if (limit.shrinks == 0) {
    limit.limit_before_shrinks = limit.limit;
  }
  ++limit.shrinks;
  limit.last_shrink_mean_ms = mean_ms;
  limit.limit = std::max(kMinLimit, limit.limit * kShrinkFactor);
}

void CloseWindow(AdaptiveLimit& limit, TimePoint now) {
  const double mean_ms = limit.window_sum_ms / limit.window_calls;
  const double floor_ms = std::max(mean_ms, kMinBaselineMs);
  if (limit.baseline_ms == 0) {
    limit.baseline_ms = floor_ms;
  }
  const bool queueing = mean_ms > limit.baseline_ms * kQueueingRatio;
  if (!queueing) {
    // Latency under queueing says nothing about an idle backend server, so only
    // windows without a queue change the baseline.
    limit.baseline_ms =
        std::min(limit.baseline_ms * (1 + kBaselineDrift), floor_ms);
  }
  const bool failing =
      limit.window_failures > limit.window_calls * kMaxFailureRatio;
  const bool used = limit.window_peak * 2 >= limit.limit;
  if (failing) {
    ResetShrinks(limit);
    limit.limit = std::max(kMinLimit, limit.limit * kShrinkFactor);
  } else if (queueing) {
    ShrinkIfEffective(limit, mean_ms);
  } else {
    ResetShrinks(limit);
    limit.limit += used ? std::sqrt(limit.limit) : 0;
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

StaticLimit LimitWithHeadroom(uint32_t slots) {
  const auto used = static_cast<uint32_t>(slots * kUsableFraction);
  return StaticLimit{std::max<uint32_t>(1, used)};
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
