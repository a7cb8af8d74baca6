#ifndef ROSEMARYWINCH_INTERFACES_CLOCK_H_
#define ROSEMARYWINCH_INTERFACES_CLOCK_H_

#include "rosemarywinch/core/time.h"

namespace rosemarywinch {

/// Source of time. Implementations are thread-safe.
class Clock {
 public:
  virtual ~Clock() = default;

  /// Returns a monotonic time that also advances while the host is suspended.
  virtual TimePoint Now() const = 0;

  /// Returns the Unix time, for records that people read.
  virtual Duration UnixTime() const = 0;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_INTERFACES_CLOCK_H_
