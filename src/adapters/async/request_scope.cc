#include "rosemarywinch/adapters/async/request_scope.h"

namespace rosemarywinch {

void RequestScope::End() {
  std::map<uint64_t, std::function<void()>> told;
  {
    std::scoped_lock lock(m_mutex);
    if (m_ended) {
      return;
    }
    m_ended = true;
    told = std::exchange(m_told, {});
  }
  for (const auto& [number, callback] : told) {
    callback();
  }
}

bool RequestScope::ended() const {
  std::scoped_lock lock(m_mutex);
  return m_ended;
}

uint64_t RequestScope::OnEnd(std::function<void()> told) {
  {
    std::scoped_lock lock(m_mutex);
    if (!m_ended) {
      m_told[++m_next] = std::move(told);
      return m_next;
    }
  }
  told();
  return 0;
}

void RequestScope::Forget(uint64_t number) {
  std::scoped_lock lock(m_mutex);
  m_told.erase(number);
}

}  // namespace rosemarywinch
