#include <fmt/format.h>

#include <algorithm>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "rosemarywinch/adapters/async/async_http_server.h"
#include "rosemarywinch/adapters/async/link_client.h"
#include "rosemarywinch/adapters/file_storage.h"
#include "rosemarywinch/adapters/log.h"
#include "rosemarywinch/adapters/metrics.h"
#include "rosemarywinch/adapters/system.h"
#include "rosemarywinch/adapters/wire_codec.h"
#include "rosemarywinch/core/text_value.h"
#include "rosemarywinch/programs/consensus_driver.h"
#include "rosemarywinch/programs/control_service.h"
#include "rosemarywinch/programs/mesh/mesh_programs.h"
#include "rosemarywinch/programs/mesh/mesh_runtime.h"
#include "rosemarywinch/programs/mesh/operator_call_handler.h"
#include "rosemarywinch/programs/mesh/poll_handler.h"
#include "rosemarywinch/programs/mesh/seed_watcher.h"

namespace rosemarywinch {

namespace {

// One of them may wait for the disk.
constexpr unsigned kIoThreads = 2;
// Nodes may act on a poll response for this percentage of the withdrawal limit:
// the duration of their leases.
constexpr int64_t kLeasePercent = 70;
constexpr int64_t kPercent = 100;
// Log entries hold whole configurations, so the log is kept short.
constexpr uint64_t kSnapshotEntries = 24;
// With these, an unresponsive leader is replaced within about a second.
constexpr Duration kHeartbeat{100};
constexpr Duration kElectionTimeout{500};

// Returns the ids of the replicas at `seeds`; addresses that cannot be parsed
// are logged and left out.
std::vector<uint32_t> ReplicasAt(const std::vector<std::string>& seeds) {
  std::vector<uint32_t> ids;
  for (const std::string& seed : seeds) {
    const uint32_t id = Ipv4AsUint(seed);
    if (id != 0) {
      ids.push_back(id);
    } else {
      LogEvent(LogLevel::kError, "seed_malformed", {{"seed", seed}});
    }
  }
  return ids;
}

// Returns the classes that the plan admits in part, in the Prometheus text
// format.
std::string AdmissionMetrics(const AdmissionPlan& plan) {
  std::string text;
  for (const EntryAdmission& entry : plan.entries) {
    text += fmt::format(
        "rosemarywinch_admission_fraction{{service=\"{}\",priority=\"{}\","
        "bottleneck=\"{}\"}} {}\n",
        entry.service, entry.priority, entry.bottleneck, entry.fraction);
  }
  return text;
}

/// Sends messages between replicas over links. A replica id is the IPv4 address
/// of its host as a number.
class LinkPeerTransport : public PeerTransport {
 public:
  LinkPeerTransport(LinkClient& links, uint16_t port)
      : m_links(links), m_port(port) {}

  void Send(const PeerMessage& message) override {
    m_links.Post(AddressFromIpv4(message.to_replica, m_port),
                 FrameType::kPeerMessage, ToWire(message));
  }

 private:
  LinkClient& m_links;
  const uint16_t m_port;
};

/// A control replica of the mesh; owns its components.
class MeshControl {
 public:
  MeshControl(const MeshControlSettings& settings,
              const SettingsSource& source,
              MeshProtocol& protocol)
      : m_settings(settings),
        m_runtime(kIoThreads),
        m_links(m_runtime.context(), {&m_traffic, nullptr}),
        m_transport(m_links, PortOf(settings.peer_address).value_or(0)),
        m_storage(settings.data_folder),
        m_service(settings.withdrawal_limit * kLeasePercent / kPercent,
                  {settings.quota_window, settings.quota_overage,
                   settings.quota_slack},
                  SplitList(settings.data_centres)),
        m_driver(DriverOptions(settings),
                 m_clock,
                 m_random,
                 m_storage,
                 m_transport,
                 m_service),
        m_polls(m_service),
        m_operator_calls(Ipv4AsUint(settings.peer_address),
                         PortOf(settings.operator_address).value_or(0),
                         protocol,
                         m_service,
                         m_driver,
                         m_clock,
                         settings.apply_limit),
        m_listener(
            m_runtime.context(),
            [this](const std::shared_ptr<FrameLink>& link, const Frame& frame) {
              OnFrame(link, frame);
            },
            [](const std::shared_ptr<FrameLink>&) {},
            {&m_traffic, nullptr}),
        m_seed_watcher(m_runtime.context(),
                       source.file,
                       settings.seeds,
                       [this](const auto& seeds) { UpdateSeeds(seeds); }) {
    m_service.Attach(m_driver);
  }

  Result<ExitCode> Run() {
    BOOST_LEAF_CHECK(m_driver.Start());
    BOOST_LEAF_CHECK(m_listener.Start(m_settings.peer_address));
    m_operator_server = std::make_shared<AsyncHttpServer>(
        m_runtime.context(),
        [this](HttpRequest request, const std::shared_ptr<CancellationToken>&) {
          return m_operator_calls.Handle(std::move(request));
        });
    BOOST_LEAF_CHECK(m_operator_server->Start(m_settings.operator_address));
    if (!m_settings.metrics_address.empty()) {
      m_metrics_server = std::make_shared<AsyncHttpServer>(
          m_runtime.context(),
          [this](const HttpRequest&,
                 const std::shared_ptr<CancellationToken>&) {
            return HandleMetrics();
          });
      BOOST_LEAF_CHECK(m_metrics_server->Start(m_settings.metrics_address));
    }
    m_seed_watcher.Start();
    m_runtime.Run([this] {
      LogEvent(LogLevel::kInfo, "stopping");
      m_runtime.Stop();
    });
    m_driver.Stop();
    LogEvent(LogLevel::kInfo, "stopped");
    return ExitCode::kSuccess;
  }

 private:
  static ConsensusDriver::Options DriverOptions(
      const MeshControlSettings& settings) {
    ConsensusDriver::Options options;
    options.snapshot_entries = kSnapshotEntries;
    options.replica.replica_id = Ipv4AsUint(settings.peer_address);
    options.replica.heartbeat = kHeartbeat;
    options.replica.election_timeout = kElectionTimeout;
    options.replica.may_bootstrap = settings.founding;
    options.replica.max_voters = 2 * settings.tolerated_losses + 1;
    const auto seeds = ReplicasAt(SplitList(settings.seeds));
    const std::set<uint32_t> ids(seeds.begin(), seeds.end());
    options.replica.replica_ids.assign(ids.begin(), ids.end());
    options.founding_voters = std::min(ids.size(), options.replica.max_voters);
    return options;
  }

  void UpdateSeeds(const std::vector<std::string>& seeds) {
    m_driver.AddKnownReplicas(ReplicasAt(seeds));
  }

  void OnFrame(const std::shared_ptr<FrameLink>& link, const Frame& frame) {
    if (frame.type == FrameType::kPeerMessage) {
      HandlePeerMessage(frame);
    } else if (frame.type == FrameType::kPollRequest) {
      m_polls.Handle(link, frame);
    }
  }

  void HandlePeerMessage(const Frame& frame) {
    const Outcome<PeerMessage> message =
        Capture([&] { return FromWire<PeerMessage>(frame.payload); });
    if (const auto* error = std::get_if<Error>(&message)) {
      LogEvent(LogLevel::kError, "peer_message_malformed",
               {{"error", error->Message()}});
      return;
    }
    m_driver.Receive(std::get<PeerMessage>(message));
  }

  asio::awaitable<HttpResponse> HandleMetrics() {
    const ControlStatus status = m_driver.Status();
    m_metrics.Set("control_leader", status.leader ? 1 : 0);
    m_metrics.Set("control_term", static_cast<double>(status.term));
    m_metrics.Set("control_commit_index",
                  static_cast<double>(status.commit_index));
    m_metrics.Set("control_evacuated_data_centres",
                  static_cast<double>(status.evacuated.size()));
    HttpResponse response;
    response.headers.Add("Content-Type", "text/plain; version=0.0.4");
    response.body =
        m_metrics.Text() + m_traffic.Text() + m_service.BalanceMetrics();
    if (status.leader) {
      response.body += AdmissionMetrics(m_service.CurrentPlan());
    }
    co_return response;
  }

  const MeshControlSettings m_settings;
  SystemClock m_clock;
  SystemRandom m_random;
  Metrics m_metrics;
  LinkTraffic m_traffic;
  MeshRuntime m_runtime;
  LinkClient m_links;
  LinkPeerTransport m_transport;
  FileStorage m_storage;
  ControlService m_service;
  ConsensusDriver m_driver;
  PollHandler m_polls;
  OperatorCallHandler m_operator_calls;
  FrameListener m_listener;
  SeedWatcher m_seed_watcher;
  std::shared_ptr<AsyncHttpServer> m_operator_server;
  std::shared_ptr<AsyncHttpServer> m_metrics_server;
};

}  // namespace

Result<ExitCode> RunMeshControl(const CommonSettings& common,
                                const MeshControlSettings& settings,
                                const SettingsSource& source,
                                MeshProtocol& protocol) {
  StartLog(common.log_level, "control", settings.node_name, LogTarget::kStdout);
  LogEvent(LogLevel::kInfo, "start", {{"seeds", settings.seeds}});
  Outcome<ExitCode> outcome = Capture([&]() -> Result<ExitCode> {
    MeshControl control(settings, source, protocol);
    return control.Run();
  });
  StopLog();
  return ToResult(std::move(outcome));
}

}  // namespace rosemarywinch
