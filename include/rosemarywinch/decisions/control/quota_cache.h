#ifndef ROSEMARYWINCH_DECISIONS_CONTROL_QUOTA_CACHE_H_
#define ROSEMARYWINCH_DECISIONS_CONTROL_QUOTA_CACHE_H_

#include <cstdint>
#include <string>

#include "rosemarywinch/core/time.h"
#include "rosemarywinch/decisions/control/quota_pool.h"
#include "rosemarywinch/schema/control.h"

namespace rosemarywinch {

/// A node's few tokens of one client account; see QuotaPool. The caller
/// serialises all calls.
class QuotaCache {
 public:
  /// Counts a request as offered, whether or not it is let in.
  void RecordArrival(TimePoint now);

  /// Takes the token of one request. Returns false when there is none.
  bool TryTake(TimePoint now);

  /// Counts a request that waits for a token, and one that no longer does.
  void BeginWait() { ++m_waiting; }
  void EndWait() { --m_waiting; }

  /// Tells that the fleet has no tokens to lend at the moment, so that asking
  /// sooner than the next poll is of no use.
  bool IsExhausted(TimePoint now) const { return now < m_exhausted_until; }

  /// Returns the time after which a request may find a token.
  Duration RetryAfter() const;

  /// Makes the report of a poll; what is given back is gone at once.
  QuotaReport Report(TimePoint now, const std::string& account);

  /// Applies the answer to a poll that was sent at `sent`.
  void Apply(TimePoint now,
             TimePoint sent,
             const QuotaGrant& grant,
             TimePoint lease_end);

  /// Tells whether nothing was offered for so long that the account can be
  /// forgotten.
  bool IsIdle(TimePoint now) const;

 private:
  void Decay(TimePoint now);
  double Target() const;
  void AddFallbackTokens(TimePoint now);

  double m_tokens = 0;
  /// Offers a second, weighted by their age.
  double m_demand = 0;
  TimePoint m_last_decay;
  double m_fallback_rate = 0;
  uint32_t m_waiting = 0;
  TimePoint m_last_refill;
  TimePoint m_last_answered;
  TimePoint m_lease_end;
  TimePoint m_exhausted_until;
  TimePoint m_last_arrival;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_DECISIONS_CONTROL_QUOTA_CACHE_H_
