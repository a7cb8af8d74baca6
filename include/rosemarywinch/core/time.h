#ifndef ROSEMARYWINCH_CORE_TIME_H_
#define ROSEMARYWINCH_CORE_TIME_H_

#include <compare>
#include <cstdint>

namespace rosemarywinch {

/// Time span in milliseconds.
struct Duration {
  int64_t ms = 0;

  auto operator<=>(const Duration&) const = default;

  constexpr Duration operator+(Duration other) const { return {ms + other.ms}; }
  constexpr Duration operator-(Duration other) const { return {ms - other.ms}; }
  constexpr Duration operator*(int64_t factor) const { return {ms * factor}; }
  constexpr Duration operator/(int64_t divisor) const { return {ms / divisor}; }

  /// Returns the time span in seconds.
  constexpr double Seconds() const { return static_cast<double>(ms) / 1000.0; }
};

/// Largest magnitude of a time span that is accepted from outside, about 139
/// years. Two of them can be added to any Unix time or clock reading, also in
/// nanoseconds, without overflow.
inline constexpr Duration kMaxDuration{int64_t{1} << 42};

/// Point in time on a monotonic clock, in milliseconds. Not comparable between
/// processes.
struct TimePoint {
  int64_t ms = 0;

  auto operator<=>(const TimePoint&) const = default;

  constexpr TimePoint operator+(Duration length) const {
    return {ms + length.ms};
  }
  constexpr TimePoint operator-(Duration length) const {
    return {ms - length.ms};
  }
  constexpr Duration operator-(TimePoint other) const {
    return {ms - other.ms};
  }
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_CORE_TIME_H_
