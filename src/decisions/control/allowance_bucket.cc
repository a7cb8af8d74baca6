#include "rosemarywinch/decisions/control/allowance_bucket.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace rosemarywinch {

namespace {

constexpr Duration kIdleAfter{10'000};
constexpr Duration kRetryWithoutShare{1'000};
constexpr Duration kLongestRetry{60'000};
// Weight of a span whose count is within what chance makes of the demand.
constexpr double kDemandWeight = 0.2;
// Deviation from the expected count, in its square roots, that is no chance. A
// rise is believed sooner than a fall: too small a share refuses requests.
constexpr double kSignificantRise = 1.5;
constexpr double kSignificantFall = 3.0;
// Requests that would have come by now if demand went on.
constexpr double kMissedToBeIdle = 10.0;
constexpr double kHeadroom = 4.0;
constexpr double kLeastKeptRate = 1.0;
// A share is cut only when the cut is at least this part of it.
constexpr double kWorthReleasing = 0.1;
constexpr double kMinSpanSeconds = 0.05;
constexpr double kFirstSpanSeconds = 1.0;

}  // namespace

double KeptRate(double demand) {
  return std::max(kLeastKeptRate, demand * kHeadroom);
}

bool AllowanceBucket::TryTake(TimePoint now) {
  Refill(now);
  if (m_tokens < 1) {
    m_starved = true;
    return false;
  }
  m_tokens -= 1;
  return true;
}

void AllowanceBucket::CountOffer(TimePoint now) {
  m_offers += 1;
  m_last_offer = now;
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
  UpdateDemand(now);
  ReleaseUnused();
  const bool starved = std::exchange(m_starved, false);
  return {account, m_demand, m_rate, m_burst, m_returned, m_grant, starved};
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
  m_tokens += grant.tokens;
  Reshape(grant.rate, grant.burst);
}

bool AllowanceBucket::IsIdle(TimePoint now) const {
  return now >= m_last_offer + kIdleAfter;
}

bool AllowanceBucket::ShouldReleaseSoon(TimePoint now) const {
  return m_rate > kLeastKeptRate * kHeadroom && HasStopped(now);
}

bool AllowanceBucket::HasStopped(TimePoint now) const {
  return (now - m_last_offer).Seconds() * m_demand > kMissedToBeIdle;
}

void AllowanceBucket::UpdateDemand(TimePoint now) {
  const bool first = m_reported == TimePoint{};
  const double span =
      first ? kFirstSpanSeconds
            : std::max((now - m_reported).Seconds(), kMinSpanSeconds);
  const double expected = m_demand * span;
  const double chance = std::sqrt(std::max(expected, 1.0));
  const double rise = (m_offers - expected) / chance;
  if (HasStopped(now)) {
    m_demand = 0;
  } else if (rise > kSignificantRise || -rise > kSignificantFall) {
    m_demand = m_offers / span;
  } else {
    m_demand += kDemandWeight * (m_offers / span - m_demand);
  }
  m_offers = 0;
  m_reported = now;
}

void AllowanceBucket::ReleaseUnused() {
  const double kept = KeptRate(m_demand);
  if (kept < m_rate * (1 - kWorthReleasing)) {
    Reshape(kept, m_burst * kept / m_rate);
  }
}

void AllowanceBucket::Reshape(double rate, double burst) {
  m_rate = rate;
  m_burst = burst;
  m_returned += std::max(0.0, m_tokens - m_burst);
  m_tokens = std::min(m_tokens, m_burst);
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
  }
}

}  // namespace rosemarywinch
