#ifndef ROSEMARYWINCH_DECISIONS_TRAFFIC_RESPONSE_BUDGET_H_
#define ROSEMARYWINCH_DECISIONS_TRAFFIC_RESPONSE_BUDGET_H_

#include <cstdint>
#include <map>

namespace rosemarywinch {

/// Bounds the memory of responses that are still being read, so that one
/// without end cannot use up the memory of the process. While the budget is
/// exceeded, responses above an equal share of it may not grow. Not
/// thread-safe.
class ResponseBudget {
 public:
  /// Together, the responses hold at most twice `max_bytes` and what each has
  /// grown by last.
  explicit ResponseBudget(uint64_t max_bytes) : m_max_bytes(max_bytes) {}

  /// Adds an empty response and returns its id.
  uint64_t Begin();

  /// Records that the response holds `bytes`. Returns whether it may grow
  /// further; otherwise the caller must give it up.
  bool Grow(uint64_t id, uint64_t bytes);

  /// Removes a response that is complete or was given up.
  void End(uint64_t id);

  /// Bytes that all responses hold.
  uint64_t total_bytes() const { return m_total_bytes; }

 private:
  const uint64_t m_max_bytes;
  uint64_t m_next_id = 0;
  uint64_t m_total_bytes = 0;
  std::map<uint64_t, uint64_t> m_bytes;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_DECISIONS_TRAFFIC_RESPONSE_BUDGET_H_
