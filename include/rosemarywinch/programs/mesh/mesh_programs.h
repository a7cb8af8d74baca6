#ifndef ROSEMARYWINCH_PROGRAMS_MESH_MESH_PROGRAMS_H_
#define ROSEMARYWINCH_PROGRAMS_MESH_MESH_PROGRAMS_H_

#include <string>

#include "rosemarywinch/interfaces/mesh_protocol.h"
#include "rosemarywinch/programs/servers.h"
#include "rosemarywinch/schema/mesh_settings.h"
#include "rosemarywinch/schema/settings.h"

namespace rosemarywinch {

/// Where a process of the mesh reloads its settings from.
struct SettingsSource {
  /// Path of the settings file; empty if there is none.
  std::string file;
};

/// Runs a node until SIGTERM. Errors: kPortInUse, kBadValue.
Result<ExitCode> RunMeshNode(const CommonSettings& common,
                             const MeshNodeSettings& settings,
                             const SettingsSource& source,
                             MeshProtocol& protocol);

/// Runs a control replica until SIGTERM. Errors: kPortInUse, kBadValue and
/// those of its storage.
Result<ExitCode> RunMeshControl(const CommonSettings& common,
                                const MeshControlSettings& settings,
                                const SettingsSource& source,
                                MeshProtocol& protocol);

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_PROGRAMS_MESH_MESH_PROGRAMS_H_
