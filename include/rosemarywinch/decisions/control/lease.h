#ifndef ROSEMARYWINCH_DECISIONS_CONTROL_LEASE_H_
#define ROSEMARYWINCH_DECISIONS_CONTROL_LEASE_H_

#include "rosemarywinch/core/time.h"

namespace rosemarywinch {

/// Clock drift that leases allow for, in parts of a hundred.
inline constexpr int64_t kMaxClockDriftPercent = 5;

/// Returns the time after which the lessor may count a lease as ended. The
/// holder dates its lease from the moment it asked, on its own clock.
constexpr Duration LessorLeaseDuration(Duration lease) {
  return lease + lease * kMaxClockDriftPercent / 100 + Duration{1};
}

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_DECISIONS_CONTROL_LEASE_H_
