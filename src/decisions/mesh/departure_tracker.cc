#include "rosemarywinch/decisions/mesh/departure_tracker.h"

#include "rosemarywinch/decisions/fleet/departures.h"

namespace rosemarywinch {

void DepartureTracker::Note(const Departure& departure) {
  if (!IsStored(departure)) {
    AddDeparture(m_unstored, departure);
  }
}

void DepartureTracker::OnStored(const std::vector<Departure>& stored) {
  m_restored = true;
  for (const Departure& departure : stored) {
    AddDeparture(m_stored, departure);
  }
  std::erase_if(m_unstored, [&](const Departure& departure) {
    return IsStored(departure);
  });
}

bool DepartureTracker::HasLeft(const Departure& departure) const {
  return rosemarywinch::HasLeft(m_unstored, departure) || IsStored(departure);
}

bool DepartureTracker::IsStored(const Departure& departure) const {
  return rosemarywinch::HasLeft(m_stored, departure);
}

}  // namespace rosemarywinch
