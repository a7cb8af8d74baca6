#include "rosemarywinch/decisions/traffic/response_budget.h"

namespace rosemarywinch {

uint64_t ResponseBudget::Begin() {
  const uint64_t id = ++m_next_id;
  m_bytes[id] = 0;
  return id;
}

bool ResponseBudget::Grow(uint64_t id, uint64_t bytes) {
  const auto found = m_bytes.find(id);
  if (found == m_bytes.end()) {
    return false;
  }
  m_total_bytes += bytes - found->second;
  found->second = bytes;
  return m_total_bytes <= m_max_bytes || bytes <= m_max_bytes / m_bytes.size();
}

void ResponseBudget::End(uint64_t id) {
  const auto found = m_bytes.find(id);
  if (found != m_bytes.end()) {
    m_total_bytes -= found->second;
    m_bytes.erase(found);
  }
}

}  // namespace rosemarywinch
