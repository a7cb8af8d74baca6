#ifndef ROSEMARYWINCH_ADAPTERS_ASYNC_REQUEST_SCOPE_H_
#define ROSEMARYWINCH_ADAPTERS_ASYNC_REQUEST_SCOPE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <utility>

namespace rosemarywinch {

/// Lives as long as somebody waits for a request. Work beneath it is told when
/// the caller has gone. Thread-safe.
class RequestScope {
 public:
  /// Tells all work that nobody waits any more; only the first call counts.
  void End();

  bool ended() const;

  /// Calls `told` on End(), at once if that has happened. Returns a number
  /// for Forget(). `told` runs in the thread of End() and must not block.
  uint64_t OnEnd(std::function<void()> told);

  void Forget(uint64_t number);

 private:
  mutable std::mutex m_mutex;
  bool m_ended = false;
  uint64_t m_next = 0;
  std::map<uint64_t, std::function<void()>> m_told;
};

/// Registers a callback with a scope for as long as it lives itself.
class ScopeWatch {
 public:
  ScopeWatch(std::shared_ptr<RequestScope> scope, std::function<void()> told)
      : m_scope(std::move(scope)), m_number(m_scope->OnEnd(std::move(told))) {}
  ~ScopeWatch() { m_scope->Forget(m_number); }
  ScopeWatch(const ScopeWatch&) = delete;
  ScopeWatch& operator=(const ScopeWatch&) = delete;

 private:
  const std::shared_ptr<RequestScope> m_scope;
  const uint64_t m_number;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_ADAPTERS_ASYNC_REQUEST_SCOPE_H_
