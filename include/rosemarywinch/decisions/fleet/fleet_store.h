#ifndef ROSEMARYWINCH_DECISIONS_FLEET_FLEET_STORE_H_
#define ROSEMARYWINCH_DECISIONS_FLEET_FLEET_STORE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "rosemarywinch/core/error.h"
#include "rosemarywinch/schema/fleet.h"

namespace rosemarywinch {

/// Maximum number of valid keys of a client account, enough for a key rotation.
inline constexpr size_t kMaxKeysPerAccount = 2;
/// Number of commands kept for `tree history` and for nodes that lag behind.
inline constexpr size_t kMaxHistory = 1024;
/// Number of fingerprints kept of accepted configurations, so that a resent
/// configuration is acknowledged again instead of rejected as a conflict.
inline constexpr size_t kMaxAcceptedConfigurations = 8192;
/// Number of results kept to answer resent commands.
inline constexpr size_t kMaxOperations = 4096;

/// Applies a committed command to `state`. Deterministic: every replica and
/// node that applies the same commands in the same order holds the same state.
/// A resent command, recognised by its operation id, returns its first result,
/// and kOperationReused if it differs from the first. PutConfiguration is
/// recognised by version and fingerprint instead; RecordDeparture may be
/// applied any number of times and changes no version. StartEvacuation and
/// EndEvacuation may come without an operation id; a repeated one succeeds and
/// changes nothing. Complexity: linear in
/// the tree for ChangeTree, in the keys for GiveKey.
CommandResult ApplyCommand(FleetState& state, const FleetCommand& command);

/// Applies a command that control has accepted as version `record.version`.
void ApplyAccepted(FleetState& state, const HistoryRecord& record);

/// Returns the commands after `version`, or nothing if the history no longer
/// contains all of them.
std::optional<std::vector<HistoryRecord>> CommandsAfter(const FleetState& state,
                                                        uint64_t version);

/// Returns a one-line description of the command. It also serves as the stored
/// fingerprint by which a resent command is recognised.
std::string Describe(const FleetCommand& command);

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_DECISIONS_FLEET_FLEET_STORE_H_
