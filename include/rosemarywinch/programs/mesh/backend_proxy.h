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
#include "rosemarywinch/interfaces/clock.h"
#include "rosemarywinch/interfaces/mesh_protocol.h"

namespace rosemarywinch {

/// The only way to the backend server beside this node: nothing passes once it
/// is leaving, and no more at a time than it has slots. Thread-safe.
class BackendProxy {
 public:
  BackendProxy(const std::string& address,
               Duration silence_timeout,
               uint32_t queue_length,
               MeshProtocol& protocol,
               Clock& clock);

  /// Takes over what the backend server says of itself.
  ReportOutcome OnReport(const ReportCall& call);
  void OnWithdraw(const WithdrawCall& call);

  /// Refuses what comes from now on, because this process stops.
  void BeginStop();

  /// Returns the backend server as other nodes should see it.
  std::optional<LocalBackend> Current() const;

  /// Runs a request when its turn comes.
  asio::awaitable<HopResponse> Run(
      HopRequest request,
      std::shared_ptr<CancellationToken> cancellation);

  size_t open_requests() const;

  /// Sets who knows the pressure on what the backend server calls.
  void SetPressureSource(std::function<std::vector<ServicePressure>()> source) {
    m_pressure_source = std::move(source);
  }

  /// Sets what is called when the backend server is sent a request.
  void SetRunCallback(std::function<void()> on_run) {
    m_on_run = std::move(on_run);
  }

  /// Sets what is called when the state of the backend server changes.
  void SetChangeCallback(std::function<void()> on_change) {
    m_on_change = std::move(on_change);
  }

 private:
  using Waiter = OneShot<Verdict>;

  asio::awaitable<std::optional<ErrorId>> WaitForAdmission(
      const HopRequest& request,
      TimePoint deadline,
      std::shared_ptr<CancellationToken> cancellation);
  asio::awaitable<HopResponse> SendToBackend(
      const HopRequest& request,
      TimePoint deadline,
      std::shared_ptr<CancellationToken> cancellation);
  HopResponse ReadResult(const HopRequest& request, BackendResult result);
  std::optional<LocalBackend> FindServing(const std::string& service) const;
  void FinishRequest(const CallSample& sample);
  void NotifyWaiters(const std::vector<Admission>& admissions);
  void AddLoad(HopResponse& response) const;
  void ReportStateChange(const char* cause);

  MeshProtocol& m_protocol;
  Clock& m_clock;
  BackendChannel m_channel;
  std::function<void()> m_on_change;
  std::function<void()> m_on_run;
  std::function<std::vector<ServicePressure>()> m_pressure_source;
  mutable std::mutex m_mutex;
  BackendPresence m_presence;
  std::string m_reported_state;
  bool m_stopping = false;
  AdmissionQueue m_queue;
  uint64_t m_next_ticket = 0;
  std::map<uint64_t, std::shared_ptr<Waiter>> m_waiters;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_PROGRAMS_MESH_BACKEND_PROXY_H_
