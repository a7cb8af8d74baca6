#include "rosemarywinch/decisions/traffic/memory_budget.h"

namespace rosemarywinch {

bool MemoryBudget::TryTake(uint64_t bytes) {
  uint64_t used = m_used;
  do {
    if (bytes > m_max_bytes || used > m_max_bytes - bytes) {
      return false;
    }
  } while (!m_used.compare_exchange_weak(used, used + bytes));
  return true;
}

MemoryShare::~MemoryShare() {
  if (m_taken > 0) {
    m_budget->Give(m_taken);
  }
}

void MemoryShare::Hold(uint64_t bytes) {
  if (m_budget == nullptr) {
    return;
  }
  m_budget->Give(m_taken);
  m_taken = bytes > kUncountedBytes ? bytes : 0;
  m_budget->Take(m_taken);
}

bool MemoryShare::GrowTo(uint64_t bytes) {
  const uint64_t wanted = bytes * kCopies;
  if (m_budget == nullptr || bytes <= kUncountedBytes || wanted <= m_taken) {
    return true;
  }
  if (!m_budget->TryTake(wanted - m_taken)) {
    return false;
  }
  m_taken = wanted;
  return true;
}

}  // namespace rosemarywinch
