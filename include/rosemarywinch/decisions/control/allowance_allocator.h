#ifndef ROSEMARYWINCH_DECISIONS_CONTROL_ALLOWANCE_ALLOCATOR_H_
#define ROSEMARYWINCH_DECISIONS_CONTROL_ALLOWANCE_ALLOCATOR_H_

#include <cstdint>
#include <map>
#include <string>

#include "rosemarywinch/core/time.h"
#include "rosemarywinch/schema/control.h"

namespace rosemarywinch {

/// Rate and burst of one client account over all hosts.
struct RateLimit {
  double rate = 0;
  double burst = 0;
};

/// Lends the rate and burst of one client account to nodes, in shares that
/// end with a lease. The caller serialises all calls.
///
/// Invariant: the shares that nodes may hold, together with the reserve, never
/// sum to more than the limit in rate or in burst; and the tokens in all
/// buckets, the reserve's among them, never sum to more than one bucket with
/// the whole limit would hold. So no pattern of use passes rate and burst.
class AllowanceAllocator {
 public:
  /// `since` is when the lender's term began: shares that an earlier lender
  /// gave may be out until a lease later, and are only renewed till then.
  AllowanceAllocator(TimePoint since, Duration lease);

  /// Handles what `node` reports and returns its grant.
  /// Complexity: linear in the nodes that use the account.
  AllowanceGrant OnReport(TimePoint now,
                          const RateLimit& limit,
                          const std::string& node,
                          const AllowanceReport& report);

  /// Takes back the shares of nodes whose lease has ended.
  void ExpireLeases(TimePoint now);

  /// Rate and burst that nodes may hold at most at this moment.
  RateLimit Allocated() const;

  bool IsIdle() const { return m_holders.empty(); }

 private:
  struct Holder {
    double demand = 0;
    bool starved = false;
    /// Share of the last grant, and the larger share that the node may still
    /// use until it has applied that grant.
    AllowanceGrant grant;
    RateLimit bound;
    bool confirmed = true;
    /// What the node has given back in all, as far as it was counted.
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
  /// Tokens of the reserve, which fill at the rate that is not lent.
  double m_tokens = 0;
  TimePoint m_last_refill;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_DECISIONS_CONTROL_ALLOWANCE_ALLOCATOR_H_
