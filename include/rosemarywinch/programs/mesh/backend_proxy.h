#ifndef ROSEMARYWINCH_PROGRAMS_MESH_BACKEND_PROXY_H_
#define ROSEMARYWINCH_PROGRAMS_MESH_BACKEND_PROXY_H_

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "rosemarywinch/adapters/async/backend_channel.h"
#include "rosemarywinch/adapters/async/one_shot.h"
#include "rosemarywinch/decisions/mesh/backend_presence.h"
#include "rosemarywinch/decisions/traffic/admission_queue.h"
#include "rosemarywinch/decisions/traffic/entry_class.h"
#include "rosemarywinch/decisions/traffic/entry_usage_meter.h"
#include "rosemarywinch/decisions/traffic/load_meter.h"
#include "rosemarywinch/interfaces/clock.h"
#include "rosemarywinch/interfaces/mesh_protocol.h"

namespace rosemarywinch {

/// Tells a call that its result is no longer wanted.
struct CallSignals {
  /// Nobody waits for the response.
  std::shared_ptr<CancellationToken> cancelled =
      std::make_shared<CancellationToken>();
  /// The call must not be started any more. If it was, its response is wanted.
  std::shared_ptr<CancellationToken> start_cancelled =
      std::make_shared<CancellationToken>();
};

/// Forwards requests to the local backend server, which is reached in no other
/// way. Forwards none once the backend server is leaving, and never more at a
/// time than LimitWithHeadroom() allows for its slots, nor faster than a cold
/// backend server bears (ColdStartLimit). Thread-safe.
class BackendProxy {
 public:
  /// `service` is that of the backend server; reports of another service are
  /// invalid. Empty: any service.
  BackendProxy(const std::string& address,
               Duration silence_timeout,
               uint32_t queue_length,
               MeshProtocol& protocol,
               Clock& clock,
               std::string service = "");

  /// Applies a status report of the backend server.
  ReportOutcome OnReport(const ReportCall& call);

  /// Applies the notice that a backend server shuts down. Returns the departure
  /// to be stored before the notice is acknowledged; nothing if the notice
  /// names no incarnation.
  std::optional<Departure> OnWithdraw(const WithdrawCall& call);

  /// Waits until control has stored a departure, for `limit` at most. Returns
  /// whether it has.
  asio::awaitable<bool> WaitUntilStored(Departure departure, Duration limit);

  /// Applies the departures that control has stored for this node.
  void OnDeparturesStored(const std::vector<Departure>& stored);

  /// Departures that control has to store.
  std::vector<Departure> UnstoredDepartures() const;

  /// Returns whether the departures that control has stored were received; no
  /// backend server is used until then.
  bool DeparturesRestored() const;

  /// Refuses all requests not yet sent to the backend server, queued ones
  /// included, and reports it as leaving, because this process is stopping.
  void BeginStop();

  /// While the data centre of this node is evacuated, refuses all requests not
  /// yet sent to the backend server, queued ones included.
  void SetEvacuated(bool evacuated);

  /// Returns the backend server's state as announced to other nodes.
  std::optional<LocalBackend> Current() const;

  /// Queues a request and sends it to the backend server once admitted.
  asio::awaitable<HopResponse> Run(HopRequest request, CallSignals signals);

  size_t open_requests() const;

  /// Returns the load of the backend server since the last call; nothing
  /// without a backend server or soon after the last one.
  std::optional<BackendLoad> TakeLoad();

  /// Returns the number of requests refused because of an evacuation so far.
  uint64_t evacuation_refusals() const;

  /// Sets the source of the pressure on the services that the backend server
  /// calls.
  void SetPressureSource(std::function<std::vector<ServicePressure>()> source) {
    m_pressure_source = std::move(source);
  }

  /// Sets the callback for each admitted request and its deadline, called just
  /// before it is sent to the backend server.
  void SetRunCallback(
      std::function<void(const EntryClass& entry, TimePoint deadline)> on_run) {
    m_on_run = std::move(on_run);
  }

  /// Sets the callback for the end of each request that was sent.
  void SetEndCallback(std::function<void(const EntryClass& entry)> on_end) {
    m_on_end = std::move(on_end);
  }

  /// Returns the slots used by requests of each entry service since the last
  /// call.
  std::vector<EntryUsage> TakeUsage();

  /// Sets the source of the settings of the backend server's service; without
  /// it, or if they set no `cold_rate`, nothing limits a cold backend server.
  void SetServiceSource(std::function<ServiceSpec()> source) {
    m_service_source = std::move(source);
  }

  /// Number of calls refused because the backend server is cold.
  uint64_t ColdRefusals() const;

  /// Sets the callback for changes of the backend server's state.
  void SetChangeCallback(std::function<void()> on_change) {
    m_on_change = std::move(on_change);
  }

 private:
  using Waiter = OneShot<Verdict>;
  struct StoreWaiter {
    Departure departure;
    std::shared_ptr<OneShot<bool>> stored;
  };

  asio::awaitable<std::optional<ErrorId>> WaitForAdmission(
      const HopRequest& request,
      TimePoint deadline,
      const CallSignals& signals);
  asio::awaitable<HopResponse> SendToBackend(HopRequest& request,
                                             TimePoint deadline,
                                             const CallSignals& signals);
  HopResponse ReadResult(const HopRequest& request, BackendResult result);
  std::optional<LocalBackend> FindServing(const std::string& service) const;
  void RefuseWaiting(ErrorId reason);
  void BeginRequest(const HopRequest& request,
                    TimePoint now,
                    TimePoint deadline);
  void FinishRequest(const HopRequest& request, const CallSample& sample);
  void NotifyWaiters(const std::vector<Admission>& admissions);
  void MeasureEnd(const HopResponse& response);
  void AddLoad(HopResponse& response) const;
  void MarkEvacuated(HopResponse& response);
  double QueuePressure() const;
  void ReportStateChange(const char* cause);
  void ApplyPresenceChange(const std::optional<LocalBackend>& before);
  void UpdateColdStart();
  void UpdateColdLimit(TimePoint now);
  double ColdRateOf(const LocalBackend& backend) const;
  void StartTimer();
  asio::awaitable<void> StartWaitingCalls(Duration first_wait);

  MeshProtocol& m_protocol;
  Clock& m_clock;
  BackendChannel m_channel;
  std::function<void()> m_on_change;
  std::function<void(const EntryClass&, TimePoint)> m_on_run;
  std::function<void(const EntryClass&)> m_on_end = [](const EntryClass&) {};
  std::function<std::vector<ServicePressure>()> m_pressure_source;
  std::function<ServiceSpec()> m_service_source = [] { return ServiceSpec(); };
  mutable std::mutex m_mutex;
  BackendPresence m_presence;
  std::string m_reported_state;
  bool m_stopping = false;
  bool m_evacuated = false;
  uint64_t m_evacuation_refusals = 0;
  AdmissionQueue m_queue;
  LoadMeter m_load;
  EntryUsageMeter m_usage;
  uint64_t m_next_ticket = 0;
  std::map<uint64_t, std::shared_ptr<Waiter>> m_waiters;
  /// That of the last call; the timer that starts waiting calls runs on it.
  std::optional<asio::any_io_executor> m_executor;
  bool m_timer_runs = false;
  std::vector<StoreWaiter> m_store_waiters;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_PROGRAMS_MESH_BACKEND_PROXY_H_
