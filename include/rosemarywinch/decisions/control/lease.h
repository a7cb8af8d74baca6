#ifndef ROSEMARYWINCH_DECISIONS_CONTROL_LEASE_H_
#define ROSEMARYWINCH_DECISIONS_CONTROL_LEASE_H_

#include "rosemarywinch/core/time.h"

namespace rosemarywinch {

/// Maximum clock drift that leases tolerate, in percent.
inline constexpr int64_t kMaxClockDriftPercent = 5;

/// Returns the time after which the lessor may treat a lease as expired. The
/// holder measures the lease on its own clock, from the time at which it sent
/// the request.
constexpr Duration LessorLeaseDuration(Duration lease) {
  return lease + lease * kMaxClockDriftPercent / 100 + Duration{1};
}

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_DECISIONS_CONTROL_LEASE_H_
