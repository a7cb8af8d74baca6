#include "rosemarywinch/decisions/fleet/departures.h"

#include <algorithm>

namespace rosemarywinch {

namespace {

bool ChangedEarlier(const std::pair<const std::string, NodeDepartures>& a,
                    const std::pair<const std::string, NodeDepartures>& b) {
  return a.second.order < b.second.order;
}

uint64_t LastOrder(const FleetState& state) {
  const auto last = std::max_element(state.departures.begin(),
                                     state.departures.end(), ChangedEarlier);
  return last == state.departures.end() ? 0 : last->second.order;
}

}  // namespace

bool HasLeft(const std::vector<Departure>& departures,
             const Departure& departure) {
  return std::any_of(departures.begin(), departures.end(),
                     [&](const Departure& known) {
                       return known.backend_id == departure.backend_id &&
                              known.born >= departure.born;
                     });
}

void AddDeparture(std::vector<Departure>& departures,
                  const Departure& departure) {
  if (HasLeft(departures, departure)) {
    return;
  }
  std::erase_if(departures, [&](const Departure& known) {
    return known.backend_id == departure.backend_id;
  });
  departures.push_back(departure);
  if (departures.size() > kMaxDeparturesPerNode) {
    departures.erase(departures.begin());
  }
}

void StoreDeparture(FleetState& state, const RecordDeparture& change) {
  const uint64_t order = LastOrder(state) + 1;
  NodeDepartures& entry = state.departures[change.node];
  AddDeparture(entry.departures, change.departure);
  entry.order = order;
  if (state.departures.size() > kMaxDepartureNodes) {
    state.departures.erase(std::min_element(
        state.departures.begin(), state.departures.end(), ChangedEarlier));
  }
}

std::vector<Departure> StoredDepartures(const FleetState& state,
                                        const std::string& node) {
  const auto found = state.departures.find(node);
  return found == state.departures.end() ? std::vector<Departure>()
                                         : found->second.departures;
}

}  // namespace rosemarywinch
