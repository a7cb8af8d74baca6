#ifndef ROSEMARYWINCH_ADAPTERS_ASYNC_CANCELLATION_TOKEN_H_
#define ROSEMARYWINCH_ADAPTERS_ASYNC_CANCELLATION_TOKEN_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <utility>

namespace rosemarywinch {

/// Lives as long as somebody waits for a request. Work beneath it is told when
/// the caller has gone. Thread-safe.
class CancellationToken {
 public:
  /// Tells all work that nobody waits any more; only the first call counts.
  void Cancel();

  bool cancelled() const;

  /// Calls `told` on End(), at once if that has happened. Returns a number
  /// for Forget(). `told` runs in the thread of End() and must not block.
  uint64_t OnCancel(std::function<void()> on_cancel);

  void RemoveCallback(uint64_t number);

 private:
  mutable std::mutex m_mutex;
  bool m_ended = false;
  uint64_t m_next = 0;
  std::map<uint64_t, std::function<void()>> m_callbacks;
};

/// Registers a callback with a scope for as long as it lives itself.
class CancellationCallback {
 public:
  CancellationCallback(std::shared_ptr<CancellationToken> cancellation,
                       std::function<void()> on_cancel)
      : m_cancellation(std::move(cancellation)),
        m_number(m_cancellation->OnCancel(std::move(on_cancel))) {}
  ~CancellationCallback() { m_cancellation->RemoveCallback(m_number); }
  CancellationCallback(const CancellationCallback&) = delete;
  CancellationCallback& operator=(const CancellationCallback&) = delete;

 private:
  const std::shared_ptr<CancellationToken> m_cancellation;
  const uint64_t m_number;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_ADAPTERS_ASYNC_CANCELLATION_TOKEN_H_
