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

/// Takes a request to a node beside a backend server of its service, and
/// retries where that is safe and allowed. Thread-safe.
class Forwarder {
 public:
  Forwarder(std::string node,
            NodeState& state,
            BackendDispatcher& dispatcher,
            Clock& clock,
            Random& random,
            HttpChannel& channel);

  /// Forwards a request. `bound` names the only node that may run it.
  CallReport Forward(HopEnvelope envelope,
                     const HttpRequest& request,
                     const std::optional<std::string>& bound);

  /// Asks a node of the service for an id of a request that runs at most once.
  /// Errors: kNoBackend.
  Result<std::string> ObtainId(const std::string& service,
                               const std::string& account);

  /// Tells whether it is certain that nothing has run under the id, by asking
  /// the node that alone may run it.
  bool IsFresh(const std::string& id);

  /// Paths that nodes serve to each other besides requests.
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
