#include "rosemarywinch/decisions/control/allowance_bucket.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace rosemarywinch {

namespace {

constexpr Duration kIdleAfter{10'000};
constexpr Duration kRetryAfterWithoutShare{1'000};
constexpr Duration kMaxRetryAfter{60'000};
// Smoothing factor of the demand estimate while the count of arrivals stays
// within random variation.
constexpr double kDemandSmoothing = 0.2;
// Deviation from the expected count, in standard deviations (square roots of
// the count), above which demand has changed. The threshold is lower for a rise
// than for a fall, because too small a share refuses requests.
constexpr double kRiseThresholdDeviations = 1.5;
constexpr double kFallThresholdDeviations = 3.0;
// Demand has stopped when this many expected requests have not arrived.
constexpr double kMissedArrivalsToStop = 10.0;
constexpr double kHeadroom = 4.0;
constexpr double kMinRetainedRate = 1.0;
// Minimum fraction of a share that is worth releasing.
constexpr double kMinReleaseFraction = 0.1;
constexpr double kMinIntervalSeconds = 0.05;
constexpr double kFirstIntervalSeconds = 1.0;

}  // namespace

double RetainedRate(double demand) {
  return std::max(kMinRetainedRate, demand * kHeadroom);
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

void AllowanceBucket::RecordArrival(TimePoint now) {
  m_arrivals += 1;
  m_last_arrival = now;
}

bool AllowanceBucket::HasShare(TimePoint now) const {
  return now < m_lease_end && m_burst > 0;
}

Duration AllowanceBucket::RetryAfter(TimePoint now) const {
  if (!HasShare(now) || m_rate <= 0) {
    return kRetryAfterWithoutShare;
  }
  const double seconds = std::max(0.0, 1 - m_tokens) / m_rate;
  const auto ms = static_cast<int64_t>(std::ceil(seconds * 1000));
  return std::min(Duration{ms}, kMaxRetryAfter);
}

AllowanceReport AllowanceBucket::Report(TimePoint now,
                                        const std::string& account) {
  Refill(now);
  UpdateDemand(now);
  ReleaseUnused();
  const bool starved = std::exchange(m_starved, false);
  return {account,    m_demand,        m_rate, m_burst,
          m_returned, m_applied_grant, starved};
}

void AllowanceBucket::Apply(TimePoint now,
                            const AllowanceGrant& grant,
                            TimePoint lease_end) {
  Refill(now);
  m_lease_end = std::max(m_lease_end, lease_end);
  if (grant.grant <= m_applied_grant || now >= m_lease_end) {
    return;
  }
  m_applied_grant = grant.grant;
  m_tokens += grant.tokens;
  SetShare(grant.rate, grant.burst);
}

bool AllowanceBucket::IsIdle(TimePoint now) const {
  return now >= m_last_arrival + kIdleAfter;
}

bool AllowanceBucket::ShouldReleaseSoon(TimePoint now) const {
  return m_rate > kMinRetainedRate * kHeadroom && HasStopped(now);
}

bool AllowanceBucket::HasStopped(TimePoint now) const {
  return (now - m_last_arrival).Seconds() * m_demand > kMissedArrivalsToStop;
}

void AllowanceBucket::UpdateDemand(TimePoint now) {
  const bool first = m_last_report == TimePoint{};
  const double interval =
      first ? kFirstIntervalSeconds
            : std::max((now - m_last_report).Seconds(), kMinIntervalSeconds);
  const double expected = m_demand * interval;
  const double deviation = std::sqrt(std::max(expected, 1.0));
  const double rise = (m_arrivals - expected) / deviation;
  if (HasStopped(now)) {
    m_demand = 0;
  } else if (rise > kRiseThresholdDeviations ||
             -rise > kFallThresholdDeviations) {
    m_demand = m_arrivals / interval;
  } else {
    m_demand += kDemandSmoothing * (m_arrivals / interval - m_demand);
  }
  m_arrivals = 0;
  m_last_report = now;
}

void AllowanceBucket::ReleaseUnused() {
  const double retained = RetainedRate(m_demand);
  if (retained < m_rate * (1 - kMinReleaseFraction)) {
    SetShare(retained, m_burst * retained / m_rate);
  }
}

void AllowanceBucket::SetShare(double rate, double burst) {
  m_rate = rate;
  m_burst = burst;
  m_returned += std::max(0.0, m_tokens - m_burst);
  m_tokens = std::min(m_tokens, m_burst);
}

void AllowanceBucket::Refill(TimePoint now) {
  const TimePoint until = std::min(now, m_lease_end);
  if (until > m_last_refill) {
    const double seconds = (until - m_last_refill).Seconds();
    m_tokens = std::min(m_burst, m_tokens + m_rate * seconds);
  }
  m_last_refill = std::max(m_last_refill, now);
  if (now >= m_lease_end) {
    m_rate = 0;
    m_burst = 0;
    m_tokens = 0;
  }
}

}  // namespace rosemarywinch
