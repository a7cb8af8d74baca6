#include "rosemarywinch/decisions/fleet/evacuations.h"

#include <algorithm>
#include <vector>

namespace rosemarywinch {

namespace {

bool Contains(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

Result<Done> CheckKnown(const std::vector<std::string>& known,
                        const std::string& data_centre) {
  if (Contains(known, data_centre)) {
    return Done{};
  }
  std::string names;
  for (const std::string& name : known) {
    names += (names.empty() ? "" : ", ") + name;
  }
  return Fail(ErrorId::kUnknownDataCentre,
              "\"" + data_centre + "\", known: " + names);
}

}  // namespace

bool IsEvacuated(const FleetState& state, const std::string& data_centre) {
  return Contains(state.evacuated, data_centre);
}

Result<Done> ApplyStart(FleetState& state, const StartEvacuation& change) {
  const std::string& data_centre = change.data_centre;
  if (IsEvacuated(state, data_centre)) {
    return Done{};
  }
  BOOST_LEAF_CHECK(CheckKnown(change.known, data_centre));
  const bool other_in_use = std::any_of(
      change.known.begin(), change.known.end(), [&](const std::string& name) {
        return name != data_centre && !IsEvacuated(state, name);
      });
  if (!other_in_use) {
    return Fail(ErrorId::kLastDataCentre, data_centre);
  }
  state.evacuated.push_back(data_centre);
  return Done{};
}

Result<Done> ApplyEnd(FleetState& state, const EndEvacuation& change) {
  if (std::erase(state.evacuated, change.data_centre) > 0) {
    return Done{};
  }
  return CheckKnown(change.known, change.data_centre);
}

}  // namespace rosemarywinch
