#ifndef ROSEMARYWINCH_PROGRAMS_MESH_BACKEND_DOOR_H_
#define ROSEMARYWINCH_PROGRAMS_MESH_BACKEND_DOOR_H_

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
class BackendDoor {
 public:
  BackendDoor(const std::string& address,
              Duration silence,
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
  void OnAskPressure(std::function<std::vector<ServicePressure>()> below) {
    m_pressure_below = std::move(below);
  }

  /// Sets what is called when the backend server is sent a request.
  void OnRun(std::function<void()> run) { m_run = std::move(run); }

  /// Sets what is called when the state of the backend server changes.
  void OnChange(std::function<void()> changed) {
    m_changed = std::move(changed);
  }

 private:
  using Turn = OneShot<Verdict>;

  asio::awaitable<std::optional<ErrorId>> WaitForTurn(
      const HopRequest& request,
      TimePoint deadline,
      std::shared_ptr<CancellationToken> cancellation);
  asio::awaitable<HopResponse> SendToBackend(
      const HopRequest& request,
      TimePoint deadline,
      std::shared_ptr<CancellationToken> cancellation);
  HopResponse ReadResult(const HopRequest& request, BackendResult result);
  std::optional<LocalBackend> Serving(const std::string& service) const;
  void FinishTurn(const CallSample& sample);
  void Tell(const std::vector<Admission>& admissions);
  void AddLoad(HopResponse& response) const;
  void NoteState(const char* cause);

  MeshProtocol& m_protocol;
  Clock& m_clock;
  BackendChannel m_channel;
  std::function<void()> m_changed;
  std::function<void()> m_run;
  std::function<std::vector<ServicePressure>()> m_pressure_below;
  mutable std::mutex m_mutex;
  BackendPresence m_presence;
  std::string m_noted;
  bool m_stopping = false;
  AdmissionQueue m_queue;
  uint64_t m_next_ticket = 0;
  std::map<uint64_t, std::shared_ptr<Turn>> m_turns;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_PROGRAMS_MESH_BACKEND_DOOR_H_
