#ifndef ROSEMARYWINCH_ADAPTERS_ASYNC_ONE_SHOT_H_
#define ROSEMARYWINCH_ADAPTERS_ASYNC_ONE_SHOT_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <memory>
#include <mutex>
#include <optional>
#include <utility>

#include "rosemarywinch/core/time.h"

namespace rosemarywinch {

namespace asio = boost::asio;

/// A value that any thread sets once and one coroutine waits for.
template <typename T>
class OneShot : public std::enable_shared_from_this<OneShot<T>> {
 public:
  /// `executor` must be the one on which Wait() runs, and must not run handlers
  /// concurrently.
  explicit OneShot(asio::any_io_executor executor)
      : m_executor(std::move(executor)), m_timer(m_executor) {}

  /// Sets the value and wakes the waiting coroutine. Returns false when a value
  /// is already set.
  bool Set(T value) {
    {
      std::scoped_lock lock(m_mutex);
      if (m_value) {
        return false;
      }
      m_value.emplace(std::move(value));
    }
    Wake();
    return true;
  }

  /// Takes the value if it is set, without waiting.
  std::optional<T> TryTake() {
    std::scoped_lock lock(m_mutex);
    return std::exchange(m_value, std::nullopt);
  }

  /// Makes Wait() return early, without a value unless one is set.
  void Cancel() {
    {
      std::scoped_lock lock(m_mutex);
      m_cancelled = true;
    }
    Wake();
  }

  /// Waits for the value, for `limit` at most.
  asio::awaitable<std::optional<T>> Wait(Duration limit) {
    const auto self = this->shared_from_this();
    m_timer.expires_after(std::chrono::milliseconds(limit.ms));
    while (!Finished() &&
           m_timer.expiry() > asio::steady_timer::clock_type::now()) {
      boost::system::error_code cancelled;
      co_await m_timer.async_wait(
          asio::redirect_error(asio::use_awaitable, cancelled));
    }
    std::scoped_lock lock(m_mutex);
    co_return std::exchange(m_value, std::nullopt);
  }

 private:
  bool Finished() {
    std::scoped_lock lock(m_mutex);
    return m_value.has_value() || m_cancelled;
  }

  void Wake() {
    asio::post(m_executor,
               [self = this->shared_from_this()] { self->m_timer.cancel(); });
  }

  const asio::any_io_executor m_executor;
  asio::steady_timer m_timer;
  std::mutex m_mutex;
  std::optional<T> m_value;
  bool m_cancelled = false;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_ADAPTERS_ASYNC_ONE_SHOT_H_
