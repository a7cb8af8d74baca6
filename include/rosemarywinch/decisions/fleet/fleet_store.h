#ifndef ROSEMARYWINCH_DECISIONS_FLEET_FLEET_STORE_H_
#define ROSEMARYWINCH_DECISIONS_FLEET_FLEET_STORE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "rosemarywinch/core/error.h"
#include "rosemarywinch/schema/fleet.h"

namespace rosemarywinch {

/// Live keys that one client account may hold, enough for a rotation.
inline constexpr size_t kMaxKeysPerAccount = 2;
/// Commands that are kept for `tree history` and for nodes that lag.
inline constexpr size_t kMaxHistory = 1024;
/// Fingerprints of configurations that are kept, so that one sent again gets
/// the answer that it got before.
inline constexpr size_t kMaxAcceptedConfigurations = 8192;
/// Results that are kept for commands sent again.
inline constexpr size_t kMaxOperations = 4096;

/// Applies a committed command to `state`. Deterministic: every replica and
/// node that applies the same commands in order holds the same state.
/// A command whose operation id was seen returns its first result.
/// Complexity: linear in the tree for ChangeTree, in the keys for GiveKey.
CommandResult ApplyCommand(FleetState& state, const FleetCommand& command);

/// Applies a command that control has accepted at `record.version`.
void ApplyAccepted(FleetState& state, const HistoryRecord& record);

/// Returns the commands after `version`, or nothing when they are no longer
/// all kept.
std::optional<std::vector<HistoryRecord>> CommandsAfter(const FleetState& state,
                                                        uint64_t version);

/// Returns one line that says what the command does.
std::string Describe(const FleetCommand& command);

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_DECISIONS_FLEET_FLEET_STORE_H_
