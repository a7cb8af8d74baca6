#ifndef ROSEMARYWINCH_DECISIONS_TRAFFIC_MEMORY_BUDGET_H_
#define ROSEMARYWINCH_DECISIONS_TRAFFIC_MEMORY_BUDGET_H_

#include <atomic>
#include <cstdint>
#include <utility>

namespace rosemarywinch {

/// Bounds the memory of large request bodies over all connections of a process.
/// A body that does not fit is refused before it is read. Thread-safe.
class MemoryBudget {
 public:
  explicit MemoryBudget(uint64_t max_bytes) : m_max_bytes(max_bytes) {}

  /// Takes `bytes`. Returns whether they fit; otherwise nothing is taken.
  bool TryTake(uint64_t bytes);

  /// Takes `bytes` even if they do not fit: no others fit until then.
  void Take(uint64_t bytes) { m_used += bytes; }

  /// Returns bytes that were taken.
  void Give(uint64_t bytes) { m_used -= bytes; }

  uint64_t used() const { return m_used; }

 private:
  const uint64_t m_max_bytes;
  std::atomic<uint64_t> m_used{0};
};

/// What one request has taken from a budget; given back on destruction. It
/// belongs to one request and is not thread-safe.
class MemoryShare {
 public:
  /// Bodies below this size are not counted: they are bounded by the number of
  /// requests, and most requests have none.
  static constexpr uint64_t kUncountedBytes = 16'384;
  /// Copies of a body that a node holds at the same time: the request that is
  /// kept for a retry or was received, the one that is sent, and its encoded
  /// form.
  static constexpr uint64_t kCopies = 3;

  MemoryShare() = default;
  explicit MemoryShare(MemoryBudget* budget) : m_budget(budget) {}
  MemoryShare(MemoryShare&& other) noexcept
      : m_budget(other.m_budget), m_taken(std::exchange(other.m_taken, 0)) {}
  MemoryShare& operator=(MemoryShare&& other) noexcept {
    std::swap(m_budget, other.m_budget);
    std::swap(m_taken, other.m_taken);
    return *this;
  }
  ~MemoryShare();

  /// Takes what a body of `bytes` needs beyond what was taken before. Returns
  /// whether it fits; always true without a budget.
  bool GrowTo(uint64_t bytes);

  /// Replaces what was taken by a response of `bytes`, which is never refused.
  void Hold(uint64_t bytes);

 private:
  MemoryBudget* m_budget = nullptr;
  uint64_t m_taken = 0;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_DECISIONS_TRAFFIC_MEMORY_BUDGET_H_
