#include "rosemarywinch/programs/control_service.h"

#include <algorithm>
#include <chrono>
#include <set>
#include <utility>

#include "rosemarywinch/adapters/log.h"
#include "rosemarywinch/decisions/control/lease.h"
#include "rosemarywinch/decisions/fleet/departures.h"
#include "rosemarywinch/decisions/fleet/evacuations.h"
#include "rosemarywinch/decisions/fleet/fleet_store.h"
#include "rosemarywinch/decisions/fleet/policy.h"
#include "rosemarywinch/decisions/mesh/mesh_config.h"

namespace rosemarywinch {

namespace {

constexpr Duration kCommitTimeout{5000};
// Stands for no limit of an account's rate in the admission plan.
constexpr double kNoLimit = 0;
constexpr std::chrono::milliseconds kInForceCheckInterval{100};

Result<Done> CheckProtocol(uint32_t version) {
  if (version != consensus::kProtocolVersion) {
    return Fail(ErrorId::kProtocolVersion,
                "got " + std::to_string(version) + ", expected " +
                    std::to_string(consensus::kProtocolVersion));
  }
  return Done{};
}

}  // namespace

ControlService::ControlService(Duration node_lease,
                               QuotaTolerance tolerance,
                               std::vector<std::string> data_centres,
                               ConfigurationReader::Parser parser)
    : m_lease(node_lease),
      m_tolerance(tolerance),
      m_data_centres(std::move(data_centres)),
      m_version_state(node_lease),
      m_configuration_state(node_lease),
      m_directory(LessorLeaseDuration(node_lease)),
      m_reader(std::move(parser)) {}

Result<PollResponse> ControlService::Poll(const PollRequest& request) {
  BOOST_LEAF_CHECK(CheckProtocol(request.protocol_version));
  BOOST_LEAF_AUTO(view, m_driver->ReadAsLeader());
  if (!request.cluster.empty() && request.cluster != view.cluster) {
    return Fail(ErrorId::kWrongCluster, request.cluster);
  }
  if (request.config_version > view.state->version) {
    return Fail(ErrorId::kWrongCluster,
                "the node has a newer version than control");
  }
  PollResponse response;
  response.cluster = view.cluster;
  response.term = view.term;
  response.sequence = request.sequence;
  response.lease = m_lease;
  if (request.tokens_only) {
    AddQuotas(view, request, response);
    if (request.configuration_version > 0) {
      RecordConfiguration(view, request);
    }
    return response;
  }
  AddFleetState(*view.state, request.config_version, response);
  response.evacuated = view.state->evacuated;
  BOOST_LEAF_CHECK(AddMeshConfiguration(view, request, response));
  AddDepartures(*view.state, request, response);
  AddMembers(view.now, request, response);
  m_balances.OnPoll(view.now, view.state->evacuated, request, response);
  AddAdmission(view, request, response);
  AddAllowances(view, request, response);
  AddQuotas(view, request, response);
  RecordConfiguration(view, request);
  std::scoped_lock lock(m_version_state.mutex);
  m_version_state.versions.OnPoll(view.now, request.node,
                                  request.config_version);
  m_version_state.changed.notify_all();
  return response;
}

Result<CommandResponse> ControlService::Command(const CommandRequest& request) {
  BOOST_LEAF_CHECK(CheckProtocol(request.protocol_version));
  BOOST_LEAF_AUTO(result, m_driver->Submit(WithDataCentres(request.command),
                                           kCommitTimeout));
  if (result.error != ErrorId::kNone) {
    return CommandResponse{std::move(result), false, 0, {}};
  }
  return WaitInForce(std::move(result), request.wait);
}

FleetCommand ControlService::WithDataCentres(FleetCommand command) {
  std::visit(
      Overloaded{
          [&](StartEvacuation& change) { change.known = KnownDataCentres(); },
          [&](EndEvacuation& change) { change.known = KnownDataCentres(); },
          [](const auto&) {}},
      command.change);
  return command;
}

std::vector<std::string> ControlService::KnownDataCentres() {
  if (!m_data_centres.empty()) {
    return m_data_centres;
  }
  std::set<std::string> names;
  std::scoped_lock lock(m_directory.mutex);
  for (const Member& member : m_directory.members.Members()) {
    names.insert(member.data_centre);
  }
  return {names.begin(), names.end()};
}

Result<StateResponse> ControlService::State(const StateRequest& request) {
  BOOST_LEAF_CHECK(CheckProtocol(request.protocol_version));
  BOOST_LEAF_AUTO(view, m_driver->ReadAsLeader());
  return StateResponse{*view.state};
}

Result<ControlStatus> ControlService::Status(const ControlStatusRequest&) {
  ControlStatus status = m_driver->Status();
  if (status.leader) {
    // ReadAsLeader() gives the time of the leader's own clock and fails if the
    // leadership was lost in the meantime.
    BOOST_LEAF_AUTO(view, m_driver->ReadAsLeader());
    {
      std::scoped_lock lock(m_version_state.mutex);
      status.in_force_version = m_version_state.versions.InForce(view.now);
    }
    std::scoped_lock lock(m_directory.mutex);
    m_directory.members.ExpireSilent(view.now);
    status.members = m_directory.members.Members();
  }
  return status;
}

// A node without a configuration serves nothing, so that it is not waited for.
void ControlService::RecordConfiguration(
    const ConsensusDriver::LeaderView& view,
    const PollRequest& request) {
  const uint64_t current = view.state->configuration.version;
  const uint64_t held = request.configuration_version;
  ConfigurationState& state = m_configuration_state;
  std::scoped_lock lock(state.mutex);
  state.versions.OnPoll(view.now, request.node, held == 0 ? current : held);
  if (state.logged < state.newest &&
      state.versions.InForce(view.now) >= state.newest) {
    state.logged = state.newest;
    LogEvent(
        LogLevel::kInfo, "configuration_in_force",
        {{"version", std::to_string(state.newest)},
         {"after_ms", std::to_string((view.now - state.newest_applied).ms)}});
  }
}

Result<ControlService::ConfigurationProgress> ControlService::ProgressOf(
    uint64_t version,
    Duration bound) {
  BOOST_LEAF_AUTO(view, m_driver->ReadAsLeader());
  VersionTracker& versions = m_configuration_state.versions;
  std::scoped_lock lock(m_configuration_state.mutex);
  ConfigurationProgress progress;
  progress.in_force = versions.InForceWithin(view.now, bound, version);
  progress.pending = versions.PendingNodes(view.now, version);
  return progress;
}

void ControlService::OnLeader(TimePoint now,
                              uint64_t term,
                              const FleetState& state) {
  {
    std::scoped_lock lock(m_version_state.mutex);
    m_version_state.versions.Reset(now, state.version);
  }
  {
    const uint64_t configuration = state.configuration.version;
    // Before the first configuration there is nothing that nodes could act on.
    const TimePoint since =
        configuration == 0 ? now - LessorLeaseDuration(m_lease) : now;
    std::scoped_lock lock(m_configuration_state.mutex);
    m_configuration_state.versions.Reset(since, configuration);
    m_configuration_state.newest = configuration;
    m_configuration_state.newest_applied = now;
  }
  {
    std::scoped_lock lock(m_directory.mutex);
    m_directory.members.Reset(now, term);
  }
  {
    std::scoped_lock lock(m_admission.mutex);
    m_admission.planner.Reset(now, term);
  }
  m_balances.Reset(now, term);
  // Without a change there is no account, so that no lease was granted.
  const TimePoint last_earlier_grant = state.version == 0 ? now - m_lease : now;
  m_reader.Read(state.configuration);
  m_allocators.ForEach([&](AllocatorShard& shard) {
    shard.since = now;
    shard.last_earlier_grant = last_earlier_grant;
    shard.allocators.clear();
    shard.pools.clear();
  });
}

void ControlService::OnFollower(TimePoint now) {
  m_balances.Reset(now, 0);
  m_version_state.changed.notify_all();
}

void ControlService::OnApplied(TimePoint now, const FleetState& state) {
  const uint64_t configuration = state.configuration.version;
  bool newer = false;
  {
    ConfigurationState& nodes = m_configuration_state;
    std::scoped_lock lock(nodes.mutex);
    nodes.versions.OnApplied(now, configuration);
    newer = configuration > nodes.newest;
    if (newer) {
      nodes.newest = configuration;
      nodes.newest_applied = now;
    }
  }
  if (newer) {
    m_reader.Read(state.configuration);
  }
  std::scoped_lock lock(m_version_state.mutex);
  m_version_state.versions.OnApplied(now, state.version);
  m_version_state.changed.notify_all();
}

void ControlService::AddFleetState(const FleetState& state,
                                   uint64_t version,
                                   PollResponse& response) const {
  response.config_version = state.version;
  if (version == state.version) {
    return;
  }
  auto commands = CommandsAfter(state, version);
  if (commands && version > 0) {
    response.commands = std::move(*commands);
    return;
  }
  FleetState copy;
  copy.version = state.version;
  copy.tree = state.tree;
  copy.keys = state.keys;
  copy.evacuated = state.evacuated;
  response.state = std::move(copy);
}

bool ControlService::StoreDepartures(const PollRequest& request,
                                     const std::function<void()>& done) {
  const auto view = Capture([&] { return m_driver->ReadAsLeader(); });
  const auto* leader = std::get_if<ConsensusDriver::LeaderView>(&view);
  if (leader == nullptr) {
    return false;
  }
  bool begun = false;
  for (const Departure& departure : request.departures) {
    const RecordDeparture change{request.node, departure};
    const bool stored =
        HasLeft(StoredDepartures(*leader->state, request.node), departure);
    if (stored || !m_pending_departures.Begin(change)) {
      continue;
    }
    begun = true;
    FleetCommand command;
    command.author = request.node;
    command.change = change;
    m_driver->SubmitAsync(std::move(command),
                          [this, change, done](const Outcome<CommandResult>&) {
                            m_pending_departures.End(change);
                            done();
                          });
  }
  return begun;
}

void ControlService::AddDepartures(const FleetState& state,
                                   const PollRequest& request,
                                   PollResponse& response) const {
  response.departures_known =
      request.wants_departures || !request.departures.empty();
  if (response.departures_known) {
    response.departures = StoredDepartures(state, request.node);
  }
}

bool ControlService::PendingDepartures::Begin(const RecordDeparture& change) {
  std::scoped_lock lock(m_mutex);
  const bool open =
      std::find(m_open.begin(), m_open.end(), change) != m_open.end();
  if (!open) {
    m_open.push_back(change);
  }
  return !open;
}

void ControlService::PendingDepartures::End(const RecordDeparture& change) {
  std::scoped_lock lock(m_mutex);
  std::erase(m_open, change);
}

void ControlService::AddMembers(TimePoint now,
                                const PollRequest& request,
                                PollResponse& response) {
  std::scoped_lock lock(m_directory.mutex);
  m_directory.members.ExpireSilent(now);
  m_directory.members.OnPoll(now, request.member, request.leaving);
  for (const ServiceCursor& cursor : request.services) {
    ServiceUpdate update = m_directory.members.UpdateSince(now, cursor);
    const bool changed = update.complete || !update.members.empty() ||
                         !update.removed.empty() ||
                         update.revision != cursor.revision;
    if (changed) {
      response.services.push_back(std::move(update));
    }
  }
}

void ControlService::AddAdmission(const ConsensusDriver::LeaderView& view,
                                  const PollRequest& request,
                                  PollResponse& response) {
  const bool in_use = !IsEvacuated(*view.state, request.member.data_centre);
  std::scoped_lock lock(m_admission.mutex);
  AdmissionPlanner& planner = m_admission.planner;
  const Outcome<Done> reported =
      Capture([&] { return planner.OnReport(view.now, request, in_use); });
  if (const auto* error = std::get_if<Error>(&reported)) {
    LogEvent(LogLevel::kError, "admission_report_invalid",
             {{"node", request.node}, {"error", error->Message()}});
  }
  response.admission_known = planner.IsComplete(view.now);
  if (!response.admission_known) {
    return;
  }
  const AdmissionPlan& plan =
      planner.Plan(view.now, [&](const std::string& account) {
        const auto limit = LimitOf(*view.state, account);
        return limit ? limit->rate : kNoLimit;
      });
  response.admission_revision = plan.revision;
  if (plan.revision != request.admission_revision) {
    response.admission = plan;
  }
}

AdmissionPlan ControlService::CurrentPlan() {
  std::scoped_lock lock(m_admission.mutex);
  return m_admission.planner.current();
}

Result<Done> ControlService::AddMeshConfiguration(
    const ConsensusDriver::LeaderView& view,
    const PollRequest& request,
    PollResponse& response) {
  const ConfigurationRecord& record = view.state->configuration;
  response.configuration_version = record.version;
  if (record.version != request.configuration_version) {
    const uint64_t reference =
        request.wants_whole_document ? 0 : request.configuration_version;
    BOOST_LEAF_ASSIGN(response.configuration,
                      m_publisher.Pack(record, reference));
  }
  response.replicas = view.voters;
  return Done{};
}

// Returns nothing while the configuration that may hold the account is being
// read; the node asks again.
std::optional<RateLimit> ControlService::LimitOf(
    const FleetState& state,
    const std::string& account) const {
  const std::shared_ptr<const Configuration> config = m_reader.Current();
  if (config != nullptr) {
    const auto& accounts = AccountsOf(*config);
    const auto found = accounts.find(account);
    if (found != accounts.end()) {
      return RateLimit{found->second.rate, found->second.burst};
    }
  }
  const uint64_t read = config == nullptr ? 0 : config->version;
  if (read != state.configuration.version) {
    return std::nullopt;
  }
  const EffectivePolicy policy = EffectiveAt(state, TreePath{"", "", account});
  return RateLimit{*policy.settings.rate, *policy.settings.burst};
}

void ControlService::AddAllowances(const ConsensusDriver::LeaderView& view,
                                   const PollRequest& request,
                                   PollResponse& response) {
  for (const AllowanceReport& report : request.allowances) {
    const auto limit = LimitOf(*view.state, report.account);
    if (!limit) {
      continue;
    }
    m_allocators.With(report.account, [&](AllocatorShard& shard) {
      AllowanceAllocator& allocator =
          shard.allocators.try_emplace(report.account, shard.since, m_lease)
              .first->second;
      response.allowances.push_back(
          allocator.OnReport(view.now, *limit, request.node, report));
    });
  }
}

void ControlService::AddQuotas(const ConsensusDriver::LeaderView& view,
                               const PollRequest& request,
                               PollResponse& response) {
  for (const QuotaReport& report : request.quotas) {
    const auto limit = LimitOf(*view.state, report.account);
    if (!limit) {
      continue;
    }
    m_allocators.With(report.account, [&](AllocatorShard& shard) {
      QuotaPool& pool =
          shard.pools
              .try_emplace(report.account, view.now, shard.last_earlier_grant,
                           m_lease, m_tolerance)
              .first->second;
      response.quotas.push_back(
          pool.OnReport(view.now, *limit, request.node, report));
    });
  }
}

CommandResponse ControlService::WaitInForce(CommandResult result,
                                            Duration limit) {
  const auto deadline =
      std::chrono::steady_clock::now() + std::chrono::milliseconds(limit.ms);
  CommandResponse response{std::move(result), false, 0, {}};
  const uint64_t version = response.result.version;
  while (true) {
    const auto view = Capture([&] { return m_driver->ReadAsLeader(); });
    const auto* leader = std::get_if<ConsensusDriver::LeaderView>(&view);
    if (leader == nullptr) {
      return response;
    }
    std::unique_lock lock(m_version_state.mutex);
    const TimePoint now = leader->now;
    response.in_force = m_version_state.versions.InForce(now) >= version;
    response.pending = m_version_state.versions.PendingNodes(now, version);
    response.pending_nodes = static_cast<uint32_t>(response.pending.size());
    if (response.in_force || std::chrono::steady_clock::now() >= deadline) {
      return response;
    }
    // Leases also expire without a notification, so the wait is bounded.
    m_version_state.changed.wait_for(lock, kInForceCheckInterval);
  }
}

}  // namespace rosemarywinch
