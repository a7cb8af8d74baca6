#ifndef ROSEMARYWINCH_PROGRAMS_MESH_OUTBOUND_PROXY_H_
#define ROSEMARYWINCH_PROGRAMS_MESH_OUTBOUND_PROXY_H_

#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "rosemarywinch/adapters/async/cancellation_token.h"
#include "rosemarywinch/adapters/metrics.h"
#include "rosemarywinch/decisions/mesh/stop_schedule.h"
#include "rosemarywinch/interfaces/clock.h"
#include "rosemarywinch/interfaces/hop_channel.h"
#include "rosemarywinch/interfaces/mesh_protocol.h"
#include "rosemarywinch/programs/mesh/mesh_view.h"

namespace rosemarywinch {

/// Serves requests from the callers on this host: decides whether a request may
/// run, sends it to a node of the service, and retries it where that is safe.
/// Thread-safe.
class OutboundProxy {
 public:
  OutboundProxy(std::string local_service,
                MeshView& view,
                HopChannel& hops,
                MeshProtocol& protocol,
                Clock& clock,
                Metrics& metrics);

  asio::awaitable<HttpResponse> Handle(
      HttpRequest request,
      std::shared_ptr<CancellationToken> cancellation);

  /// Enters a phase of a planned stop. Thread-safe.
  void EnterPhase(const StopState& state);

 private:
  /// A request and the state of its attempts.
  struct RequestState {
    HopRequest hop;
    const MeshRoute* route = nullptr;
    std::string route_name;
    uint64_t config_version = 0;
    TimePoint arrived;
    TimePoint deadline;
    /// Number of attempts that may have reached a backend server.
    uint32_t reached_count = 0;
    /// Number of attempts that reached no backend server.
    uint32_t rejected_count = 0;
    std::set<std::string> excluded;
    HopResponse last;
  };

  StopState CurrentStop() const;
  asio::awaitable<HttpResponse> Admit(
      HttpRequest request,
      CallerRequest caller,
      std::shared_ptr<CancellationToken> cancellation);
  RequestState BeginRequest(TimePoint now,
                            const CallerRequest& caller,
                            const Admitted& admitted);
  asio::awaitable<std::optional<HttpResponse>> CheckAccount(
      RequestState& state,
      const Admitted& admitted);
  void FillHopRequest(RequestState& state, HttpRequest request) const;
  asio::awaitable<void> SendWithRetries(
      RequestState& state,
      std::shared_ptr<CancellationToken> cancellation);
  asio::awaitable<void> SendAttempt(
      RequestState& state,
      const Member& member,
      std::shared_ptr<CancellationToken> cancellation);
  void RecordPressure(const RequestState& state,
                      double pressure,
                      const std::vector<ServicePressure>& below);
  bool ShouldRetry(const RequestState& state) const;
  HttpResponse Finish(const RequestState& state);
  HttpResponse Refuse(const std::string& request_id,
                      Error error,
                      std::optional<Duration> retry_after);
  HttpResponse WriteFailure(const RequestState& state);

  const std::string m_local_service;
  MeshView& m_view;
  HopChannel& m_hops;
  MeshProtocol& m_protocol;
  Clock& m_clock;
  Metrics& m_metrics;
  mutable std::mutex m_stop_mutex;
  StopState m_stop;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_PROGRAMS_MESH_OUTBOUND_PROXY_H_
