#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <mutex>
#include <string>

#include "rosemarywinch/adapters/curl_channel.h"
#include "rosemarywinch/adapters/http_server.h"
#include "rosemarywinch/adapters/json_codec.h"
#include "rosemarywinch/adapters/log.h"
#include "rosemarywinch/adapters/metrics.h"
#include "rosemarywinch/adapters/system.h"
#include "rosemarywinch/programs/backend_dispatcher.h"
#include "rosemarywinch/programs/control_client.h"
#include "rosemarywinch/programs/control_poller.h"
#include "rosemarywinch/programs/forwarder.h"
#include "rosemarywinch/programs/ingress_handler.h"
#include "rosemarywinch/programs/node_state.h"
#include "rosemarywinch/programs/request_journal.h"
#include "rosemarywinch/programs/servers.h"

namespace rosemarywinch {

namespace {

constexpr size_t kNodeIdBytes = 8;
constexpr Duration kLeaveConfirmationTimeout{3000};
const std::string kAnnouncePath = "/rosemarywinch/announce";
const std::string kStatusPath = "/rosemarywinch/status";
const std::string kWhyPath = "/rosemarywinch/why";

HttpResponse JsonResponse(int status, const Json& json) {
  HttpResponse response;
  response.status = status;
  response.headers.Add("Content-Type", "application/json");
  response.body = WriteJson(json) + "\n";
  return response;
}

HttpResponse ErrorResponse(const Error& error) {
  return JsonResponse(error.HttpStatus(), {{"error", error.Message()}});
}

Json RecordToJson(const JournalRecord& record) {
  return {{"request_id", record.request_id},
          {"account", record.account},
          {"service", record.service},
          {"route", record.route},
          {"class", NameOf(record.request_class)},
          {"outcome", record.outcome},
          {"reason", record.reason == ErrorId::kNone
                         ? std::string()
                         : Error{record.reason, record.detail}.Message()},
          {"level", record.level},
          {"config_version", record.config_version},
          {"total_ms", record.total_ms}};
}

// Components of one node and its three HTTP servers.
class NodeServer {
 public:
  NodeServer(const CommonSettings& common,
             const NodeSettings& settings,
             std::map<uint32_t, std::string> replicas)
      : m_common(common),
        m_settings(settings),
        m_node(m_random.Hex(kNodeIdBytes)),
        m_client(std::move(replicas), m_channel),
        m_state(settings.data_centre, m_clock, m_random),
        m_dispatcher(m_node, m_settings, m_clock, m_random, m_channel),
        m_forwarder(m_node,
                    m_state,
                    m_dispatcher,
                    m_clock,
                    m_random,
                    m_channel),
        m_ingress({m_state, m_dispatcher, m_forwarder, m_hasher, m_clock,
                   m_random, m_metrics, m_journal}) {}

  Result<Done> Start() {
    BOOST_LEAF_CHECK(m_callers.Start(
        Options(m_settings.port),
        [this](const HttpRequest& r) { return m_ingress.HandleCaller(r); }));
    BOOST_LEAF_CHECK(
        m_peers.Start(Options(m_settings.peer_port),
                      [this](const HttpRequest& r) { return HandlePeer(r); }));
    BOOST_LEAF_CHECK(
        m_local.Start(Options(m_settings.local_port),
                      [this](const HttpRequest& r) { return HandleLocal(r); }));
    ControlPoller::Options options;
    options.node = m_node;
    options.peer_address =
        m_settings.advertised_address.empty()
            ? m_common.listen_address + ":" + std::to_string(m_peers.port())
            : m_settings.advertised_address;
    options.data_centre = m_settings.data_centre;
    options.interval = m_settings.poll_interval;
    m_poller.emplace(options, m_state, m_dispatcher, m_client, m_clock,
                     m_metrics);
    m_state.SetPollCallback([this](NodeState::PollReason reason) {
      m_poller->RequestPoll(reason);
    });
    m_poller->Start();
    return Done{};
  }

  void PrintPorts() const {
    std::printf(
        "{\"event\":\"listening\",\"node\":\"%s\",\"port\":%u,"
        "\"peer_port\":%u,\"local_port\":%u}\n",
        m_node.c_str(), m_callers.port(), m_peers.port(), m_local.port());
    std::fflush(stdout);
  }

  /// Completes the requests in progress. Returns the number of requests still
  /// open after the drain limit.
  size_t Drain() {
    const bool confirmed = m_poller->Leave(kLeaveConfirmationTimeout);
    LogEvent(LogLevel::kInfo, "leaving",
             {{"confirmed", confirmed ? "true" : "false"}});
    // Other nodes learn of it with their next poll.
    WaitFor(m_settings.poll_interval * 2);
    m_ingress.StartDraining();
    m_dispatcher.StartDraining();
    size_t open = m_callers.Drain(m_common.drain_limit);
    open += m_peers.Drain(m_common.drain_limit);
    open += m_local.Drain(m_common.drain_limit);
    m_poller->Stop();
    m_callers.Stop();
    m_peers.Stop();
    m_local.Stop();
    return open;
  }

  void LogOpenRequests() {
    LogEvent(LogLevel::kError, "stopped_at_once",
             {{"open", std::to_string(m_dispatcher.InFlight() +
                                      m_dispatcher.Waiting())}});
  }

 private:
  HttpServerOptions Options(uint32_t port) const {
    HttpServerOptions options;
    options.address = m_common.listen_address;
    options.port = port;
    options.max_connections = m_settings.max_connections;
    return options;
  }

  HttpResponse HandlePeer(HttpRequest request) {
    if (request.path == Forwarder::kAttemptPath) {
      return YesOrNo(m_dispatcher.IsRunning(request.query));
    }
    if (request.path == Forwarder::kFencePath) {
      return YesOrNo(m_dispatcher.Fence(request.query));
    }
    if (request.path == Forwarder::kFreshPath) {
      return YesOrNo(m_dispatcher.IsFresh(request.query));
    }
    if (request.path == Forwarder::kOfferPath) {
      const size_t separator = request.query.find('~');
      const auto id = m_dispatcher.IssueId(
          request.query.substr(0, separator),
          separator == std::string::npos ? std::string()
                                         : request.query.substr(separator + 1));
      return HttpResponse{200, {}, id.value_or("no")};
    }
    const Outcome<HopEnvelope> envelope =
        Capture([&] { return DecodeHop(request); });
    if (const auto* error = std::get_if<Error>(&envelope)) {
      return RefusalResponse(*error, "not-run", {});
    }
    return EncodeReport(
        m_dispatcher.Run(std::get<HopEnvelope>(envelope), std::move(request)));
  }

  HttpResponse HandleLocal(const HttpRequest& request) {
    if (request.path == kAnnouncePath) {
      return HandleAnnouncement(request);
    }
    if (request.path == kWhyPath) {
      const auto record = m_journal.Find(request.query);
      return record ? JsonResponse(200, RecordToJson(*record))
                    : JsonResponse(
                          404, {{"error", "request not found on this node"}});
    }
    if (request.path == kStatusPath) {
      return JsonResponse(200, Status());
    }
    if (request.path == "/metrics") {
      return MetricsResponse();
    }
    if (request.path == "/health") {
      return HttpResponse{m_state.IsLeaseValid() ? 200 : 503, {}, ""};
    }
    return m_ingress.HandleBackend(request);
  }

  HttpResponse HandleAnnouncement(const HttpRequest& request) {
    const Outcome<Announcement> outcome =
        Capture([&]() -> Result<Announcement> {
          BOOST_LEAF_AUTO(json, ParseJson(request.body));
          BOOST_LEAF_AUTO(message, FromJson<Announcement>(json));
          if (!IsValidName(message.service) || message.address.empty()) {
            return Fail(ErrorId::kMalformedMessage,
                        "invalid service name or missing address");
          }
          return message;
        });
    if (const auto* error = std::get_if<Error>(&outcome)) {
      return ErrorResponse(*error);
    }
    if (m_dispatcher.Announce(std::get<Announcement>(outcome))) {
      m_poller->RequestPoll(NodeState::PollReason::kUrgent);
    }
    return JsonResponse(200, Json::object());
  }

  Json Status() {
    const auto config = m_state.Config();
    const Announcement backend = m_dispatcher.Backend();
    return {{"node", m_node},
            {"config_version", config == nullptr ? 0 : config->state.version},
            {"lease_lives", m_state.IsLeaseValid()},
            {"service", backend.service},
            {"backend_state", NameOf(backend.state)},
            {"in_flight", m_dispatcher.InFlight()},
            {"waiting", m_dispatcher.Waiting()},
            {"limit", m_dispatcher.Limit()}};
  }

  HttpResponse MetricsResponse() {
    m_metrics.Set("gate_in_flight", m_dispatcher.InFlight());
    m_metrics.Set("gate_limit", m_dispatcher.Limit());
    m_metrics.Set("gate_waiting", static_cast<double>(m_dispatcher.Waiting()));
    m_metrics.Set("lease_lives", m_state.IsLeaseValid() ? 1 : 0);
    HttpResponse response;
    response.headers.Add("Content-Type", "text/plain; version=0.0.4");
    response.body = m_metrics.Text();
    return response;
  }

  static HttpResponse YesOrNo(bool yes) {
    return HttpResponse{200, {}, yes ? "yes" : "no"};
  }

  static void WaitFor(Duration length) {
    std::mutex mutex;
    std::condition_variable never;
    std::unique_lock lock(mutex);
    never.wait_for(lock, std::chrono::milliseconds(length.ms),
                   [] { return false; });
  }

  const CommonSettings m_common;
  const NodeSettings m_settings;
  SystemClock m_clock;
  SystemRandom m_random;
  SodiumHasher m_hasher;
  CurlChannel m_channel;
  Metrics m_metrics;
  RequestJournal m_journal;
  const std::string m_node;
  ControlClient m_client;
  NodeState m_state;
  BackendDispatcher m_dispatcher;
  Forwarder m_forwarder;
  IngressHandler m_ingress;
  std::optional<ControlPoller> m_poller;
  HttpServer m_callers;
  HttpServer m_peers;
  HttpServer m_local;
};

}  // namespace

Result<ExitCode> RunNode(const CommonSettings& common,
                         const NodeSettings& settings,
                         StopSignal& stop) {
  StartLog(common.log_level, "node", settings.data_centre);
  BOOST_LEAF_AUTO(replicas, ParseReplicas(common.control));
  NodeServer server(common, settings, std::move(replicas));
  BOOST_LEAF_CHECK(server.Start());
  server.PrintPorts();
  stop.Wait();
  stop.OnSecondSignal([&] { server.LogOpenRequests(); });
  const size_t open = server.Drain();
  stop.OnSecondSignal(nullptr);
  LogEvent(LogLevel::kInfo, "stopped", {{"open", std::to_string(open)}});
  return open == 0 ? ExitCode::kSuccess : ExitCode::kRequestsCutOff;
}

}  // namespace rosemarywinch
