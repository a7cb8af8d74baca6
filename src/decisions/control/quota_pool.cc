#include "rosemarywinch/decisions/control/quota_pool.h"

#include <algorithm>

namespace rosemarywinch {

namespace {

constexpr Duration kScanInterval{200};
// Fraction of the tolerance that is spent on a larger stock of tokens. The rest
// is for tokens that nodes generate while cut off, and for a change of leader.
constexpr double kStockToleranceFraction = 0.6;
// Initial level as a fraction of the tolerance: a new leader does not know how
// many tokens its predecessor had left.
constexpr double kInitialToleranceFraction = 0.3;
// Fraction of the stock that nodes may hold before tokens are granted to
// waiting requests only: a token at a node does not serve the others.
constexpr double kPrefetchFraction = 0.5;
// Fraction of the rate that all fallback rates together may reach.
constexpr double kFallbackRateFraction = 0.9;
// Lower bound of a node's demand, in requests/s, so that a node new to the
// account gets a share.
constexpr double kMinDemand = 0.2;
// Multiple of its share that a node may get when tokens are scarce: most nodes
// request less than their share at a time.
constexpr double kScarcityBoost = 2.0;

}  // namespace

QuotaGrant QuotaPool::OnReport(TimePoint now,
                               const RateLimit& limit,
                               const std::string& node,
                               const QuotaReport& report) {
  Refill(now, limit);
  if (!m_holders.contains(node)) {
    HearEarlierGrant(now, report);
  }
  Holder& holder = m_holders[node];
  const double demand = std::max(report.demand, kMinDemand);
  m_demand += demand - holder.demand;
  m_held += report.held - holder.held;
  holder.demand = demand;
  holder.held = report.held;
  holder.last_heard = now;
  m_level = std::min(m_level + report.returned, MaxLevel(limit));
  const double share = std::min(1.0, demand / m_demand);
  const double fair_share =
      std::max(std::min(1.0, m_level), m_level * share * kScarcityBoost);
  QuotaGrant grant;
  grant.account = report.account;
  const double requested =
      report.waiting + std::min(report.wanted, PrefetchBudget(limit));
  grant.tokens = std::min({requested, m_level, fair_share});
  grant.dry = grant.tokens < report.waiting;
  if (report.demand >= kSparseDemand) {
    grant.fallback_rate = limit.rate * share * kFallbackRateFraction;
  }
  m_level -= grant.tokens;
  // The requests that wait use their tokens at once.
  const double kept = std::max(0.0, grant.tokens - report.waiting);
  m_held += kept;
  holder.held += kept;
  m_fallback_rate += grant.fallback_rate - holder.fallback_rate;
  holder.fallback_rate = grant.fallback_rate;
  grant.fleet_fallback_rate = m_fallback_rate;
  return grant;
}

void QuotaPool::HearEarlierGrant(TimePoint now, const QuotaReport& report) {
  if (now < m_earlier_leases_end && report.fleet_fallback_rate) {
    m_earlier_rate =
        std::max(m_earlier_rate.value_or(0), *report.fleet_fallback_rate);
    m_earlier_rate_heard += report.fallback_rate;
  }
}

// Returns the fallback rates that nodes may use that an earlier leader granted
// them to and this one has not heard from. If no node knows of an earlier
// grant, those that do may all be cut off.
double QuotaPool::EarlierSilentRate(TimePoint now,
                                    const RateLimit& limit) const {
  const double granted =
      m_earlier_rate.value_or(limit.rate * kFallbackRateFraction);
  return now < m_earlier_leases_end
             ? std::max(0.0, granted - m_earlier_rate_heard)
             : 0;
}

void QuotaPool::Refill(TimePoint now, const RateLimit& limit) {
  if (!m_initialized) {
    m_initialized = true;
    m_level =
        std::min(MaxLevel(limit), kInitialToleranceFraction * Tolerance(limit));
  }
  if (now >= m_last_scan + kScanInterval) {
    Scan(now);
  }
  const double rate =
      std::max(0.0, limit.rate - m_silent_rate - EarlierSilentRate(now, limit));
  const double accrued = rate * (now - m_last_refill).Seconds();
  m_level = std::min(MaxLevel(limit), m_level + accrued);
  m_last_refill = now;
}

// Returns the number of requests by which the limit may be exceeded in a
// window.
double QuotaPool::Tolerance(const RateLimit& limit) const {
  const double allowed = limit.rate * m_tolerance.window_seconds + limit.burst;
  return m_tolerance.slack + m_tolerance.overage * allowed;
}

// Returns how many tokens the pool and the nodes may hold together.
double QuotaPool::MaxStock(const RateLimit& limit) const {
  return limit.burst + kStockToleranceFraction * Tolerance(limit);
}

double QuotaPool::MaxLevel(const RateLimit& limit) const {
  return std::max(0.0, MaxStock(limit) - m_held);
}

double QuotaPool::PrefetchBudget(const RateLimit& limit) const {
  return std::max(0.0, kPrefetchFraction * MaxStock(limit) - m_held);
}

void QuotaPool::Scan(TimePoint now) {
  std::erase_if(m_holders, [&](const auto& entry) {
    return now >= entry.second.last_heard + m_lease + kQuotaSilenceTimeout;
  });
  m_last_scan = now;
  m_demand = 0;
  m_held = 0;
  m_silent_rate = 0;
  m_fallback_rate = 0;
  for (const auto& [node, holder] : m_holders) {
    m_demand += holder.demand;
    m_held += holder.held;
    m_fallback_rate += holder.fallback_rate;
    if (now >= holder.last_heard + kQuotaSilenceTimeout) {
      m_silent_rate += holder.fallback_rate;
    }
  }
}

}  // namespace rosemarywinch
