#ifndef ROSEMARYWINCH_INTERFACES_RANDOM_H_
#define ROSEMARYWINCH_INTERFACES_RANDOM_H_

#include <cstdint>
#include <string>

namespace rosemarywinch {

/// Source of random numbers. Implementations are thread-safe.
class Random {
 public:
  virtual ~Random() = default;

  /// Returns a number less than `bound`, or zero when `bound` is zero.
  virtual uint64_t Below(uint64_t bound) = 0;

  /// Returns `bytes` unpredictable bytes in lower-case hexadecimal.
  virtual std::string Hex(size_t bytes) = 0;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_INTERFACES_RANDOM_H_
