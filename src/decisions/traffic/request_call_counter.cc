#include "rosemarywinch/decisions/traffic/request_call_counter.h"

namespace rosemarywinch {

namespace {

// Deadlines are sent as remaining time in whole ms and are read up to a few ms
// late under load, so those of one request differ slightly.
constexpr Duration kTolerance{3};

}  // namespace

uint32_t RequestCallCounter::OnCall(TimePoint now, TimePoint deadline) {
  m_calls.erase(m_calls.begin(), m_calls.lower_bound(now - kTolerance));
  const auto found = m_calls.lower_bound(deadline - kTolerance);
  if (found != m_calls.end() && found->first <= deadline + kTolerance) {
    return found->second++;
  }
  m_calls.emplace(deadline, 1);
  return 0;
}

}  // namespace rosemarywinch
