#ifndef ROSEMARYWINCH_PROGRAMS_FORWARDER_H_
#define ROSEMARYWINCH_PROGRAMS_FORWARDER_H_

#include <mutex>
#include <optional>
#include <set>
#include <string>

#include "rosemarywinch/decisions/traffic/retry_budget.h"
#include "rosemarywinch/interfaces/clock.h"
#include "rosemarywinch/interfaces/http.h"
#include "rosemarywinch/interfaces/random.h"
#include "rosemarywinch/programs/backend_dispatcher.h"
#include "rosemarywinch/programs/hop.h"
#include "rosemarywinch/programs/node_state.h"

namespace rosemarywinch {

/// Forwards requests to a node whose backend server serves the requested
/// service, and retries where that is safe and the retry allowance permits it.
/// Thread-safe.
class Forwarder {
 public:
  Forwarder(std::string node,
            NodeState& state,
            BackendDispatcher& dispatcher,
            Clock& clock,
            Random& random,
            HttpChannel& channel);

  /// Forwards a request. If `bound` is set, only that node may execute it.
  CallReport Forward(HopEnvelope envelope,
                     const HttpRequest& request,
                     const std::optional<std::string>& bound);

  /// Obtains an id for an at-most-once request from a node of the service.
  /// Errors: kNoBackend.
  Result<std::string> ObtainId(const std::string& service,
                               const std::string& account);

  /// Returns whether it is certain that nothing has run under the id. Asks the
  /// node that the id is bound to, which alone may execute the request.
  bool IsFresh(const std::string& id);

  /// Paths of the internal endpoints that nodes call on each other.
  static inline const std::string kOfferPath = "/rosemarywinch/offer";
  static inline const std::string kFencePath = "/rosemarywinch/fence";
  static inline const std::string kFreshPath = "/rosemarywinch/fresh";
  static inline const std::string kAttemptPath = "/rosemarywinch/attempt";

 private:
  CallReport Attempt(const HopEnvelope& envelope,
                     const HttpRequest& request,
                     const Member& member);
  CallReport SendHop(const HopEnvelope& envelope,
                     const HttpRequest& request,
                     const Member& member);
  CallReport ResolveLostResponse(const HopEnvelope& envelope,
                                 const Member& member,
                                 Error error);
  bool MayRetry(const HopEnvelope& envelope, const CallOutcome& outcome) const;
  bool TakeRetry();
  std::optional<std::string> QueryPeer(const Member& member,
                                       const std::string& path,
                                       const std::string& argument);

  const std::string m_node;
  NodeState& m_state;
  BackendDispatcher& m_dispatcher;
  Clock& m_clock;
  Random& m_random;
  HttpChannel& m_channel;
  std::mutex m_budget_mutex;
  RetryBudget m_budget;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_PROGRAMS_FORWARDER_H_
