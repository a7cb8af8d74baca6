#ifndef ROSEMARYWINCH_DECISIONS_FLEET_EVACUATIONS_H_
#define ROSEMARYWINCH_DECISIONS_FLEET_EVACUATIONS_H_

#include <string>

#include "rosemarywinch/core/error.h"
#include "rosemarywinch/schema/fleet.h"

namespace rosemarywinch {

/// Returns whether the backend servers of the data centre are out of use.
bool IsEvacuated(const FleetState& state, const std::string& data_centre);

/// Takes a data centre out of use. Changes nothing if it already is.
/// Errors: kUnknownDataCentre; kLastDataCentre if no other known data centre is
/// in use.
Result<Done> ApplyStart(FleetState& state, const StartEvacuation& change);

/// Puts a data centre into use again. Changes nothing if it is not evacuated.
/// One that is evacuated can be put into use even if it is no longer known.
/// Errors: kUnknownDataCentre.
Result<Done> ApplyEnd(FleetState& state, const EndEvacuation& change);

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_DECISIONS_FLEET_EVACUATIONS_H_
