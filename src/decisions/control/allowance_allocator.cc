#include "rosemarywinch/decisions/control/allowance_allocator.h"

#include <algorithm>
#include <cmath>

#include "rosemarywinch/decisions/control/allowance_bucket.h"
#include "rosemarywinch/decisions/control/lease.h"

namespace rosemarywinch {

namespace {

// Fractions of rate and burst that stay in the reserve, so that a node new to
// the account gets tokens with its first report.
constexpr double kReservedRateFraction = 0.05;
constexpr double kReservedBurstFraction = 0.4;
// Rate granted in addition to that for the demand, and minimum demand for which
// tokens are granted, in requests/s: a node new to the account reports little
// or no demand.
constexpr double kInitialDemand = 1.0;
// Rate granted per request/s of demand while the limit suffices. What is not
// granted can go to other nodes at once.
constexpr double kRateHeadroom = 1.5;
// Factor applied to the demand of a starved node while the limit suffices:
// callers that wait or are refused send less than they otherwise would.
constexpr double kStarvedBoost = 2.5;
// Burst granted while the limit suffices: seconds of demand, and a number of
// requests in addition.
constexpr double kBurstSeconds = 2.0;
constexpr double kInitialBurst = 1.0;
// Fractions of the unallocated rate and burst that a node gets regardless of
// its demand.
constexpr double kMinFreeRateFraction = 0.05;
constexpr double kMinFreeBurstFraction = 0.02;
constexpr double kMaxBurstStepFraction = 0.1;
// Relative change of a share up to which no new grant is issued for it.
constexpr double kShareTolerance = 0.1;
// Lower bound of a node's demand when the limit is divided, in requests/s.
constexpr double kMinDemand = 0.01;

bool IsClose(double a, double b) {
  return std::abs(a - b) <= kShareTolerance * std::max(a, b);
}

}  // namespace

AllowanceAllocator::AllowanceAllocator(TimePoint since, Duration lease)
    : m_since(since), m_lease(lease), m_last_refill(since) {}

AllowanceGrant AllowanceAllocator::OnReport(TimePoint now,
                                            const RateLimit& limit,
                                            const std::string& node,
                                            const AllowanceReport& report) {
  // Refill the reserve before leases expire, at the rate that was unallocated
  // until now.
  Refill(now, limit);
  ExpireLeases(now);
  Holder& holder = HolderOf(now, node, report);
  holder.demand = report.demand;
  holder.starved = report.starved;
  holder.lease_end = now + LessorLeaseDuration(m_lease);
  Confirm(holder, report);
  if (holder.confirmed && PriorLeasesExpired(now)) {
    IssueGrant(holder, limit);
  }
  return holder.grant;
}

AllowanceAllocator::Holder& AllowanceAllocator::HolderOf(
    TimePoint now,
    const std::string& node,
    const AllowanceReport& report) {
  const auto [entry, added] = m_holders.try_emplace(node);
  Holder& holder = entry->second;
  if (added) {
    // A share granted by an earlier leader. Such shares are renewed during the
    // first lease of the term; after that, none can be left.
    const bool may_recover = !PriorLeasesExpired(now);
    holder.grant.rate = may_recover ? report.rate : 0;
    holder.grant.burst = may_recover ? report.burst : 0;
    holder.grant.account = report.account;
    holder.grant.grant = report.grant;
    holder.bound = {holder.grant.rate, holder.grant.burst};
    holder.returned = report.returned;
  }
  return holder;
}

void AllowanceAllocator::ExpireLeases(TimePoint now) {
  std::erase_if(m_holders, [&](const auto& holder) {
    return holder.second.lease_end <= now;
  });
}

RateLimit AllowanceAllocator::Allocated() const {
  RateLimit allocated;
  for (const auto& [node, holder] : m_holders) {
    allocated.rate += holder.bound.rate;
    allocated.burst += holder.bound.burst;
  }
  return allocated;
}

void AllowanceAllocator::Refill(TimePoint now, const RateLimit& limit) {
  // Until the leases of earlier terms have expired, capacity that looks
  // unallocated may still be held under them.
  const TimePoint prior_leases_end = m_since + LessorLeaseDuration(m_lease);
  m_last_refill = std::max(m_last_refill, std::min(now, prior_leases_end));
  const RateLimit allocated = Allocated();
  const double rate = std::max(0.0, limit.rate - allocated.rate);
  const double burst = std::max(0.0, limit.burst - allocated.burst);
  const double seconds = (now - m_last_refill).Seconds();
  m_tokens = std::min(burst, m_tokens + rate * seconds);
  m_last_refill = std::max(m_last_refill, now);
}

void AllowanceAllocator::Confirm(Holder& holder,
                                 const AllowanceReport& report) {
  if (report.grant < holder.grant.grant) {
    return;
  }
  // The node holds no more than what it reports until the next grant.
  holder.confirmed = true;
  holder.grant.rate = std::min(holder.grant.rate, report.rate);
  holder.grant.burst = std::min(holder.grant.burst, report.burst);
  holder.grant.tokens = 0;
  holder.bound = {holder.grant.rate, holder.grant.burst};
  m_tokens += std::max(0.0, report.returned - holder.returned);
  holder.returned = report.returned;
}

RateLimit AllowanceAllocator::Target(const RateLimit& limit,
                                     const Holder& holder) const {
  double total = 0;
  for (const auto& [node, other] : m_holders) {
    total += std::max(other.demand, kMinDemand);
  }
  const double demand_fraction = std::max(holder.demand, kMinDemand) / total;
  const RateLimit allocated = Allocated();
  const double demand = holder.demand * (holder.starved ? kStarvedBoost : 1);
  const double wanted_rate =
      std::max(kInitialDemand + demand * kRateHeadroom,
               kMinFreeRateFraction * (limit.rate - allocated.rate));
  const double wanted_burst =
      std::max(kInitialBurst + demand * kBurstSeconds,
               kMinFreeBurstFraction * (limit.burst - allocated.burst));
  return {std::min(limit.rate * (1 - kReservedRateFraction) * demand_fraction,
                   wanted_rate),
          std::max(1.0, std::min(limit.burst * (1 - kReservedBurstFraction) *
                                     demand_fraction,
                                 wanted_burst))};
}

void AllowanceAllocator::IssueGrant(Holder& holder, const RateLimit& limit) {
  const RateLimit allocated = Allocated();
  const RateLimit target = Target(limit, holder);
  const double free_rate = std::max(0.0, limit.rate - allocated.rate);
  const double free_burst = std::max(0.0, limit.burst - allocated.burst);
  AllowanceGrant next = holder.grant;
  next.rate = std::min(target.rate, holder.bound.rate + free_rate);
  // The burst grows in steps, so that some is left for the nodes that report
  // next.
  const double step =
      std::min(free_burst, std::max(1.0, free_burst * kMaxBurstStepFraction));
  next.burst = std::min(target.burst, holder.bound.burst + step);
  const double growth = std::max(0.0, next.burst - holder.bound.burst);
  next.tokens = TokensToGrant(holder, next.burst, free_burst - growth);
  const bool same_share = IsClose(next.rate, holder.grant.rate) &&
                          IsClose(next.burst, holder.grant.burst);
  if (same_share && next.tokens < 1) {
    return;
  }
  ++next.grant;
  m_tokens = std::min(m_tokens - next.tokens, free_burst - growth);
  holder.bound.rate = std::max(holder.bound.rate, next.rate);
  holder.bound.burst = std::max(holder.bound.burst, next.burst);
  holder.grant = next;
  holder.confirmed = false;
}

double AllowanceAllocator::TokensToGrant(const Holder& holder,
                                         double share_burst,
                                         double reserve_burst) const {
  const double needed =
      std::max(holder.demand, kInitialDemand) * m_lease.Seconds();
  const double surplus = m_tokens - reserve_burst;
  return std::min({m_tokens, share_burst, std::max(needed, surplus)});
}

bool AllowanceAllocator::PriorLeasesExpired(TimePoint now) const {
  return now >= m_since + LessorLeaseDuration(m_lease);
}

}  // namespace rosemarywinch
