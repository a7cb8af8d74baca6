#ifndef ROSEMARYWINCH_PROGRAMS_BACKEND_DISPATCHER_H_
#define ROSEMARYWINCH_PROGRAMS_BACKEND_DISPATCHER_H_

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "rosemarywinch/core/sharded.h"
#include "rosemarywinch/decisions/traffic/admission_queue.h"
#include "rosemarywinch/decisions/traffic/idempotency_store.h"
#include "rosemarywinch/decisions/traffic/request_context.h"
#include "rosemarywinch/interfaces/clock.h"
#include "rosemarywinch/interfaces/http.h"
#include "rosemarywinch/interfaces/random.h"
#include "rosemarywinch/programs/hop.h"
#include "rosemarywinch/schema/control.h"
#include "rosemarywinch/schema/settings.h"

namespace rosemarywinch {

/// The way into the local backend server: admission, at-most-once records,
/// contexts for nested calls, and the call itself. Thread-safe.
class BackendDispatcher {
 public:
  BackendDispatcher(std::string node,
                    const NodeSettings& settings,
                    Clock& clock,
                    Random& random,
                    HttpChannel& channel);

  /// Runs a request on the local backend server, or says why not.
  CallReport Run(const HopEnvelope& envelope, HttpRequest request);

  /// Takes over what the backend server says of itself. Returns whether its
  /// service, address or state changed.
  bool Announce(const Announcement& announcement);

  /// Returns the backend server as other nodes should see it; the service is
  /// empty when there is none.
  Announcement Backend();

  /// Issues an id for a request that runs at most once here. Returns nothing
  /// when there is no backend server of the service.
  std::optional<std::string> IssueId(const std::string& service,
                                     const std::string& account);

  /// Makes sure that the id never runs here, unless it has begun already.
  bool Fence(const std::string& id);

  /// Tells whether it is certain that nothing has run here under the id.
  bool IsFresh(const std::string& id);

  /// Tells whether the attempt is in progress here.
  bool IsRunning(const std::string& attempt);

  /// Refuses new requests from now on.
  void StartDraining() { m_draining = true; }

  RequestContexts& contexts() { return m_contexts; }
  uint32_t InFlight();
  uint32_t Limit();
  size_t Waiting();

 private:
  struct Waiter {
    std::condition_variable decided;
    std::optional<Admission> admission;
  };
  struct BackendRecord {
    Announcement last;
    TimePoint received_at;
  };

  CallReport Refuse(const HopEnvelope& envelope,
                    Error error,
                    Duration retry_after = {}) const;
  CallReport RunAtMostOnce(const HopEnvelope& envelope,
                           HttpRequest request,
                           TimePoint deadline);
  CallReport RunIfReady(const HopEnvelope& envelope,
                        HttpRequest request,
                        TimePoint deadline);
  CallReport RunAdmitted(const HopEnvelope& envelope,
                         HttpRequest request,
                         TimePoint deadline);
  CallReport CallBackend(const HopEnvelope& envelope,
                         HttpRequest request,
                         TimePoint deadline,
                         CallSample& sample);
  std::optional<Error> CheckBackend(const HopEnvelope& envelope);
  Admission Admit(const HopEnvelope& envelope, TimePoint deadline);
  void NotifyWaiters(const std::vector<Admission>& admissions);
  void FinishCall(const CallSample& sample);

  const std::string m_node;
  const NodeSettings m_settings;
  Clock& m_clock;
  Random& m_random;
  HttpChannel& m_channel;
  std::atomic<bool> m_draining = false;

  std::mutex m_backend_mutex;
  std::optional<BackendRecord> m_backend;

  std::mutex m_queue_mutex;
  AdmissionQueue m_queue;
  std::map<uint64_t, Waiter*> m_waiters;
  uint64_t m_next_ticket = 0;

  IdempotencyStore m_idempotency_store;
  RequestContexts m_contexts;
  Sharded<std::set<std::string>> m_attempts;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_PROGRAMS_BACKEND_DISPATCHER_H_
