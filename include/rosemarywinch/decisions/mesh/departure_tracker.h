#ifndef ROSEMARYWINCH_DECISIONS_MESH_DEPARTURE_TRACKER_H_
#define ROSEMARYWINCH_DECISIONS_MESH_DEPARTURE_TRACKER_H_

#include <vector>

#include "rosemarywinch/schema/fleet.h"

namespace rosemarywinch {

/// Knows which backend servers beside this node have left, including those that
/// an earlier process of the node was told of. A departure may be acknowledged
/// once control has stored it. Not thread-safe: the caller serialises all
/// calls.
class DepartureTracker {
 public:
  /// Notes a departure of which this process was told.
  void Note(const Departure& departure);

  /// Takes over all departures that control has stored for this node.
  void OnStored(const std::vector<Departure>& stored);

  /// Returns whether the stored departures were received since the start of
  /// this process; until then, any backend server may have left.
  bool restored() const { return m_restored; }

  /// Returns whether the incarnation that `departure` names has left, as far as
  /// it is known.
  bool HasLeft(const Departure& departure) const;

  /// Returns whether control has stored the departure.
  bool IsStored(const Departure& departure) const;

  /// Departures that control has to store.
  const std::vector<Departure>& unstored() const { return m_unstored; }

 private:
  bool m_restored = false;
  std::vector<Departure> m_stored;
  std::vector<Departure> m_unstored;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_DECISIONS_MESH_DEPARTURE_TRACKER_H_
