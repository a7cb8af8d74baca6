#ifndef ROSEMARYWINCH_DECISIONS_MESH_CONFIG_CHECK_H_
#define ROSEMARYWINCH_DECISIONS_MESH_CONFIG_CHECK_H_

#include "rosemarywinch/schema/config_check.h"
#include "rosemarywinch/schema/mesh.h"

namespace rosemarywinch {

/// Checks a configuration before it is sent to control: all errors for which
/// control would refuse it, entries that can never match a request, limits that
/// contradict each other, and what differs from the version in force.
/// `in_force` may be null if no version is in force or it is not known. Keys of
/// client accounts are counted, never shown.
ConfigReport CheckConfiguration(const Configuration& candidate,
                                const Configuration* in_force);

/// Returns whether control would refuse the configuration.
bool HasErrors(const ConfigReport& report);

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_DECISIONS_MESH_CONFIG_CHECK_H_
