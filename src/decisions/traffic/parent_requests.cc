#include "rosemarywinch/decisions/traffic/parent_requests.h"

#include <cstdlib>
#include <utility>

namespace rosemarywinch {

namespace {

// Deadlines are sent as remaining time in whole ms, and each reader adds the
// time that the message took, so a nested call's deadline is up to a few ms
// after that of its request, or slightly before it through rounding.
constexpr Duration kMaxBefore{3};
constexpr Duration kMaxAfter{5};

}  // namespace

void ParentRequests::OnRun(TimePoint now,
                           TimePoint deadline,
                           EntryClass entry) {
  Expire(now);
  if (!entry.service.empty()) {
    ++m_running[entry];
  }
  m_requests.emplace(deadline, ParentRequest{std::move(entry), 0});
}

void ParentRequests::OnEnd(const EntryClass& entry) {
  const auto found = m_running.find(entry);
  if (found != m_running.end() && --found->second == 0) {
    m_running.erase(found);
  }
}

ParentRequest ParentRequests::OnCall(TimePoint now,
                                     TimePoint deadline,
                                     double point) {
  Expire(now);
  auto found = FindNearest(deadline);
  if (found == m_requests.end()) {
    found = m_requests.emplace(deadline, ParentRequest{RunningClass(point), 0});
  }
  ParentRequest parent = found->second;
  ++found->second.calls_before;
  return parent;
}

EntryClass ParentRequests::RunningClass(double point) const {
  double running = 0;
  for (const auto& [entry, count] : m_running) {
    running += count;
  }
  double remaining = point * running;
  for (const auto& [entry, count] : m_running) {
    if (remaining < count) {
      return entry;
    }
    remaining -= count;
  }
  return {};
}

void ParentRequests::Expire(TimePoint now) {
  m_requests.erase(m_requests.begin(), m_requests.lower_bound(now - kMaxAfter));
}

// Among requests with the same deadline, returns the one with the fewest calls,
// because requests of one kind make about as many calls each.
ParentRequests::Requests::iterator ParentRequests::FindNearest(
    TimePoint deadline) {
  const auto distance = [&](const auto& entry) {
    return std::abs((deadline - entry.first).ms);
  };
  auto best = m_requests.end();
  const auto end = m_requests.upper_bound(deadline + kMaxBefore);
  for (auto it = m_requests.lower_bound(deadline - kMaxAfter); it != end;
       ++it) {
    const bool better = best == m_requests.end() ||
                        distance(*it) < distance(*best) ||
                        (it->first == best->first &&
                         it->second.calls_before < best->second.calls_before);
    best = better ? it : best;
  }
  return best;
}

}  // namespace rosemarywinch
