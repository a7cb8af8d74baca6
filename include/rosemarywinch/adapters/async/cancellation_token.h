#ifndef ROSEMARYWINCH_ADAPTERS_ASYNC_CANCELLATION_TOKEN_H_
#define ROSEMARYWINCH_ADAPTERS_ASYNC_CANCELLATION_TOKEN_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <utility>

namespace rosemarywinch {

/// Cancels the work done for a request when its caller no longer waits for the
/// response. Thread-safe.
class CancellationToken {
 public:
  /// Runs the registered callbacks. Further calls do nothing.
  void Cancel();

  bool cancelled() const;

  /// Registers `on_cancel`, which must not block. It runs in the thread of
  /// Cancel(), or at once in this one when the token is already cancelled.
  /// Returns a number for RemoveCallback().
  uint64_t OnCancel(std::function<void()> on_cancel);

  /// Does not wait for a callback that Cancel() is running or about to run.
  void RemoveCallback(uint64_t number);

 private:
  mutable std::mutex m_mutex;
  bool m_cancelled = false;
  uint64_t m_next = 0;
  std::map<uint64_t, std::function<void()>> m_callbacks;
};

/// Registers a callback with a token, and removes it on destruction.
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
