#ifndef ROSEMARYWINCH_ADAPTERS_SHARED_RESPONSE_BUDGET_H_
#define ROSEMARYWINCH_ADAPTERS_SHARED_RESPONSE_BUDGET_H_

#include <cstdint>
#include <memory>
#include <mutex>
#include <utility>

#include "rosemarywinch/decisions/traffic/response_budget.h"

namespace rosemarywinch {

/// The budget of all responses of a channel. It outlives the channel while a
/// response is being read. Thread-safe.
class SharedResponseBudget {
 public:
  /// Largest body of a response, in bytes.
  static constexpr uint64_t kMaxBodyBytes = 16'777'216;
  /// Largest head of a response, in bytes.
  static constexpr uint32_t kMaxHeadBytes = 65'536;
  /// Budget of the responses that are being read at the same time, in bytes.
  static constexpr uint64_t kMaxUnfinishedBytes = 33'554'432;

  /// The part of the budget that one response holds.
  class Share {
   public:
    explicit Share(std::shared_ptr<SharedResponseBudget> shared)
        : m_shared(std::move(shared)) {
      std::scoped_lock lock(m_shared->m_mutex);
      m_id = m_shared->m_budget.Begin();
    }
    ~Share() {
      std::scoped_lock lock(m_shared->m_mutex);
      m_shared->m_budget.End(m_id);
    }
    Share(const Share&) = delete;
    Share& operator=(const Share&) = delete;

    /// Records that the response holds `bytes`. Returns whether it may grow
    /// further.
    bool Grow(uint64_t bytes) {
      std::scoped_lock lock(m_shared->m_mutex);
      return m_shared->m_budget.Grow(m_id, bytes);
    }

   private:
    const std::shared_ptr<SharedResponseBudget> m_shared;
    uint64_t m_id = 0;
  };

 private:
  std::mutex m_mutex;
  ResponseBudget m_budget{kMaxUnfinishedBytes};
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_ADAPTERS_SHARED_RESPONSE_BUDGET_H_
