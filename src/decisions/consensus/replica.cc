#include "rosemarywinch/decisions/consensus/replica.h"

#include <algorithm>
#include <utility>

namespace rosemarywinch::consensus {

namespace {

// Part of the election timeout for which the leader may serve, from the send
// time of the latest round that a quorum has acknowledged. The remainder covers
// clock drift between replicas.
constexpr int64_t kLeaderLeasePercent = 80;
constexpr int64_t kPercent = 100;

size_t QuorumOf(size_t voters) {
  return voters / 2 + 1;
}

}  // namespace

Replica::Replica(Options options,
                 RecoveredState recovered,
                 Random& random,
                 TimePoint now)
    : m_options(std::move(options)),
      m_random(random),
      m_hard(std::move(recovered.hard)),
      m_log(std::move(recovered.snapshot), std::move(recovered.entries)),
      m_commit_index(m_log.snapshot().last_index),
      m_now(now),
      m_last_leader_contact(now),
      m_next_join(now) {
  ResetElectionTimer();
  if (m_commit_index > 0) {
    m_effects.push_back(RestoreState{m_log.snapshot().state});
  }
}

Effects Replica::Tick(TimePoint now) {
  m_now = now;
  if (auto* leader = std::get_if<Leader>(&m_role)) {
    TickLeader(*leader);
  } else if (!IsVoter()) {
    TickJoiner();
  } else if (now >= m_election_due) {
    StartCampaign(/*pre_vote=*/true);
    // The others may have replaced this voter while it was silent.
    SendJoinRequests();
  }
  return TakeEffects();
}

Effects Replica::Receive(TimePoint now, const PeerMessage& message) {
  m_now = now;
  if (IsForThisReplica(message)) {
    std::visit([&](const auto& body) { Handle(message, body); }, message.body);
  }
  return TakeEffects();
}

std::optional<Position> Replica::Propose(TimePoint now,
                                         FleetCommand command,
                                         Effects& effects) {
  m_now = now;
  if (!MayServe(now)) {
    return std::nullopt;
  }
  LogEntry entry{m_log.LastIndex() + 1, m_hard.term, std::move(command)};
  const Position position{entry.index, entry.term};
  AppendAsLeader(std::move(entry));
  effects = TakeEffects();
  return position;
}

Effects Replica::Compact(uint64_t index, FleetState state) {
  if (index <= m_log.snapshot().last_index || index > m_commit_index) {
    return {};
  }
  Snapshot snapshot;
  snapshot.last_index = index;
  snapshot.last_term = m_log.TermAt(index);
  snapshot.voters = m_log.snapshot().voters;
  for (uint64_t i = m_log.FirstIndex(); i <= index; ++i) {
    if (const auto* change = std::get_if<VoterChange>(&m_log.At(i).payload)) {
      snapshot.voters = change->voters;
    }
  }
  snapshot.state = std::move(state);
  m_log.InstallSnapshot(snapshot);
  m_effects.push_back(SaveSnapshot{
      std::move(snapshot), m_log.EntriesFrom(m_log.FirstIndex(), SIZE_MAX)});
  return TakeEffects();
}

bool Replica::MayServe(TimePoint now) const {
  const auto* leader = std::get_if<Leader>(&m_role);
  if (leader == nullptr || m_commit_index < leader->first_index) {
    return false;
  }
  const Duration lease =
      m_options.election_timeout * kLeaderLeasePercent / kPercent;
  return now < QuorumAckTime(*leader) + lease;
}

std::optional<TimePoint> Replica::LeaderSince() const {
  const auto* leader = std::get_if<Leader>(&m_role);
  return leader == nullptr ? std::nullopt : std::optional(leader->since);
}

bool Replica::IsVoter() const {
  return IsVoterInstance(m_hard.self.instance);
}

bool Replica::IsVoterInstance(const std::string& instance) const {
  const auto& voters = m_log.Voters();
  return std::any_of(voters.begin(), voters.end(), [&](const auto& voter) {
    return voter.instance == instance;
  });
}

bool Replica::IsForThisReplica(const PeerMessage& message) const {
  const bool joining = m_hard.cluster.empty() || message.cluster.empty();
  return message.to_replica == m_options.replica_id &&
         (joining || message.cluster == m_hard.cluster);
}

void Replica::Handle(const PeerMessage&, std::monostate) {}

void Replica::Handle(const PeerMessage& message, const VoteRequest& body) {
  // A replica that heard from a leader recently ignores vote requests: the
  // leader may still be serving under its lease.
  if (HeardFromLeader() || m_hard.cluster.empty()) {
    return;
  }
  const bool log_up_to_date = std::pair(body.last_term, body.last_index) >=
                              std::pair(m_log.LastTerm(), m_log.LastIndex());
  if (body.pre_vote) {
    const bool granted = log_up_to_date && message.term > m_hard.term;
    Send(message.from.replica_id, VoteResponse{true, granted});
    return;
  }
  AdoptTerm(message.term);
  const bool vote_available =
      m_hard.voted_for.empty() || m_hard.voted_for == message.from.instance;
  const bool granted =
      message.term == m_hard.term && log_up_to_date && vote_available;
  if (granted) {
    m_hard.voted_for = message.from.instance;
    PersistHardState();
    ResetElectionTimer();
  }
  Send(message.from.replica_id, VoteResponse{false, granted});
}

void Replica::Handle(const PeerMessage& message, const VoteResponse& body) {
  if (message.term > m_hard.term) {
    AdoptTerm(message.term);
    return;
  }
  auto* candidate = std::get_if<Candidate>(&m_role);
  const bool counts = candidate != nullptr &&
                      candidate->pre_vote == body.pre_vote && body.granted &&
                      (body.pre_vote || message.term == m_hard.term);
  if (counts) {
    candidate->granted.insert(message.from.instance);
    CountVotes();
  }
}

void Replica::Handle(const PeerMessage& message, const AppendRequest& body) {
  if (message.term < m_hard.term) {
    Send(message.from.replica_id, AppendResponse{false, 0, body.round});
    return;
  }
  AdoptLeader(message);
  if (!m_log.Matches(body.previous_index, body.previous_term) &&
      body.previous_index >= m_log.FirstIndex()) {
    const uint64_t retry = std::min(body.previous_index - 1, m_log.LastIndex());
    Send(message.from.replica_id, AppendResponse{false, retry, body.round});
    return;
  }
  AcceptEntries(body);
  const uint64_t match = std::max(body.previous_index + body.entries.size(),
                                  m_log.snapshot().last_index);
  CommitUpTo(std::min(body.commit_index, match));
  Send(message.from.replica_id, AppendResponse{true, match, body.round});
}

void Replica::AcceptEntries(const AppendRequest& body) {
  AppendEntries appended;
  for (const LogEntry& entry : body.entries) {
    if (entry.index < m_log.FirstIndex()) {
      continue;
    }
    if (entry.index <= m_log.LastIndex()) {
      if (m_log.TermAt(entry.index) == entry.term) {
        continue;
      }
      m_log.TruncateFrom(entry.index);
      m_effects.push_back(TruncateEntries{entry.index});
    }
    m_log.Append(entry);
    appended.entries.push_back(entry);
  }
  if (!appended.entries.empty()) {
    m_effects.push_back(std::move(appended));
  }
}

void Replica::Handle(const PeerMessage& message, const AppendResponse& body) {
  if (message.term > m_hard.term) {
    AdoptTerm(message.term);
    return;
  }
  auto* leader = std::get_if<Leader>(&m_role);
  if (leader == nullptr || message.term != m_hard.term) {
    return;
  }
  const auto found = leader->followers.find(message.from.instance);
  if (found == leader->followers.end()) {
    return;
  }
  Progress& follower = found->second;
  if (const auto sent = leader->rounds.find(body.round);
      sent != leader->rounds.end()) {
    follower.ack_time = std::max(follower.ack_time, sent->second);
  }
  if (!body.success) {
    follower.next_index = std::max<uint64_t>(1, body.match_index + 1);
    follower.transfer_round.reset();
    SendAppend(*leader, follower);
    return;
  }
  if (body.match_index > follower.match_index) {
    follower.match_index = body.match_index;
    follower.transfer_round.reset();
    follower.stalled_since.reset();
  }
  // Messages arrive in order, so that a transfer is lost if a later heartbeat
  // is answered first.
  if (follower.transfer_round && body.round > *follower.transfer_round) {
    follower.transfer_round.reset();
  }
  follower.next_index = follower.match_index + 1;
  if (follower.next_index > m_log.LastIndex()) {
    follower.stalled_since.reset();
  } else if (!follower.transfer_round) {
    SendAppend(*leader, follower);
  }
  AdvanceCommit(*leader);
}

void Replica::Handle(const PeerMessage& message, const SnapshotRequest& body) {
  if (message.term < m_hard.term) {
    Send(message.from.replica_id, AppendResponse{false, 0, body.round});
    return;
  }
  AdoptLeader(message);
  if (body.snapshot.last_index > m_commit_index) {
    m_log.InstallSnapshot(body.snapshot);
    m_commit_index = body.snapshot.last_index;
    m_effects.push_back(SaveSnapshot{
        body.snapshot, m_log.EntriesFrom(m_log.FirstIndex(), SIZE_MAX)});
    m_effects.push_back(RestoreState{body.snapshot.state});
  }
  Send(message.from.replica_id,
       AppendResponse{true, m_commit_index, body.round});
}

void Replica::AdoptTerm(uint64_t term) {
  if (term <= m_hard.term) {
    return;
  }
  m_hard.term = term;
  m_hard.voted_for.clear();
  PersistHardState();
  m_leader_id.reset();
  BecomeFollower();
}

void Replica::AdoptLeader(const PeerMessage& message) {
  if (m_hard.cluster.empty()) {
    m_hard.cluster = message.cluster;
    m_hard.term = 0;
  }
  AdoptTerm(message.term);
  if (!std::holds_alternative<Follower>(m_role)) {
    BecomeFollower();
  }
  m_leader_id = message.from.replica_id;
  m_last_leader_contact = m_now;
  ResetElectionTimer();
}

void Replica::BecomeFollower() {
  if (IsLeader()) {
    m_effects.push_back(RoleChanged{false, m_hard.term});
  }
  m_role = Follower{};
  ResetElectionTimer();
}

void Replica::StartCampaign(bool pre_vote) {
  m_leader_id.reset();
  if (!pre_vote) {
    ++m_hard.term;
    m_hard.voted_for = m_hard.self.instance;
    PersistHardState();
  }
  m_role = Candidate{pre_vote, {m_hard.self.instance}};
  ResetElectionTimer();
  const VoteRequest request{pre_vote, m_log.LastIndex(), m_log.LastTerm()};
  for (const ReplicaRef& voter : m_log.Voters()) {
    if (voter.instance != m_hard.self.instance) {
      Send(voter.replica_id, request);
    }
  }
  CountVotes();
}

void Replica::CountVotes() {
  const auto& candidate = std::get<Candidate>(m_role);
  const auto& voters = m_log.Voters();
  const auto granted =
      std::count_if(voters.begin(), voters.end(), [&](const ReplicaRef& voter) {
        return candidate.granted.contains(voter.instance);
      });
  if (static_cast<size_t>(granted) < QuorumOf(voters.size())) {
    return;
  }
  if (candidate.pre_vote) {
    StartCampaign(/*pre_vote=*/false);
  } else {
    BecomeLeader();
  }
}

void Replica::BecomeLeader() {
  Leader leader;
  leader.since = m_now;
  leader.first_index = m_log.LastIndex() + 1;
  leader.next_heartbeat = m_now;
  m_role = std::move(leader);
  m_leader_id = m_options.replica_id;
  m_effects.push_back(RoleChanged{true, m_hard.term});
  TrackVoters(std::get<Leader>(m_role));
  AppendAsLeader(LogEntry{m_log.LastIndex() + 1, m_hard.term, Noop{}});
}

void Replica::TickLeader(Leader& leader) {
  const TimePoint quorum = QuorumAckTime(leader);
  if (m_now >= quorum + m_options.election_timeout) {
    m_leader_id.reset();
    BecomeFollower();
    return;
  }
  RemoveLostVoter(leader);
  if (m_now >= leader.next_heartbeat) {
    BroadcastAppend(leader);
  }
}

void Replica::BroadcastAppend(Leader& leader) {
  leader.next_heartbeat = m_now + m_options.heartbeat;
  ++leader.round;
  leader.rounds[leader.round] = m_now;
  while (leader.rounds.begin()->second + m_options.election_timeout < m_now) {
    leader.rounds.erase(leader.rounds.begin());
  }
  for (auto& [instance, follower] : leader.followers) {
    SendAppend(leader, follower);
  }
}

// While a transfer is under way, only a heartbeat is sent: a follower that is
// busy with large entries would otherwise get them again with each one.
void Replica::SendAppend(Leader& leader, Progress& follower) {
  const bool behind = follower.next_index <= m_log.LastIndex();
  if (behind && follower.transfer_round) {
    SendHeartbeat(leader, follower);
    return;
  }
  if (behind) {
    BeginTransfer(leader, follower);
  }
  if (follower.next_index < m_log.FirstIndex()) {
    Send(follower.replica_id, SnapshotRequest{m_log.snapshot(), leader.round});
    return;
  }
  const uint64_t previous = follower.next_index - 1;
  AppendRequest request;
  request.previous_index = previous;
  request.previous_term = m_log.TermAt(previous);
  request.entries =
      m_log.EntriesFrom(follower.next_index, kMaxEntriesPerMessage);
  request.commit_index = m_commit_index;
  request.round = leader.round;
  Send(follower.replica_id, std::move(request));
}

// Claims nothing of the follower's log.
void Replica::SendHeartbeat(const Leader& leader, const Progress& follower) {
  AppendRequest request;
  request.commit_index = m_commit_index;
  request.round = leader.round;
  Send(follower.replica_id, std::move(request));
}

void Replica::BeginTransfer(const Leader& leader, Progress& follower) {
  follower.transfer_round = leader.round;
  if (!follower.stalled_since) {
    follower.stalled_since = m_now;
  }
}

void Replica::AppendAsLeader(LogEntry entry) {
  m_log.Append(entry);
  m_effects.push_back(AppendEntries{{std::move(entry)}});
  auto& leader = std::get<Leader>(m_role);
  TrackVoters(leader);
  BroadcastAppend(leader);
  AdvanceCommit(leader);
}

void Replica::AdvanceCommit(Leader& leader) {
  std::vector<uint64_t> matches;
  for (const ReplicaRef& voter : m_log.Voters()) {
    const bool self = voter.instance == m_hard.self.instance;
    const auto found = leader.followers.find(voter.instance);
    const uint64_t match =
        found == leader.followers.end() ? 0 : found->second.match_index;
    matches.push_back(self ? m_log.LastIndex() : match);
  }
  std::sort(matches.rbegin(), matches.rend());
  const uint64_t replicated = matches.at(QuorumOf(matches.size()) - 1);
  // Entries of earlier terms are committed only together with a later entry of
  // the current term.
  if (replicated > m_commit_index && m_log.TermAt(replicated) == m_hard.term) {
    CommitUpTo(replicated);
  }
}

void Replica::CommitUpTo(uint64_t index) {
  const uint64_t last = std::min(index, m_log.LastIndex());
  for (uint64_t i = m_commit_index + 1; i <= last; ++i) {
    m_commit_index = i;
    const LogEntry& entry = m_log.At(i);
    if (const auto* command = std::get_if<FleetCommand>(&entry.payload)) {
      m_effects.push_back(ApplyCommand{i, *command});
    }
  }
}

void Replica::Send(uint32_t to, decltype(PeerMessage::body) body) {
  PeerMessage message;
  message.protocol_version = kProtocolVersion;
  message.cluster = m_hard.cluster;
  message.from = m_hard.self;
  message.to_replica = to;
  message.term = m_hard.term;
  if (const auto* vote = std::get_if<VoteRequest>(&body)) {
    message.term += vote->pre_vote ? 1 : 0;
  }
  message.body = std::move(body);
  m_effects.push_back(SendMessage{std::move(message)});
}

void Replica::PersistHardState() {
  m_effects.push_back(SaveHardState{m_hard});
}

void Replica::ResetElectionTimer() {
  const int64_t base = m_options.election_timeout.ms;
  const auto jitter =
      static_cast<int64_t>(m_random.Below(static_cast<uint64_t>(base)));
  m_election_due = m_now + Duration{base + jitter};
}

bool Replica::HeardFromLeader() const {
  return IsLeader() ||
         m_now < m_last_leader_contact + m_options.election_timeout;
}

TimePoint Replica::QuorumAckTime(const Leader& leader) const {
  std::vector<TimePoint> times;
  for (const ReplicaRef& voter : m_log.Voters()) {
    const bool self = voter.instance == m_hard.self.instance;
    const auto found = leader.followers.find(voter.instance);
    const TimePoint last_ack =
        found == leader.followers.end() ? leader.since : found->second.ack_time;
    times.push_back(self ? TimePoint{INT64_MAX / 2} : last_ack);
  }
  std::sort(times.rbegin(), times.rend());
  return times.at(QuorumOf(times.size()) - 1);
}

Effects Replica::TakeEffects() {
  return std::exchange(m_effects, {});
}

}  // namespace rosemarywinch::consensus
