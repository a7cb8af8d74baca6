#ifndef ROSEMARYWINCH_DECISIONS_CONTROL_ALLOWANCE_BUCKET_H_
#define ROSEMARYWINCH_DECISIONS_CONTROL_ALLOWANCE_BUCKET_H_

#include <cstdint>
#include <string>

#include "rosemarywinch/core/time.h"
#include "rosemarywinch/schema/quota.h"

namespace rosemarywinch {

/// Returns the rate in requests/s that a node with this demand retains: enough
/// headroom for demand to rise between two polls. The rest is released for use
/// by other nodes.
double RetainedRate(double demand);

/// Token bucket with a node's share of the rate and burst of one client
/// account. Not thread-safe: the caller serialises all calls.
class AllowanceBucket {
 public:
  /// Takes a token for one request. Returns false if there is none.
  bool TryTake(TimePoint now);

  /// Counts a request towards demand, whether or not it is admitted.
  void RecordArrival(TimePoint now);

  /// Returns true if the node holds a share whose lease has not expired.
  bool HasShare(TimePoint now) const;

  /// Returns the time until the next token at the current rate, or a fixed
  /// delay if the node holds no share.
  Duration RetryAfter(TimePoint now) const;

  /// Builds the report for the next poll, releases the unused part of the share
  /// and starts a new demand interval.
  AllowanceReport Report(TimePoint now, const std::string& account);

  /// Extends the lease. Applies the grant unless the lease has already expired
  /// or a grant with this number or a higher one was applied before.
  void Apply(TimePoint now, const AllowanceGrant& grant, TimePoint lease_end);

  /// Returns true if demand has stopped while the node holds a significant
  /// share, so that the next poll should be sent early.
  bool ShouldReleaseSoon(TimePoint now) const;

  /// Returns true if no request has arrived for so long that the share can be
  /// dropped.
  bool IsIdle(TimePoint now) const;

 private:
  void Refill(TimePoint now);
  bool HasStopped(TimePoint now) const;
  void UpdateDemand(TimePoint now);
  void ReleaseUnused();
  /// Sets the share. Tokens above the new burst are returned.
  void SetShare(double rate, double burst);

  double m_rate = 0;
  double m_burst = 0;
  double m_tokens = 0;
  double m_returned = 0;
  double m_arrivals = 0;
  double m_demand = 0;
  /// Whether a request has found no token since the last report.
  bool m_starved = false;
  uint64_t m_applied_grant = 0;
  TimePoint m_last_refill;
  TimePoint m_lease_end;
  TimePoint m_last_report;
  TimePoint m_last_arrival;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_DECISIONS_CONTROL_ALLOWANCE_BUCKET_H_
