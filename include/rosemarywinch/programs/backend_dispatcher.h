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
#include "rosemarywinch/schema/hop.h"
#include "rosemarywinch/schema/members.h"
#include "rosemarywinch/schema/settings.h"

namespace rosemarywinch {

/// Dispatches requests to the local backend server: admission control,
/// at-most-once execution, contexts for nested calls, and the HTTP call itself.
/// Thread-safe.
class BackendDispatcher {
 public:
  BackendDispatcher(std::string node,
                    const NodeSettings& settings,
                    Clock& clock,
                    Random& random,
                    HttpChannel& channel);

  /// Executes a request on the local backend server. The report holds the
  /// reason if it was not executed.
  CallReport Run(const HopEnvelope& envelope, HttpRequest request);

  /// Stores the backend server's announcement of its own state. Returns whether
  /// its service, address or state changed.
  bool Announce(const Announcement& announcement);

  /// Returns the last announcement, with state kSilent once it is older than
  /// `announce_timeout`. `service` is empty if there was none.
  Announcement Backend();

  /// Issues an id for an at-most-once request. Returns nullopt while draining
  /// or if the local backend server does not serve `service`.
  std::optional<std::string> IssueId(const std::string& service,
                                     const std::string& account);

  /// Prevents any later execution under the id on this node. Returns false if
  /// one has begun already or the id is not valid here.
  bool Fence(const std::string& id);

  /// Returns true only if it is certain that nothing has run under the id on
  /// this node.
  bool IsFresh(const std::string& id);

  /// Returns whether the attempt is in progress on this node.
  bool IsRunning(const std::string& attempt);

  /// Rejects new requests from now on. Recorded responses of at-most-once
  /// requests are still returned.
  void StartDraining() { m_draining = true; }

  /// While the data centre of this node is evacuated, rejects requests that
  /// have not started, waiting ones included.
  void SetEvacuated(bool evacuated);

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
  std::atomic<bool> m_evacuated = false;

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
