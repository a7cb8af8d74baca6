#include "rosemarywinch/decisions/control/version_tracker.h"

#include <algorithm>

#include "rosemarywinch/decisions/control/lease.h"

namespace rosemarywinch {

void VersionTracker::Reset(TimePoint now, uint64_t version) {
  m_since = now;
  m_newest = version;
  m_nodes.clear();
  m_applied.try_emplace(version, now);
}

void VersionTracker::OnApplied(TimePoint now, uint64_t version) {
  ExpireApplied(now);
  if (version > m_newest) {
    m_newest = version;
    m_applied.try_emplace(version, now);
  }
}

void VersionTracker::OnPoll(TimePoint now,
                            const std::string& node,
                            uint64_t version) {
  NodeRecord& record = m_nodes[node];
  record.confirmed = std::max(record.confirmed, version);
  record.lease_end = now + LessorLeaseDuration(m_lease);
}

uint64_t VersionTracker::InForce(TimePoint now) {
  ExpireLeases(now);
  ExpireApplied(now);
  if (now >= m_since + LessorLeaseDuration(m_lease)) {
    uint64_t confirmed = m_newest;
    for (const auto& [name, node] : m_nodes) {
      confirmed = std::min(confirmed, node.confirmed);
    }
    m_in_force = std::max(m_in_force, confirmed);
  }
  m_applied.erase(m_applied.begin(), m_applied.upper_bound(m_in_force));
  return m_in_force;
}

bool VersionTracker::InForceWithin(TimePoint now,
                                   Duration bound,
                                   uint64_t version) {
  if (InForce(now) >= version) {
    return true;
  }
  const auto applied = m_applied.lower_bound(version);
  return applied != m_applied.end() &&
         now + bound >= applied->second + LessorLeaseDuration(m_lease);
}

std::vector<std::string> VersionTracker::PendingNodes(TimePoint now,
                                                      uint64_t version) {
  ExpireLeases(now);
  std::vector<std::string> pending;
  for (const auto& [name, node] : m_nodes) {
    if (node.confirmed < version) {
      pending.push_back(name);
    }
  }
  return pending;
}

// A lease for an older version was granted before the later one was applied
// anywhere, by whichever leader.
void VersionTracker::ExpireApplied(TimePoint now) {
  for (const auto& [version, applied] : m_applied) {
    if (now >= applied + LessorLeaseDuration(m_lease)) {
      m_in_force = std::max(m_in_force, version);
    }
  }
  m_applied.erase(m_applied.begin(), m_applied.upper_bound(m_in_force));
}

void VersionTracker::ExpireLeases(TimePoint now) {
  std::erase_if(m_nodes,
                [&](const auto& node) { return node.second.lease_end <= now; });
}

}  // namespace rosemarywinch
