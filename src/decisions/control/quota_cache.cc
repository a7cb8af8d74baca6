#include "rosemarywinch/decisions/control/quota_cache.h"

#include <algorithm>
#include <cmath>

namespace rosemarywinch {

namespace {

// Time constant of the exponential decay of the demand estimate.
constexpr Duration kDemandTimeConstant{3'000};
// Seconds of demand for which a node holds tokens: slightly more than a poll
// interval.
constexpr double kTargetSeconds = 0.6;
// Additional tokens against random variation, in standard deviations of the
// expected demand.
constexpr double kTargetDeviations = 1.0;
// Multiple of the target above which tokens are returned.
constexpr double kReturnThreshold = 2.0;
// Limit of accumulated fallback tokens, in seconds of the fallback rate.
constexpr double kMaxFallbackSeconds = 1.0;
constexpr double kMinFallbackCapacity = 2.0;
// Pause of early polls after a grant that did not cover the waiting requests.
constexpr Duration kExhaustedBackoff{250};
// Time without requests after which a node returns its tokens.
constexpr Duration kUnusedAfter{3'000};
constexpr Duration kIdleAfter{8'000};
constexpr Duration kRetryAfter{1'000};

}  // namespace

void QuotaCache::RecordArrival(TimePoint now) {
  Decay(now);
  m_demand += 1 / kDemandTimeConstant.Seconds();
  m_last_arrival = now;
}

bool QuotaCache::TryTake(TimePoint now) {
  AddFallbackTokens(now);
  if (m_tokens < 1) {
    return false;
  }
  m_tokens -= 1;
  return true;
}

Duration QuotaCache::RetryAfter() const {
  return kRetryAfter;
}

bool QuotaCache::NeedsReport(TimePoint now) {
  Decay(now);
  return m_tokens > 0 || m_waiting > 0 || m_fallback_rate > 0 ||
         m_demand >= kSparseDemand;
}

QuotaReport QuotaCache::Report(TimePoint now, const std::string& account) {
  Decay(now);
  AddFallbackTokens(now);
  QuotaReport report;
  report.account = account;
  report.demand = m_demand;
  const double target = now < m_last_arrival + kUnusedAfter ? Target() : 0;
  report.returned = std::max(0.0, m_tokens - target * kReturnThreshold);
  m_tokens -= report.returned;
  report.held = m_tokens;
  report.wanted = std::max(0.0, target - m_tokens);
  report.waiting = m_waiting;
  if (now < m_lease_end) {
    report.fallback_rate = m_fallback_rate;
    report.fleet_fallback_rate = m_fleet_fallback_rate;
  }
  return report;
}

void QuotaCache::Apply(TimePoint now,
                       TimePoint sent,
                       const QuotaGrant& grant,
                       TimePoint lease_end) {
  AddFallbackTokens(now);
  m_tokens += grant.tokens;
  m_fallback_rate = grant.fallback_rate;
  m_fleet_fallback_rate = grant.fleet_fallback_rate;
  m_last_answered = std::max(m_last_answered, sent);
  m_lease_end = std::max(m_lease_end, lease_end);
  if (grant.dry) {
    m_exhausted_until = now + kExhaustedBackoff;
  }
}

bool QuotaCache::IsIdle(TimePoint now) const {
  return now >= m_last_arrival + kIdleAfter;
}

void QuotaCache::Decay(TimePoint now) {
  if (now > m_last_decay) {
    const double age =
        (now - m_last_decay).Seconds() / kDemandTimeConstant.Seconds();
    m_demand *= std::exp(-age);
    m_last_decay = now;
  }
}

double QuotaCache::Target() const {
  if (m_demand < kSparseDemand) {
    return 0;
  }
  const double expected = m_demand * kTargetSeconds;
  return 1 + expected + kTargetDeviations * std::sqrt(expected);
}

void QuotaCache::AddFallbackTokens(TimePoint now) {
  const TimePoint from =
      std::max(m_last_refill, m_last_answered + kQuotaSilenceTimeout);
  const TimePoint until = std::min(now, m_lease_end);
  if (until > from) {
    const double capacity =
        std::max(kMinFallbackCapacity, m_fallback_rate * kMaxFallbackSeconds);
    const double accrued = m_fallback_rate * (until - from).Seconds();
    m_tokens = std::max(m_tokens, std::min(capacity, m_tokens + accrued));
  }
  m_last_refill = std::max(m_last_refill, now);
}

}  // namespace rosemarywinch
