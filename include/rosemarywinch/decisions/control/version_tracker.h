#ifndef ROSEMARYWINCH_DECISIONS_CONTROL_VERSION_TRACKER_H_
#define ROSEMARYWINCH_DECISIONS_CONTROL_VERSION_TRACKER_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "rosemarywinch/core/time.h"

namespace rosemarywinch {

/// Tracks the configuration version that is in force everywhere, so that no
/// node can act on an older one. Not thread-safe: the caller serialises all
/// calls.
///
/// A version is in force once every node that may hold a lease has confirmed
/// it, or once every lease granted before it was applied has expired.
class VersionTracker {
 public:
  explicit VersionTracker(Duration lease) : m_lease(lease) {}

  /// Starts a leadership term. Nodes may still hold leases of earlier leaders;
  /// the times at which versions were applied before still count.
  void Reset(TimePoint now, uint64_t version);

  /// Records that the local state has reached `version`.
  void OnApplied(TimePoint now, uint64_t version);

  /// Records that `node` acts on `version` and is about to be granted a lease.
  void OnPoll(TimePoint now, const std::string& node, uint64_t version);

  /// Returns the latest version that is in force everywhere.
  uint64_t InForce(TimePoint now);

  /// Returns whether no node acts on a version older than `version` once
  /// `bound` has passed after `now`, even if nothing is heard of the nodes
  /// until then.
  bool InForceWithin(TimePoint now, Duration bound, uint64_t version);

  /// Returns the known nodes that may still act on a version older than
  /// `version`.
  std::vector<std::string> PendingNodes(TimePoint now, uint64_t version);

 private:
  struct NodeRecord {
    uint64_t confirmed = 0;
    TimePoint lease_end;
  };

  void ExpireLeases(TimePoint now);
  void ExpireApplied(TimePoint now);

  const Duration m_lease;
  TimePoint m_since;
  uint64_t m_in_force = 0;
  uint64_t m_newest = 0;
  std::map<std::string, NodeRecord> m_nodes;
  /// Time at which each version that is not yet in force was applied.
  std::map<uint64_t, TimePoint> m_applied;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_DECISIONS_CONTROL_VERSION_TRACKER_H_
