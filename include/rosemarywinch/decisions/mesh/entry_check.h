#ifndef ROSEMARYWINCH_DECISIONS_MESH_ENTRY_CHECK_H_
#define ROSEMARYWINCH_DECISIONS_MESH_ENTRY_CHECK_H_

#include <optional>
#include <string>
#include <variant>

#include "rosemarywinch/core/time.h"
#include "rosemarywinch/decisions/mesh/mesh_config.h"
#include "rosemarywinch/schema/errors.h"

namespace rosemarywinch {

/// Time after which the caller of a refused request may return, where nothing
/// is known about the wait.
inline constexpr Duration kDefaultRetryAfter{300};

/// State of the node's configuration when a request arrives.
struct EntryContext {
  /// Null before the first configuration.
  const MeshConfig* config = nullptr;
  /// End of the lease under which keys may be accepted.
  TimePoint lease_end;
  /// Time at which control last confirmed that the configuration is current.
  TimePoint confirmed;
};

/// The properties of a request that decide on its admission.
struct EntryRequest {
  std::string host;
  std::string path;
  std::optional<std::string> key;
};

/// The request is admitted on this route, for this account if any.
struct Admitted {
  const MeshRoute* route = nullptr;
  const MeshAccount* account = nullptr;
  uint32_t priority = 0;
};

/// The request is rejected and will not be executed.
struct Rejected {
  ErrorId reason = ErrorId::kNone;
};

using EntryDecision = std::variant<Admitted, Rejected>;

/// Decides by route and key whether a request is admitted. A node whose
/// configuration may be outdated reports kCutOff instead of denying what a
/// newer configuration may allow.
EntryDecision CheckEntry(TimePoint now,
                         const EntryContext& context,
                         const EntryRequest& request);

/// Returns how long after a rejection the caller should return; `sample` is a
/// random number in [0, 1). A node that is cut off waits for a new leader, so a
/// quick return would only be rejected again; returns are spread so that they
/// don't arrive together once control is back.
Duration RetryAfterRejection(ErrorId reason, double sample);

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_DECISIONS_MESH_ENTRY_CHECK_H_
