#include "rosemarywinch/adapters/async/cancellation_token.h"

namespace rosemarywinch {

void CancellationToken::Cancel() {
  std::map<uint64_t, std::function<void()>> on_cancel;
  {
    std::scoped_lock lock(m_mutex);
    if (m_cancelled) {
      return;
    }
    m_cancelled = true;
    on_cancel = std::exchange(m_callbacks, {});
  }
  for (const auto& [number, callback] : on_cancel) {
    callback();
  }
}

bool CancellationToken::cancelled() const {
  std::scoped_lock lock(m_mutex);
  return m_cancelled;
}

uint64_t CancellationToken::OnCancel(std::function<void()> on_cancel) {
  {
    std::scoped_lock lock(m_mutex);
    if (!m_cancelled) {
      m_callbacks[++m_next] = std::move(on_cancel);
      return m_next;
    }
  }
  on_cancel();
  return 0;
}

void CancellationToken::RemoveCallback(uint64_t number) {
  std::scoped_lock lock(m_mutex);
  m_callbacks.erase(number);
}

}  // namespace rosemarywinch
