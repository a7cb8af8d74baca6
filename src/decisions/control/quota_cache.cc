#include "rosemarywinch/decisions/control/quota_cache.h"

#include <algorithm>
#include <cmath>

namespace rosemarywinch {

namespace {

// Time over which demand is averaged.
constexpr Duration kDemandSpan{3'000};
// Demand that a node holds tokens for: a little more than a poll interval.
constexpr double kHeldSeconds = 0.6;
// Tokens that a node holds beside, in deviations of what chance brings.
constexpr double kHeldDeviations = 1.0;
// Tokens are given back above this many times the target.
constexpr double kReturnAbove = 2.0;
// Seconds of the fallback rate that may be saved up.
constexpr double kFallbackSeconds = 1.0;
constexpr double kLeastFallbackTokens = 2.0;
// Pause after an answer that gave less than was wanted.
constexpr Duration kDryPause{250};
// A node without requests for this long gives its tokens back.
constexpr Duration kUnused{3'000};
constexpr Duration kIdleAfter{8'000};
constexpr Duration kRetryDry{1'000};

}  // namespace

void QuotaCache::CountOffer(TimePoint now) {
  Decay(now);
  m_demand += 1 / kDemandSpan.Seconds();
  m_last_offer = now;
}

bool QuotaCache::TryTake(TimePoint now) {
  MakeFallbackTokens(now);
  if (m_tokens < 1) {
    return false;
  }
  m_tokens -= 1;
  return true;
}

Duration QuotaCache::RetryAfter() const {
  return kRetryDry;
}

QuotaReport QuotaCache::Report(TimePoint now, const std::string& account) {
  Decay(now);
  MakeFallbackTokens(now);
  QuotaReport report;
  report.account = account;
  report.demand = m_demand;
  const double target = now < m_last_offer + kUnused ? Target() : 0;
  report.returned = std::max(0.0, m_tokens - target * kReturnAbove);
  m_tokens -= report.returned;
  report.held = m_tokens;
  report.wanted = std::max(0.0, target - m_tokens);
  report.waiting = m_waiting;
  return report;
}

void QuotaCache::Apply(TimePoint now,
                       TimePoint sent,
                       const QuotaGrant& grant,
                       TimePoint lease_end) {
  MakeFallbackTokens(now);
  m_tokens += grant.tokens;
  m_fallback_rate = grant.fallback_rate;
  m_answered = std::max(m_answered, sent);
  m_lease_end = std::max(m_lease_end, lease_end);
  if (grant.dry) {
    m_dry_until = now + kDryPause;
  }
}

bool QuotaCache::IsIdle(TimePoint now) const {
  return now >= m_last_offer + kIdleAfter;
}

void QuotaCache::Decay(TimePoint now) {
  if (now > m_decayed) {
    const double age = (now - m_decayed).Seconds() / kDemandSpan.Seconds();
    m_demand *= std::exp(-age);
    m_decayed = now;
  }
}

double QuotaCache::Target() const {
  const double expected = m_demand * kHeldSeconds;
  return 1 + expected + kHeldDeviations * std::sqrt(expected);
}

void QuotaCache::MakeFallbackTokens(TimePoint now) {
  const TimePoint from = std::max(m_filled, m_answered + kQuotaSilence);
  const TimePoint until = std::min(now, m_lease_end);
  if (until > from) {
    const double room =
        std::max(kLeastFallbackTokens, m_fallback_rate * kFallbackSeconds);
    const double made = m_fallback_rate * (until - from).Seconds();
    m_tokens = std::max(m_tokens, std::min(room, m_tokens + made));
  }
  m_filled = std::max(m_filled, now);
}

}  // namespace rosemarywinch
