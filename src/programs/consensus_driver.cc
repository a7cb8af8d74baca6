#include "rosemarywinch/programs/consensus_driver.h"

#include <chrono>
#include <utility>

#include "rosemarywinch/adapters/log.h"
#include "rosemarywinch/decisions/fleet/fleet_store.h"

namespace rosemarywinch {

namespace {

constexpr size_t kInstanceBytes = 8;
// Interval between attempts to recover from the storage after a failed write.
constexpr Duration kDiskRetryInterval{500};
constexpr int64_t kTicksPerHeartbeat = 3;

}  // namespace

ConsensusDriver::ConsensusDriver(Options options,
                                 Clock& clock,
                                 Random& random,
                                 Storage& storage,
                                 PeerTransport& transport,
                                 ConsensusListener& listener)
    : m_options(std::move(options)),
      m_clock(clock),
      m_random(random),
      m_storage(storage),
      m_transport(transport),
      m_listener(listener) {}

ConsensusDriver::~ConsensusDriver() {
  Stop();
}

Result<Done> ConsensusDriver::Start() {
  std::scoped_lock lock(m_mutex);
  BOOST_LEAF_CHECK(Load());
  m_ticker = std::thread([this] { TickLoop(); });
  return Done{};
}

// Builds the replica from the recovered storage. Requires m_mutex.
Result<Done> ConsensusDriver::Load() {
  BOOST_LEAF_AUTO(recovered, m_storage.Recover());
  if (recovered.hard.self.instance.empty()) {
    recovered.hard.self = {m_options.replica.replica_id,
                           m_random.Hex(kInstanceBytes)};
    BOOST_LEAF_CHECK(m_storage.SaveHardState(recovered.hard));
    LogEvent(LogLevel::kInfo, "new_data_folder",
             {{"instance", recovered.hard.self.instance}});
  }
  m_state = {};
  m_published.reset();
  m_replica = std::make_unique<consensus::Replica>(
      m_options.replica, std::move(recovered), m_random, m_clock.Now());
  m_replica->AddKnownReplicas(m_known_replicas);
  return Done{};
}

// After a failed write the replica must neither vote nor answer, because what
// it says may not be durable. RetryDisk() rebuilds it from what the disk holds.
void ConsensusDriver::HandleWriteResult(const Outcome<Done>& written) {
  if (const auto* error = std::get_if<Error>(&written)) {
    LogEvent(LogLevel::kError, "disk_failed", {{"error", error->Message()}});
    m_disk_failed = true;
    m_disk_retry = m_clock.Now() + kDiskRetryInterval;
    m_listener.OnFollower(m_clock.Now());
    FailWaiters();
  }
}

void ConsensusDriver::RetryDisk() {
  if (m_clock.Now() < m_disk_retry) {
    return;
  }
  m_disk_retry = m_clock.Now() + kDiskRetryInterval;
  const Outcome<Done> loaded = Capture([&] { return Load(); });
  m_disk_failed = std::holds_alternative<Error>(loaded);
  LogEvent(LogLevel::kInfo, "disk_retried",
           {{"failed", m_disk_failed ? "true" : "false"}});
}

void ConsensusDriver::Stop() {
  {
    std::scoped_lock lock(m_mutex);
    m_stopping = true;
    FailWaiters();
    m_changed.notify_all();
  }
  if (m_ticker.joinable()) {
    m_ticker.join();
  }
}

void ConsensusDriver::TickLoop() {
  const std::chrono::milliseconds pause(m_options.replica.heartbeat.ms /
                                        kTicksPerHeartbeat);
  std::unique_lock lock(m_mutex);
  while (!m_stopping) {
    if (m_disk_failed) {
      RetryDisk();
    } else {
      Execute(m_replica->Tick(m_clock.Now()));
      CompactIfLong();
    }
    const auto due = std::chrono::steady_clock::now() + pause;
    m_changed.wait_until(lock, due, [this] { return m_stopping; });
  }
}

void ConsensusDriver::Receive(const PeerMessage& message) {
  std::scoped_lock lock(m_mutex);
  if (!m_stopping && !m_disk_failed && m_replica != nullptr) {
    Execute(m_replica->Receive(m_clock.Now(), message));
  }
}

void ConsensusDriver::AddKnownReplicas(const std::vector<uint32_t>& ids) {
  std::scoped_lock lock(m_mutex);
  m_known_replicas.insert(m_known_replicas.end(), ids.begin(), ids.end());
  m_replica->AddKnownReplicas(ids);
}

void ConsensusDriver::SubmitAsync(FleetCommand command, SubmitCallback done) {
  std::scoped_lock lock(m_mutex);
  consensus::Effects effects;
  const auto position =
      MayServe(m_clock.Now())
          ? m_replica->Propose(m_clock.Now(), std::move(command), effects)
          : std::nullopt;
  if (!position) {
    done(NotLeader());
    return;
  }
  m_waiters[position->index] = Waiter{position->term, std::move(done)};
  Execute(effects);
}

Result<CommandResult> ConsensusDriver::Submit(FleetCommand command,
                                              Duration limit) {
  struct Wait {
    std::mutex mutex;
    std::condition_variable changed;
    std::optional<Outcome<CommandResult>> outcome;
  };
  const auto wait = std::make_shared<Wait>();
  SubmitAsync(std::move(command), [wait](Outcome<CommandResult> outcome) {
    std::scoped_lock lock(wait->mutex);
    wait->outcome = std::move(outcome);
    wait->changed.notify_all();
  });
  std::unique_lock lock(wait->mutex);
  wait->changed.wait_for(lock, std::chrono::milliseconds(limit.ms),
                         [&] { return wait->outcome.has_value(); });
  if (!wait->outcome) {
    return Fail(ErrorId::kNotAccepted,
                "no quorum acknowledged the command in time");
  }
  return ToResult(std::move(*wait->outcome));
}

Result<ConsensusDriver::LeaderView> ConsensusDriver::ReadAsLeader() {
  std::scoped_lock lock(m_mutex);
  const TimePoint now = m_clock.Now();
  if (!MayServe(now)) {
    return boost::leaf::new_error(NotLeader());
  }
  if (m_published == nullptr) {
    m_published = std::make_shared<const FleetState>(m_state);
  }
  return LeaderView{now, m_replica->hard_state().cluster, m_replica->term(),
                    m_published, VoterIds()};
}

std::vector<uint32_t> ConsensusDriver::VoterIds() const {
  std::vector<uint32_t> ids;
  for (const ReplicaRef& voter : m_replica->log().Voters()) {
    ids.push_back(voter.replica_id);
  }
  return ids;
}

ControlStatus ConsensusDriver::Status() {
  std::scoped_lock lock(m_mutex);
  const auto& log = m_replica->log();
  ControlStatus status;
  status.replica_id = m_options.replica.replica_id;
  status.instance = m_replica->hard_state().self.instance;
  status.cluster = m_replica->hard_state().cluster;
  status.leader = m_replica->MayServe(m_clock.Now());
  status.leader_id = m_replica->leader_id().value_or(0);
  status.term = m_replica->term();
  status.last_index = log.LastIndex();
  status.commit_index = m_replica->commit_index();
  status.snapshot_index = log.snapshot().last_index;
  status.version = m_state.version;
  status.evacuated = m_state.evacuated;
  status.voters = static_cast<uint32_t>(log.Voters().size());
  status.voter = m_replica->IsVoter();
  return status;
}

void ConsensusDriver::Execute(const consensus::Effects& effects) {
  for (const consensus::Effect& effect : effects) {
    // Later effects rely on earlier writes, so they are dropped after a failed
    // write.
    if (m_disk_failed) {
      return;
    }
    std::visit([this](const auto& kind) { Execute(kind); }, effect);
  }
}

void ConsensusDriver::Execute(const consensus::SaveHardState& effect) {
  HandleWriteResult(
      Capture([&] { return m_storage.SaveHardState(effect.state); }));
}

void ConsensusDriver::Execute(const consensus::AppendEntries& effect) {
  HandleWriteResult(Capture([&] { return m_storage.Append(effect.entries); }));
}

void ConsensusDriver::Execute(const consensus::TruncateEntries& effect) {
  HandleWriteResult(
      Capture([&] { return m_storage.TruncateFrom(effect.from); }));
}

void ConsensusDriver::Execute(const consensus::SaveSnapshot& effect) {
  HandleWriteResult(Capture([&] {
    return m_storage.SaveSnapshot(effect.snapshot, effect.entries_after);
  }));
}

void ConsensusDriver::Execute(const consensus::SendMessage& effect) {
  m_transport.Send(effect.message);
}

void ConsensusDriver::Execute(const consensus::ApplyCommand& effect) {
  CommandResult result = rosemarywinch::ApplyCommand(m_state, effect.command);
  m_published.reset();
  m_listener.OnApplied(m_clock.Now(), m_state);
  const auto found = m_waiters.find(effect.index);
  if (found == m_waiters.end()) {
    return;
  }
  const Waiter waiter = std::move(found->second);
  m_waiters.erase(found);
  if (m_replica->log().TermAt(effect.index) == waiter.term) {
    waiter.done(std::move(result));
  } else {
    waiter.done(Error{ErrorId::kNotAccepted,
                      "overwritten by the command of another leader"});
  }
}

void ConsensusDriver::Execute(const consensus::RestoreState& effect) {
  m_state = effect.state;
  m_published.reset();
  m_listener.OnApplied(m_clock.Now(), m_state);
}

void ConsensusDriver::Execute(const consensus::RoleChanged& effect) {
  const TimePoint now = m_clock.Now();
  LogEvent(LogLevel::kInfo, effect.leader ? "leader" : "follower",
           {{"term", std::to_string(effect.term)}});
  if (effect.leader) {
    m_listener.OnLeader(now, effect.term, m_state);
    return;
  }
  m_listener.OnFollower(now);
  FailWaiters();
}

void ConsensusDriver::FailWaiters() {
  for (const auto& [index, waiter] : std::exchange(m_waiters, {})) {
    waiter.done(
        Error{ErrorId::kNotAccepted,
              "the replica stopped serving before the command was applied"});
  }
}

bool ConsensusDriver::MayServe(TimePoint now) const {
  const bool founded = m_state.version > 0 ||
                       m_replica->VoterCount() >= m_options.founding_voters;
  return !m_disk_failed && founded && m_replica->MayServe(now);
}

void ConsensusDriver::CompactIfLong() {
  const auto& log = m_replica->log();
  const uint64_t commit = m_replica->commit_index();
  if (!m_disk_failed &&
      commit >= log.snapshot().last_index + m_options.snapshot_entries) {
    Execute(m_replica->Compact(commit, m_state));
  }
}

Error ConsensusDriver::NotLeader() const {
  const auto leader = m_replica->leader_id();
  return {ErrorId::kNotLeader, leader ? std::to_string(*leader) : ""};
}

}  // namespace rosemarywinch
