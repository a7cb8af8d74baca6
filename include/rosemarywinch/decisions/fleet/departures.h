#ifndef ROSEMARYWINCH_DECISIONS_FLEET_DEPARTURES_H_
#define ROSEMARYWINCH_DECISIONS_FLEET_DEPARTURES_H_

#include <cstddef>
#include <string>
#include <vector>

#include "rosemarywinch/schema/fleet.h"

namespace rosemarywinch {

/// Number of departures kept per node. Only the backend server that left last
/// can still run, so that older ones serve for late messages only.
inline constexpr size_t kMaxDeparturesPerNode = 4;
/// Number of nodes whose departures are kept; those of the nodes without a
/// departure for the longest time are dropped first.
inline constexpr size_t kMaxDepartureNodes = 4096;

/// Returns whether `departures` covers the incarnation that `departure` names.
bool HasLeft(const std::vector<Departure>& departures,
             const Departure& departure);

/// Adds a departure; drops the oldest one beyond kMaxDeparturesPerNode.
void AddDeparture(std::vector<Departure>& departures,
                  const Departure& departure);

/// Adds a departure at a node to the replicated state; drops those of another
/// node beyond kMaxDepartureNodes.
void StoreDeparture(FleetState& state, const RecordDeparture& change);

/// Returns the stored departures at `node`.
std::vector<Departure> StoredDepartures(const FleetState& state,
                                        const std::string& node);

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_DECISIONS_FLEET_DEPARTURES_H_
