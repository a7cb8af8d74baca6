#ifndef ROSEMARYWINCH_DECISIONS_CONTROL_ALLOWANCE_BUCKET_H_
#define ROSEMARYWINCH_DECISIONS_CONTROL_ALLOWANCE_BUCKET_H_

#include <cstdint>
#include <string>

#include "rosemarywinch/core/time.h"
#include "rosemarywinch/schema/control.h"

namespace rosemarywinch {

/// Rate that a node with this demand may keep, in requests/s: enough headroom
/// for it to rise between two polls, and no more, so that the rest can go where
/// it is needed.
double RetainedRate(double demand);

/// A node's share of one client account's rate and burst. The caller
/// serialises all calls.
class AllowanceBucket {
 public:
  /// Takes the token of one request. Returns false when there is none.
  bool TryTake(TimePoint now);

  /// Counts a request as offered, whether or not it is let in.
  void RecordArrival(TimePoint now);

  /// Tells whether the node holds a share whose lease lives.
  bool HasShare(TimePoint now) const;

  /// Returns the time until a token is there at the present rate.
  Duration RetryAfter(TimePoint now) const;

  /// Makes the report of the next poll and begins a new span of demand.
  AllowanceReport Report(TimePoint now, const std::string& account);

  /// Applies a grant, each number once, and extends the lease.
  void Apply(TimePoint now, const AllowanceGrant& grant, TimePoint lease_end);

  /// Tells whether demand has stopped while a share worth having is held, so
  /// that the next poll should not wait.
  bool ShouldReleaseSoon(TimePoint now) const;

  /// Tells whether nothing was offered for so long that the share can go.
  bool IsIdle(TimePoint now) const;

 private:
  void Refill(TimePoint now);
  bool HasStopped(TimePoint now) const;
  void UpdateDemand(TimePoint now);
  void ReleaseUnused();
  /// Takes over a share; tokens that no longer fit are given back.
  void SetShare(double rate, double burst);

  double m_rate = 0;
  double m_burst = 0;
  double m_tokens = 0;
  double m_returned = 0;
  double m_arrivals = 0;
  double m_demand = 0;
  /// A request found no token since the last report.
  bool m_starved = false;
  uint64_t m_applied_grant = 0;
  TimePoint m_last_refill;
  TimePoint m_lease_end;
  TimePoint m_last_report;
  TimePoint m_last_arrival;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_DECISIONS_CONTROL_ALLOWANCE_BUCKET_H_
