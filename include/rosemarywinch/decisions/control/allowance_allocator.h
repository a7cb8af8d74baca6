#ifndef ROSEMARYWINCH_DECISIONS_CONTROL_ALLOWANCE_ALLOCATOR_H_
#define ROSEMARYWINCH_DECISIONS_CONTROL_ALLOWANCE_ALLOCATOR_H_

#include <cstdint>
#include <map>
#include <string>

#include "rosemarywinch/core/time.h"
#include "rosemarywinch/schema/quota.h"

namespace rosemarywinch {

/// Rate and burst of one client account across all hosts.
struct RateLimit {
  double rate = 0;
  double burst = 0;
};

/// Allocates the rate and burst of one client account to nodes as shares under
/// leases. Not thread-safe: the caller serialises all calls.
///
/// Invariant: the shares that nodes may hold plus the reserve never exceed the
/// limit, neither in rate nor in burst, and the tokens in all buckets,
/// including the reserve, never exceed those of a single bucket with the whole
/// limit. Hence no access pattern can exceed rate and burst.
class AllowanceAllocator {
 public:
  /// `since` is when the term of this leader began. Nodes may hold shares
  /// granted by earlier leaders for up to one lease after that; until then,
  /// shares are only renewed.
  AllowanceAllocator(TimePoint since, Duration lease);

  /// Processes the report of `node` and returns its grant.
  /// Complexity: linear in the nodes that use the account.
  AllowanceGrant OnReport(TimePoint now,
                          const RateLimit& limit,
                          const std::string& node,
                          const AllowanceReport& report);

  /// Reclaims the shares of nodes whose lease has expired.
  void ExpireLeases(TimePoint now);

  /// Returns the maximum rate and burst that nodes may hold in total.
  RateLimit Allocated() const;

  bool IsIdle() const { return m_holders.empty(); }

 private:
  struct Holder {
    double demand = 0;
    bool starved = false;
    /// The latest grant; `bound` is the possibly larger share that the node may
    /// still use until it has applied this grant.
    AllowanceGrant grant;
    RateLimit bound;
    bool confirmed = true;
    /// Total number of tokens returned by the node that have been counted.
    double returned = 0;
    TimePoint lease_end;
  };

  void Refill(TimePoint now, const RateLimit& limit);
  Holder& HolderOf(TimePoint now,
                   const std::string& node,
                   const AllowanceReport& report);
  void Confirm(Holder& holder, const AllowanceReport& report);
  RateLimit Target(const RateLimit& limit, const Holder& holder) const;
  void IssueGrant(Holder& holder, const RateLimit& limit);
  double TokensToGrant(const Holder& holder,
                       double share_burst,
                       double reserve_burst) const;
  bool PriorLeasesExpired(TimePoint now) const;

  const TimePoint m_since;
  const Duration m_lease;
  std::map<std::string, Holder> m_holders;
  /// Tokens in the reserve, which is refilled at the unallocated rate.
  double m_tokens = 0;
  TimePoint m_last_refill;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_DECISIONS_CONTROL_ALLOWANCE_ALLOCATOR_H_
