#ifndef ROSEMARYWINCH_DECISIONS_MESH_ENTRY_CHECK_H_
#define ROSEMARYWINCH_DECISIONS_MESH_ENTRY_CHECK_H_

#include <optional>
#include <string>
#include <variant>

#include "rosemarywinch/core/time.h"
#include "rosemarywinch/decisions/mesh/mesh_config.h"
#include "rosemarywinch/schema/errors.h"

namespace rosemarywinch {

/// What a node knows when a request arrives.
struct EntryContext {
  /// Null before the first configuration.
  const MeshConfig* config = nullptr;
  /// End of the lease under which keys may be accepted.
  TimePoint lease_end;
  /// When control last said that the configuration is current.
  TimePoint confirmed;
};

/// What counts of a request for letting it in.
struct EntryRequest {
  std::string host;
  std::string path;
  std::optional<std::string> key;
};

/// The request may run on this route, for this account if any.
struct Admitted {
  const MeshRoute* route = nullptr;
  const MeshAccount* account = nullptr;
  uint32_t priority = 0;
};

/// The request is refused and will never run.
struct Rejected {
  ErrorId reason = ErrorId::kNone;
};

using EntryDecision = std::variant<Admitted, Rejected>;

/// Decides by route and key whether a request may run. A node whose knowledge
/// may be old says so (kCutOff) instead of denying what a newer configuration
/// may allow.
EntryDecision CheckEntry(TimePoint now,
                         const EntryContext& context,
                         const EntryRequest& request);

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_DECISIONS_MESH_ENTRY_CHECK_H_
