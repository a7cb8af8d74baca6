#include <cstdio>
#include <string>
#include <vector>

#include "rosemarywinch/adapters/curl_channel.h"
#include "rosemarywinch/adapters/file_storage.h"
#include "rosemarywinch/adapters/http_server.h"
#include "rosemarywinch/adapters/json_rpc.h"
#include "rosemarywinch/adapters/log.h"
#include "rosemarywinch/adapters/metrics.h"
#include "rosemarywinch/adapters/rpc_peer_transport.h"
#include "rosemarywinch/adapters/system.h"
#include "rosemarywinch/programs/consensus_driver.h"
#include "rosemarywinch/programs/control_client.h"
#include "rosemarywinch/programs/control_service.h"
#include "rosemarywinch/programs/mesh/seed_watcher.h"
#include "rosemarywinch/programs/servers.h"

namespace rosemarywinch {

namespace {

// Enough for one connection per node plus peers and operators.
constexpr uint32_t kControlConnections = 4096;

void AddMethods(JsonRpcServer& rpc,
                ControlService& service,
                ConsensusDriver& driver) {
  rpc.Add<PeerMessage>("peer.message",
                       [&](const PeerMessage& message) -> Result<Noop> {
                         driver.Receive(message);
                         return Noop{};
                       });
  rpc.Add<PollRequest>("node.poll", [&](const PollRequest& request) {
    return service.Poll(request);
  });
  rpc.Add<CommandRequest>(
      "operator.command",
      [&](const CommandRequest& request) { return service.Command(request); });
  rpc.Add<StateRequest>("operator.state", [&](const StateRequest& request) {
    return service.State(request);
  });
  rpc.Add<ControlStatusRequest>("operator.status",
                                [&](const ControlStatusRequest& request) {
                                  return service.Status(request);
                                });
}

HttpResponse MetricsResponse(ConsensusDriver& driver, Metrics& metrics) {
  const ControlStatus status = driver.Status();
  metrics.Set("control_leader", status.leader ? 1 : 0);
  metrics.Set("control_term", static_cast<double>(status.term));
  metrics.Set("control_commit_index", static_cast<double>(status.commit_index));
  metrics.Set("config_version", static_cast<double>(status.version));
  HttpResponse response;
  response.headers.Add("Content-Type", "text/plain; version=0.0.4");
  response.body = metrics.Text();
  return response;
}

ConsensusDriver::Options DriverOptions(
    const ControlSettings& settings,
    const std::map<uint32_t, std::string>& replicas) {
  ConsensusDriver::Options options;
  options.replica.replica_id = settings.replica_id;
  options.replica.heartbeat = settings.heartbeat;
  options.replica.election_timeout = settings.election_timeout;
  options.snapshot_entries = settings.snapshot_entries;
  for (const auto& [id, address] : replicas) {
    options.replica.replica_ids.push_back(id);
  }
  if (replicas.empty()) {
    options.replica.replica_ids = {settings.replica_id};
  }
  return options;
}

}  // namespace

Result<ExitCode> RunControl(const CommonSettings& common,
                            const ControlSettings& settings,
                            StopSignal& stop) {
  StartLog(common.log_level, "control", std::to_string(settings.replica_id));
  BOOST_LEAF_AUTO(replicas, ParseReplicas(common.control));
  SystemClock clock;
  SystemRandom random;
  CurlChannel channel;
  Metrics metrics;
  FileStorage storage(settings.data_folder);
  auto peers = replicas;
  peers.erase(settings.replica_id);
  RpcPeerTransport transport(peers, channel);
  ControlService service(settings.node_lease, {},
                         SplitList(settings.data_centres));
  ConsensusDriver driver(DriverOptions(settings, replicas), clock, random,
                         storage, transport, service);
  service.Attach(driver);
  BOOST_LEAF_CHECK(driver.Start());
  JsonRpcServer rpc;
  AddMethods(rpc, service, driver);
  HttpServer server;
  HttpServerOptions options;
  options.address = common.listen_address;
  options.port = settings.port;
  options.max_connections = kControlConnections;
  BOOST_LEAF_CHECK(server.Start(options, [&](const HttpRequest& request) {
    if (request.path == kRpcPath) {
      return rpc.Handle(request);
    }
    if (request.path == "/metrics") {
      return MetricsResponse(driver, metrics);
    }
    return HttpResponse{request.path == "/health" ? 200 : 404, {}, ""};
  }));
  std::printf("{\"event\":\"listening\",\"port\":%u}\n", server.port());
  std::fflush(stdout);
  stop.Wait();
  LogEvent(LogLevel::kInfo, "stopping");
  const size_t open = server.Drain(common.drain_limit);
  driver.Stop();
  server.Stop();
  LogEvent(LogLevel::kInfo, "stopped", {{"open", std::to_string(open)}});
  return open == 0 ? ExitCode::kSuccess : ExitCode::kRequestsCutOff;
}

}  // namespace rosemarywinch
