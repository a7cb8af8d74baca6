#ifndef ROSEMARYWINCH_DECISIONS_CONTROL_QUOTA_CACHE_H_
#define ROSEMARYWINCH_DECISIONS_CONTROL_QUOTA_CACHE_H_

#include <cstdint>
#include <string>

#include "rosemarywinch/core/time.h"
#include "rosemarywinch/decisions/control/quota_pool.h"
#include "rosemarywinch/schema/quota.h"

namespace rosemarywinch {

/// A node's local cache of tokens of one client account; see QuotaPool. Not
/// thread-safe: the caller serialises all calls.
class QuotaCache {
 public:
  /// Counts a request towards demand, whether or not it is admitted.
  void RecordArrival(TimePoint now);

  /// Takes a token for one request. Returns false if there is none.
  bool TryTake(TimePoint now);

  /// Track the number of requests that wait for a token.
  void BeginWait() { ++m_waiting; }
  void EndWait() { --m_waiting; }
  uint32_t waiting() const { return m_waiting; }

  /// Returns true if the pool was out of tokens a moment ago, so that an early
  /// poll would be useless.
  bool IsExhausted(TimePoint now) const { return now < m_exhausted_until; }

  /// Returns the delay after which a refused request may be retried.
  Duration RetryAfter() const;

  /// Returns whether control must hear of this account with the next poll:
  /// the node holds tokens, wants some, or may generate some while cut off.
  bool NeedsReport(TimePoint now);

  /// Builds the report of a poll. Returned tokens leave the cache immediately.
  QuotaReport Report(TimePoint now, const std::string& account);

  /// Applies the response to a poll that was sent at `sent`.
  void Apply(TimePoint now,
             TimePoint sent,
             const QuotaGrant& grant,
             TimePoint lease_end);

  /// Returns true if no request has arrived for so long that the cache can be
  /// dropped.
  bool IsIdle(TimePoint now) const;

 private:
  void Decay(TimePoint now);
  double Target() const;
  void AddFallbackTokens(TimePoint now);

  double m_tokens = 0;
  /// Arrivals per second, weighted by exponential decay.
  double m_demand = 0;
  TimePoint m_last_decay;
  double m_fallback_rate = 0;
  double m_fleet_fallback_rate = 0;
  uint32_t m_waiting = 0;
  TimePoint m_last_refill;
  TimePoint m_last_answered;
  TimePoint m_lease_end;
  TimePoint m_exhausted_until;
  TimePoint m_last_arrival;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_DECISIONS_CONTROL_QUOTA_CACHE_H_
