#ifndef ROSEMARYWINCH_PROGRAMS_INGRESS_HANDLER_H_
#define ROSEMARYWINCH_PROGRAMS_INGRESS_HANDLER_H_

#include <atomic>
#include <memory>
#include <optional>
#include <string>

#include "rosemarywinch/adapters/metrics.h"
#include "rosemarywinch/decisions/fleet/policy.h"
#include "rosemarywinch/decisions/traffic/request_context.h"
#include "rosemarywinch/decisions/traffic/route_table.h"
#include "rosemarywinch/interfaces/clock.h"
#include "rosemarywinch/interfaces/random.h"
#include "rosemarywinch/interfaces/secret_hasher.h"
#include "rosemarywinch/programs/backend_dispatcher.h"
#include "rosemarywinch/programs/forwarder.h"
#include "rosemarywinch/programs/node_state.h"
#include "rosemarywinch/programs/request_journal.h"

namespace rosemarywinch {

/// Handles requests that enter the fleet through this node: those of callers,
/// and nested calls that the local backend server makes while it serves a
/// request. Thread-safe.
class IngressHandler {
 public:
  struct Dependencies {
    NodeState& state;
    BackendDispatcher& dispatcher;
    Forwarder& forwarder;
    SecretHasher& hasher;
    Clock& clock;
    Random& random;
    Metrics& metrics;
    RequestJournal& journal;
  };

  explicit IngressHandler(Dependencies dependencies)
      : m_dependencies(dependencies) {}

  /// Handles a request of a caller.
  HttpResponse HandleCaller(const HttpRequest& request);

  /// Handles a call of the local backend server. A call without a request
  /// context is treated like a request of a caller.
  HttpResponse HandleBackend(const HttpRequest& request);

  /// Rejects new requests of callers from now on. Nested calls of requests in
  /// progress are still served.
  void StartDraining() { m_draining = true; }

 private:
  /// State of one request in progress.
  struct RequestState {
    HopEnvelope envelope;
    std::shared_ptr<const NodeConfig> config;
    std::optional<RouteMatch> match;
    EffectivePolicy policy;
    std::optional<std::string> bound;
    /// Path in the settings tree of the limit that rejected the request.
    std::string refusal_level;
    Duration retry_after;
    /// Id issued to a caller whose request carried none.
    std::string issued_id;
    TimePoint start;
  };

  HttpResponse Serve(RequestState& state,
                     const HttpRequest& request,
                     const std::optional<NestedCall>& nested);
  CallOutcome RejectionOutcome(const RequestState& state,
                               const HttpRequest& request,
                               const Error& error);
  Result<Done> Prepare(RequestState& state,
                       const HttpRequest& request,
                       const std::optional<NestedCall>& nested);
  Result<Done> FindRoute(RequestState& state, const HttpRequest& request);
  Result<Done> Authenticate(RequestState& state, const HttpRequest& request);
  Result<Done> CheckBody(RequestState& state, const HttpRequest& request) const;
  Result<Done> SetDeadline(RequestState& state,
                           const HttpRequest& request) const;
  Result<Done> BindRequestId(RequestState& state, const HttpRequest& request);
  Result<Done> TakeAllowance(RequestState& state);
  void Inherit(RequestState& state, const NestedCall& nested) const;
  void Record(const RequestState& state, const CallReport& report);
  HttpResponse MakeResponse(const RequestState& state, CallReport report) const;

  Dependencies m_dependencies;
  std::atomic<bool> m_draining = false;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_PROGRAMS_INGRESS_HANDLER_H_
