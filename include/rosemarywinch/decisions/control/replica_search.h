#ifndef ROSEMARYWINCH_DECISIONS_CONTROL_REPLICA_SEARCH_H_
#define ROSEMARYWINCH_DECISIONS_CONTROL_REPLICA_SEARCH_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <set>

namespace rosemarywinch {

/// The order in which a node asks the control replicas for the leader, each
/// once in a round. Replicas that are down cost a timeout each, so that the
/// first one that names the leader ends the search. Not thread-safe.
class ReplicaSearch {
 public:
  /// Begins a round with `leader`, 0 if it is unknown, and goes on with
  /// `others`.
  ReplicaSearch(uint32_t leader, const std::set<uint32_t>& others);

  /// Returns the replica to ask next, or nothing when all have been asked.
  std::optional<uint32_t> Next();

  /// Records that a replica named `leader`, which is asked next unless it has
  /// been asked in this round.
  void OnNamed(uint32_t leader);

 private:
  std::deque<uint32_t> m_next;
  std::set<uint32_t> m_asked;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_DECISIONS_CONTROL_REPLICA_SEARCH_H_
