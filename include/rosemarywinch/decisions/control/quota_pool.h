#ifndef ROSEMARYWINCH_DECISIONS_CONTROL_QUOTA_POOL_H_
#define ROSEMARYWINCH_DECISIONS_CONTROL_QUOTA_POOL_H_

#include <map>
#include <optional>
#include <string>

#include "rosemarywinch/core/time.h"
#include "rosemarywinch/decisions/control/allowance_allocator.h"
#include "rosemarywinch/schema/quota.h"

namespace rosemarywinch {

/// Time without contact between a node and control after which the node
/// generates tokens itself, at its fallback rate, and control no longer
/// generates them on its behalf.
inline constexpr Duration kQuotaSilenceTimeout{900};

/// Demand at a node, in requests/s, below which the node neither keeps tokens
/// nor generates any while cut off, but asks for one at each request.
inline constexpr double kSparseDemand = 0.6;

/// Tolerance with which the rate and burst of an account are enforced.
struct QuotaTolerance {
  double window_seconds = 5;
  /// Fraction of the window's limit by which it may be exceeded.
  double overage = 0.1;
  /// Number of requests by which the limit may be exceeded in addition.
  double slack = 20;
};

/// Fleet-wide token bucket of one client account, kept by the control leader.
/// Nodes hold few tokens and request more as they use them, so that demand can
/// move freely between nodes. Made for many nodes with little demand at each:
/// with fixed shares of the rate, a node would refuse a random burst while
/// other nodes have tokens to spare. Not thread-safe: the caller serialises all
/// calls.
///
/// Invariant: the tokens in the pool and at nodes never exceed the burst plus a
/// fraction of the tolerance. They are generated no faster than the rate,
/// except for those that a cut-off node generates before control has noticed
/// the lost contact. Fallback rates that an earlier leader granted are honoured
/// until their leases have ended.
class QuotaPool {
 public:
  /// `lease` is how long a node without contact may use its fallback rate.
  /// Earlier leaders granted none after `last_earlier_grant`.
  QuotaPool(TimePoint now,
            TimePoint last_earlier_grant,
            Duration lease,
            QuotaTolerance tolerance)
      : m_lease(lease),
        m_tolerance(tolerance),
        m_earlier_leases_end(last_earlier_grant + lease),
        m_last_refill(now) {}

  /// Processes the report of `node` and returns its grant. Complexity: linear
  /// in the nodes that use the account at most once per kScanInterval,
  /// otherwise logarithmic.
  QuotaGrant OnReport(TimePoint now,
                      const RateLimit& limit,
                      const std::string& node,
                      const QuotaReport& report);

  double level() const { return m_level; }

 private:
  struct Holder {
    double demand = 0;
    double held = 0;
    double fallback_rate = 0;
    TimePoint last_heard;
  };

  void Refill(TimePoint now, const RateLimit& limit);
  void HearEarlierGrant(TimePoint now, const QuotaReport& report);
  double EarlierSilentRate(TimePoint now, const RateLimit& limit) const;
  double Tolerance(const RateLimit& limit) const;
  double MaxStock(const RateLimit& limit) const;
  double MaxLevel(const RateLimit& limit) const;
  double PrefetchBudget(const RateLimit& limit) const;
  void Scan(TimePoint now);

  const Duration m_lease;
  const QuotaTolerance m_tolerance;
  const TimePoint m_earlier_leases_end;
  std::map<std::string, Holder> m_holders;
  double m_level = 0;
  bool m_initialized = false;
  double m_demand = 0;
  double m_held = 0;
  /// Sum of the fallback rates of nodes without contact.
  double m_silent_rate = 0;
  /// Sum of the fallback rates of all nodes.
  double m_fallback_rate = 0;
  /// Sum of the fallback rates that the earlier leader granted, if a node knows
  /// it, and the part of it that belongs to nodes heard by this one.
  std::optional<double> m_earlier_rate;
  double m_earlier_rate_heard = 0;
  TimePoint m_last_refill;
  TimePoint m_last_scan;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_DECISIONS_CONTROL_QUOTA_POOL_H_
