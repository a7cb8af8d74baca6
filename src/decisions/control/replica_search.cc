#include "rosemarywinch/decisions/control/replica_search.h"

namespace rosemarywinch {

ReplicaSearch::ReplicaSearch(uint32_t leader, const std::set<uint32_t>& others)
    : m_next(others.begin(), others.end()) {
  OnNamed(leader);
}

std::optional<uint32_t> ReplicaSearch::Next() {
  while (!m_next.empty()) {
    const uint32_t replica = m_next.front();
    m_next.pop_front();
    if (m_asked.insert(replica).second) {
      return replica;
    }
  }
  return std::nullopt;
}

void ReplicaSearch::OnNamed(uint32_t leader) {
  if (leader != 0 && !m_asked.contains(leader)) {
    m_next.push_front(leader);
  }
}

}  // namespace rosemarywinch
