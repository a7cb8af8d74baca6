#ifndef ROSEMARYWINCH_DECISIONS_FLEET_POLICY_H_
#define ROSEMARYWINCH_DECISIONS_FLEET_POLICY_H_

#include <map>
#include <string>

#include "rosemarywinch/core/error.h"
#include "rosemarywinch/decisions/fleet/tree_path.h"
#include "rosemarywinch/schema/fleet.h"
#include "rosemarywinch/schema/policy.h"

namespace rosemarywinch {

/// Origin of a value that is set at no node of the tree.
inline constexpr std::string_view kDefaultOrigin = "default";

/// Effective settings at one node of the tree: every field has a value.
struct EffectivePolicy {
  PolicySettings settings;
  /// Path of the tree node that sets each field, or kDefaultOrigin, by field
  /// name.
  std::map<std::string, std::string> origins;

  /// Returns true if a request under this policy must not run more than once.
  bool RunsAtMostOnce() const;
};

/// Returns true if requests of the class are shed last and run at most once.
bool IsEssential(RequestClass request_class);

/// Returns the effective settings of `path` in `state`, inherited field by
/// field.
/// Complexity: at most six map lookups.
EffectivePolicy EffectiveAt(const FleetState& state, const TreePath& path);

/// Sets or clears one field of `settings`.
/// Errors: kUnknownSetting, kBadValue, kWrongLevel.
Result<Done> ApplyEdit(PolicySettings& settings,
                       TreeLevel level,
                       const Edit& edit);

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_DECISIONS_FLEET_POLICY_H_
