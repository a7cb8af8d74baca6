#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <memory>
#include <string>
#include <thread>
#include <utility>

#include "rosemarywinch/adapters/async/async_http_server.h"
#include "rosemarywinch/adapters/log.h"
#include "rosemarywinch/adapters/metrics.h"
#include "rosemarywinch/adapters/system.h"
#include "rosemarywinch/decisions/mesh/stop_schedule.h"
#include "rosemarywinch/programs/mesh/hop_client.h"
#include "rosemarywinch/programs/mesh/hop_server.h"
#include "rosemarywinch/programs/mesh/local_call_handler.h"
#include "rosemarywinch/programs/mesh/mesh_poller.h"
#include "rosemarywinch/programs/mesh/mesh_programs.h"
#include "rosemarywinch/programs/mesh/mesh_runtime.h"
#include "rosemarywinch/programs/mesh/outbound_proxy.h"
#include "rosemarywinch/programs/mesh/seed_watcher.h"

namespace rosemarywinch {

namespace {

constexpr int kOk = 200;
constexpr int kUnavailable = 503;
constexpr uint32_t kQueueLength = 400;
// Nothing in a node waits for a disk, so more threads than cores would only add
// switches between them.
constexpr unsigned kMaxIoThreads = 2;
// A backend server that misses this many consecutive reports counts as gone.
constexpr int64_t kMaxMissedReports = 4;
constexpr int64_t kMsPerSecond = 1000;
constexpr Duration kStopCheckInterval{50};
// Part of the memory of the process that large request bodies may use. The rest
// is for the program (15 MB) and small requests. At 260 MB, one body of the
// largest size (64 MB, held three times) fits.
constexpr uint64_t kBodyPercent = 75;
constexpr uint64_t kPercent = 100;

/// A node of the mesh; owns its components.
class MeshNode {
 public:
  MeshNode(const MeshNodeSettings& settings,
           const SettingsSource& source,
           MeshProtocol& protocol)
      : m_settings(settings),
        m_protocol(protocol),
        m_memory(BodyBytes(settings)),
        m_runtime(std::min(std::thread::hardware_concurrency(), kMaxIoThreads)),
        m_view(settings.data_centre, m_clock, m_random),
        m_backend_proxy(settings.backend_address,
                        settings.report_interval * kMaxMissedReports,
                        kQueueLength,
                        protocol,
                        m_clock,
                        settings.service),
        m_local_calls(protocol, m_backend_proxy),
        m_links(m_runtime.context(), {&m_traffic, &m_memory}),
        m_hop_client(settings.node_name,
                     settings.data_centre,
                     m_backend_proxy,
                     m_links,
                     m_clock),
        m_hop_server(m_runtime.context(),
                     settings.peer_address,
                     m_backend_proxy,
                     {&m_traffic, &m_memory}),
        m_outbound_proxy(settings.service,
                         m_view,
                         m_hop_client,
                         protocol,
                         m_clock,
                         m_metrics),
        m_poller(m_runtime.context(),
                 PollerOptions(settings),
                 m_view,
                 m_backend_proxy,
                 m_links,
                 m_clock,
                 m_metrics),
        m_seed_watcher(
            m_runtime.context(),
            source.file,
            settings.seeds,
            [this](const auto& seeds) { m_poller.SetSeeds(seeds); }) {
    m_view.SetTokenCallback([this] { m_poller.RequestTokens(); });
    m_backend_proxy.SetChangeCallback([this] { m_poller.RequestPoll(); });
    m_backend_proxy.SetRunCallback(
        [this](const EntryClass& entry, TimePoint deadline) {
          m_view.CountRun(entry, deadline);
        });
    m_backend_proxy.SetEndCallback(
        [this](const EntryClass& entry) { m_view.CountRunEnd(entry); });
    m_backend_proxy.SetServiceSource([this] {
      const auto config = m_view.CurrentConfigState().config;
      return config ? config->SettingsOf(m_settings.service) : ServiceSpec();
    });
    m_backend_proxy.SetPressureSource(
        [this] { return m_view.DependencyPressures(); });
  }

  Result<ExitCode> Run() {
    BOOST_LEAF_CHECK(StartServers());
    m_seed_watcher.Start();
    m_poller.Start();
    m_runtime.Run([this] {
      asio::co_spawn(
          m_runtime.context(), [this] { return ShutDownGracefully(); },
          asio::detached);
    });
    LogEvent(LogLevel::kInfo, "stopped",
             {{"cut_off", std::to_string(m_cut_off)}});
    return m_cut_off == 0 ? ExitCode::kSuccess : ExitCode::kRequestsCutOff;
  }

 private:
  static uint64_t BodyBytes(const MeshNodeSettings& settings) {
    constexpr uint64_t kBytesPerMegabyte = 1 << 20;
    return settings.memory_limit * kBytesPerMegabyte * kBodyPercent / kPercent;
  }

  static MeshPoller::Options PollerOptions(const MeshNodeSettings& settings) {
    return {settings.node_name, settings.data_centre, settings.peer_address,
            static_cast<uint16_t>(settings.control_peer_port),
            settings.poll_interval};
  }

  Result<Done> StartServers() {
    BOOST_LEAF_CHECK(m_hop_server.Start());
    m_caller_server =
        MakeServer([this](HttpRequest request,
                          std::shared_ptr<CancellationToken> cancellation) {
          return m_outbound_proxy.Handle(std::move(request),
                                         std::move(cancellation));
        });
    BOOST_LEAF_CHECK(m_caller_server->Start(m_settings.caller_address));
    m_local_server =
        MakeServer([this](const HttpRequest& request,
                          const std::shared_ptr<CancellationToken>&) {
          return m_local_calls.Handle(request);
        });
    BOOST_LEAF_CHECK(m_local_server->Start(m_settings.local_address));
    m_readiness_server = MakeServer(
        [this](HttpRequest request, const std::shared_ptr<CancellationToken>&) {
          return HandleReadiness(std::move(request));
        });
    BOOST_LEAF_CHECK(m_readiness_server->Start(m_settings.ready_address));
    if (!m_settings.metrics_address.empty()) {
      m_metrics_server =
          MakeServer([this](const HttpRequest&,
                            const std::shared_ptr<CancellationToken>&) {
            return HandleMetrics();
          });
      BOOST_LEAF_CHECK(m_metrics_server->Start(m_settings.metrics_address));
    }
    return Done{};
  }

  std::shared_ptr<AsyncHttpServer> MakeServer(AsyncHandler handler) {
    return std::make_shared<AsyncHttpServer>(m_runtime.context(),
                                             std::move(handler), &m_memory);
  }

  asio::awaitable<HttpResponse> HandleReadiness(HttpRequest request) {
    const bool ready = m_protocol.IsReadinessCheck(request) &&
                       m_view.IsReady() && !m_caller_server->closing();
    HttpResponse response;
    response.status = ready ? kOk : kUnavailable;
    co_return response;
  }

  asio::awaitable<HttpResponse> HandleMetrics() {
    m_metrics.Set("evacuated_data_centres",
                  static_cast<double>(m_view.evacuated_count()));
    m_metrics.Set("evacuation_refusals",
                  static_cast<double>(m_backend_proxy.evacuation_refusals()));
    m_metrics.Set("calls_refused_while_cold",
                  static_cast<double>(m_backend_proxy.ColdRefusals()));
    HttpResponse response;
    response.headers.Add("Content-Type", "text/plain; version=0.0.4");
    const std::optional<size_t> limited =
        m_view.root_admitter().LimitedClasses();
    m_metrics.Set("admission_plan_in_force", limited ? 1 : 0);
    m_metrics.Set("admission_limited_classes",
                  static_cast<double>(limited.value_or(0)));
    m_metrics.Set("request_body_bytes", static_cast<double>(m_memory.used()));
    response.body = m_metrics.Text() + m_traffic.Text();
    co_return response;
  }

  size_t OpenRequests() const {
    return m_caller_server->open_requests() + m_hop_server.open_requests() +
           m_backend_proxy.open_requests();
  }

  // Number of connections whose callers may not have read all responses yet.
  size_t LingeringConnections() const {
    return m_caller_server->lingering_connections();
  }

  asio::awaitable<void> ShutDownGracefully() {
    LogEvent(LogLevel::kInfo, "stopping",
             {{"open", std::to_string(OpenRequests())}});
    const auto grace =
        static_cast<int64_t>(m_settings.stop_grace * kMsPerSecond);
    const StopSchedule schedule(m_clock.Now(), Duration{grace});
    m_caller_server->BeginClosing();
    m_backend_proxy.BeginStop();
    m_poller.BeginLeaving();
    co_await SleepUntil(schedule.Begin(StopPhase::kClosed));
    m_outbound_proxy.EnterPhase(schedule.StateIn(StopPhase::kClosed));
    m_caller_server->CloseToOtherHosts();
    co_await WaitUntilNone(&MeshNode::OpenRequests,
                           schedule.Begin(StopPhase::kBounded));
    m_outbound_proxy.EnterPhase(schedule.StateIn(StopPhase::kBounded));
    co_await WaitUntilNone(&MeshNode::OpenRequests,
                           schedule.Begin(StopPhase::kFinishing));
    m_outbound_proxy.EnterPhase(schedule.StateIn(StopPhase::kFinishing));
    m_links.CancelQueuedHopRequests();
    co_await WaitUntilNone(&MeshNode::OpenRequests,
                           schedule.Begin(StopPhase::kAnswering));
    m_outbound_proxy.EnterPhase(schedule.StateIn(StopPhase::kAnswering));
    m_cut_off = OpenRequests();
    m_caller_server->CancelOpenRequests();
    m_hop_server.CancelOpenRequests();
    co_await WaitUntilNone(&MeshNode::OpenRequests,
                           schedule.Begin(StopPhase::kOver));
    m_caller_server->Stop();
    // Responses that were handed to links are written meanwhile.
    co_await Sleep(kStopCheckInterval);
    co_await WaitUntilNone(&MeshNode::LingeringConnections,
                           schedule.Begin(StopPhase::kOver));
    m_runtime.Stop();
  }

  // Waits until `count` returns 0, until `end` at most.
  asio::awaitable<void> WaitUntilNone(size_t (MeshNode::*count)() const,
                                      TimePoint end) {
    while ((this->*count)() > 0 && m_clock.Now() < end) {
      co_await Sleep(std::min(kStopCheckInterval, end - m_clock.Now()));
    }
  }

  asio::awaitable<void> SleepUntil(TimePoint time) {
    return Sleep(time - m_clock.Now());
  }

  asio::awaitable<void> Sleep(Duration length) {
    asio::steady_timer timer(m_runtime.context(),
                             std::chrono::milliseconds(length.ms));
    co_await timer.async_wait(asio::use_awaitable);
  }

  const MeshNodeSettings m_settings;
  MeshProtocol& m_protocol;
  SystemClock m_clock;
  SystemRandom m_random;
  Metrics m_metrics;
  // Requests that had no response when the grace period was about to end.
  size_t m_cut_off = 0;
  // Connections and links that the runtime still holds use these two.
  MemoryBudget m_memory;
  LinkTraffic m_traffic;
  MeshRuntime m_runtime;
  MeshView m_view;
  BackendProxy m_backend_proxy;
  LocalCallHandler m_local_calls;
  LinkClient m_links;
  HopClient m_hop_client;
  HopServer m_hop_server;
  OutboundProxy m_outbound_proxy;
  MeshPoller m_poller;
  SeedWatcher m_seed_watcher;
  std::shared_ptr<AsyncHttpServer> m_caller_server;
  std::shared_ptr<AsyncHttpServer> m_local_server;
  std::shared_ptr<AsyncHttpServer> m_readiness_server;
  std::shared_ptr<AsyncHttpServer> m_metrics_server;
};

}  // namespace

Result<ExitCode> RunMeshNode(const CommonSettings& common,
                             const MeshNodeSettings& settings,
                             const SettingsSource& source,
                             MeshProtocol& protocol) {
  StartLog(common.log_level, "node", settings.node_name, LogTarget::kStdout);
  LogEvent(LogLevel::kInfo, "start", {{"service", settings.service}});
  Outcome<ExitCode> outcome = Capture([&]() -> Result<ExitCode> {
    MeshNode node(settings, source, protocol);
    return node.Run();
  });
  StopLog();
  return ToResult(std::move(outcome));
}

}  // namespace rosemarywinch
