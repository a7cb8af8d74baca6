#include "rosemarywinch/decisions/control/allowance_bucket.h"

#include <algorithm>
#include <cmath>

namespace rosemarywinch {

namespace {

constexpr Duration kIdleAfter{10'000};
constexpr Duration kRetryWithoutShare{1'000};
constexpr Duration kLongestRetry{60'000};
// Demand falls to this part with each report without requests.
constexpr double kDemandDecay = 0.5;
constexpr double kMinSpanSeconds = 0.05;

}  // namespace

bool AllowanceBucket::TryTake(TimePoint now) {
  Refill(now);
  if (m_tokens < 1) {
    return false;
  }
  m_tokens -= 1;
  return true;
}

bool AllowanceBucket::HasShare(TimePoint now) const {
  return now < m_lease_end && m_burst > 0;
}

Duration AllowanceBucket::RetryAfter(TimePoint now) const {
  if (!HasShare(now) || m_rate <= 0) {
    return kRetryWithoutShare;
  }
  const double seconds = std::max(0.0, 1 - m_tokens) / m_rate;
  const auto ms = static_cast<int64_t>(std::ceil(seconds * 1000));
  return std::min(Duration{ms}, kLongestRetry);
}

AllowanceReport AllowanceBucket::Report(TimePoint now,
                                        const std::string& account) {
  Refill(now);
  const double span = std::max((now - m_reported).Seconds(), kMinSpanSeconds);
  m_demand = std::max(m_offers / span, m_demand * kDemandDecay);
  if (m_offers > 0) {
    m_last_demand = now;
  }
  m_offers = 0;
  m_reported = now;
  return {account, m_demand, m_rate, m_burst, m_returned, m_grant};
}

void AllowanceBucket::Apply(TimePoint now,
                            const AllowanceGrant& grant,
                            TimePoint lease_end) {
  Refill(now);
  m_lease_end = std::max(m_lease_end, lease_end);
  if (grant.grant <= m_grant || now >= m_lease_end) {
    return;
  }
  m_grant = grant.grant;
  m_rate = grant.rate;
  m_burst = grant.burst;
  const double tokens = m_tokens + grant.tokens;
  m_returned = std::max(0.0, tokens - m_burst);
  m_tokens = std::min(tokens, m_burst);
}

bool AllowanceBucket::IsIdle(TimePoint now) const {
  return m_offers == 0 && now >= m_last_demand + kIdleAfter;
}

void AllowanceBucket::Refill(TimePoint now) {
  const TimePoint until = std::min(now, m_lease_end);
  if (until > m_refilled) {
    const double seconds = (until - m_refilled).Seconds();
    m_tokens = std::min(m_burst, m_tokens + m_rate * seconds);
  }
  m_refilled = std::max(m_refilled, now);
  if (now >= m_lease_end) {
    m_rate = 0;
    m_burst = 0;
    m_tokens = 0;
    m_returned = 0;
  }
}

}  // namespace rosemarywinch
