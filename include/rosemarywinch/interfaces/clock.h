#ifndef ROSEMARYWINCH_INTERFACES_CLOCK_H_
#define ROSEMARYWINCH_INTERFACES_CLOCK_H_

#include "rosemarywinch/core/time.h"

namespace rosemarywinch {

/// Source of time. Implementations are thread-safe.
class Clock {
 public:
  virtual ~Clock() = default;

  /// Returns a time that never goes back and counts while the host sleeps.
  virtual TimePoint Now() const = 0;

  /// Returns the calendar time since 1970, for records that people read.
  virtual Duration UnixTime() const = 0;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_INTERFACES_CLOCK_H_
