#ifndef ROSEMARYWINCH_DECISIONS_CONTROL_QUOTA_POOL_H_
#define ROSEMARYWINCH_DECISIONS_CONTROL_QUOTA_POOL_H_

#include <map>
#include <string>

#include "rosemarywinch/core/time.h"
#include "rosemarywinch/decisions/control/allowance_allocator.h"
#include "rosemarywinch/schema/control.h"

namespace rosemarywinch {

/// Silence between a node and control after which the node makes tokens
/// itself, at its fallback rate, and control stops making them for it.
inline constexpr Duration kQuotaSilenceTimeout{900};

/// How strictly an account is held to its rate and burst.
struct QuotaTolerance {
  double window_seconds = 5;
  /// Part of what the window allows that may be exceeded.
  double overage = 0.1;
  /// Requests that may be exceeded beside.
  double slack = 20;
};

/// The fleet's token bucket of one client account, kept by the leader of
/// control. Nodes hold few tokens and ask for more as they use them up, so that
/// demand may move freely among nodes. Answers the pattern "many nodes, little
/// demand at each": shares of a rate would refuse what chance brings to one
/// node while others have tokens to spare. The caller serialises all calls.
///
/// Invariant: the tokens here and at nodes never sum to more than the burst and
/// a part of the tolerance, and they are made no faster than the rate, but for
/// what a node makes while control does not know yet that it hears nothing.
class QuotaPool {
 public:
  /// `lease` is how long a silent node may act on its fallback rate.
  QuotaPool(TimePoint now, Duration lease, QuotaTolerance tolerance)
      : m_lease(lease), m_tolerance(tolerance), m_last_refill(now) {}

  /// Handles what `node` reports and returns its grant. Complexity: linear in
  /// the nodes that use the account, at most once a kScanInterval.
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
  double UncountedHeldTokens(const RateLimit& limit) const;
  double MaxLevel(const RateLimit& limit) const;
  double PrefetchBudget(const RateLimit& limit) const;
  void Scan(TimePoint now);

  const Duration m_lease;
  const QuotaTolerance m_tolerance;
  std::map<std::string, Holder> m_holders;
  double m_level = 0;
  bool m_initialized = false;
  double m_demand = 0;
  double m_held = 0;
  /// Fallback rates of nodes that have fallen silent.
  double m_silent_rate = 0;
  TimePoint m_last_refill;
  TimePoint m_last_scan;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_DECISIONS_CONTROL_QUOTA_POOL_H_
