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

/// Serves requests where they enter the fleet: from callers, and from the
/// local backend server on behalf of a request that it serves. Thread-safe.
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

  /// Serves a request of a caller.
  HttpResponse HandleCaller(const HttpRequest& request);

  /// Serves a call of the local backend server. Without a context it is
  /// treated like a request of a caller.
  HttpResponse HandleBackend(const HttpRequest& request);

  /// Refuses new requests of callers from now on. Calls of requests that are
  /// already being served go on.
  void StartDraining() { m_draining = true; }

 private:
  /// What is known of a request while it is being served.
  struct RequestState {
    HopEnvelope envelope;
    std::shared_ptr<const NodeConfig> config;
    std::optional<RouteMatch> match;
    EffectivePolicy policy;
    std::optional<std::string> bound;
    /// Path of the tree that set the limit which refused the request.
    std::string refusal_level;
    Duration retry_after;
    /// Id offered to a caller that came without one.
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
