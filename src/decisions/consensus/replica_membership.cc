// Cluster membership: bootstrapping and joining a cluster, and replacing voters
// that are permanently lost.
#include <algorithm>
#include <utility>

#include "rosemarywinch/decisions/consensus/replica.h"

namespace rosemarywinch::consensus {

namespace {

constexpr size_t kClusterIdBytes = 8;

}  // namespace

void Replica::Handle(const PeerMessage& message, const JoinRequest&) {
  Send(message.from.replica_id,
       JoinResponse{m_hard.cluster.empty(), message.from.instance,
                    m_leader_id.value_or(0)});
  auto* leader = std::get_if<Leader>(&m_role);
  if (leader == nullptr || message.from.replica_id == m_options.replica_id) {
    return;
  }
  const auto [entry, added] =
      leader->followers.try_emplace(message.from.instance);
  if (added) {
    entry->second.replica_id = message.from.replica_id;
    entry->second.next_index = m_log.LastIndex() + 1;
    SendAppend(*leader, entry->second);
  }
  AdmitIfCaughtUp(*leader, message.from);
}

void Replica::Handle(const PeerMessage& message, const JoinResponse& body) {
  if (body.leader_id != 0) {
    m_known_replicas.insert(body.leader_id);
  }
  const bool current = m_hard.cluster.empty() && body.empty &&
                       body.to_instance == m_hard.self.instance;
  if (!current) {
    return;
  }
  m_empty_peers.insert(message.from.replica_id);
  const auto& ids = m_options.replica_ids;
  const bool first =
      m_options.may_bootstrap &&
      *std::min_element(ids.begin(), ids.end()) == m_options.replica_id;
  if (first && m_empty_peers.size() + 1 == ids.size()) {
    Bootstrap();
  }
}

void Replica::Bootstrap() {
  m_hard.cluster = m_random.Hex(kClusterIdBytes);
  PersistHardState();
  const LogEntry first{1, m_hard.term, VoterChange{{m_hard.self}}};
  m_log.Append(first);
  m_effects.push_back(AppendEntries{{first}});
  StartCampaign(/*pre_vote=*/false);
}

void Replica::TickJoiner() {
  if (m_now < m_next_join) {
    return;
  }
  m_next_join = m_now + m_options.heartbeat;
  const bool single_replica = m_options.replica_ids.size() == 1 &&
                              m_options.replica_ids[0] == m_options.replica_id;
  if (m_hard.cluster.empty() && single_replica && m_options.may_bootstrap) {
    Bootstrap();
    return;
  }
  SendJoinRequests();
}

void Replica::SendJoinRequests() {
  std::set<uint32_t> ids(m_options.replica_ids.begin(),
                         m_options.replica_ids.end());
  ids.insert(m_known_replicas.begin(), m_known_replicas.end());
  for (const ReplicaRef& voter : m_log.Voters()) {
    ids.insert(voter.replica_id);
  }
  for (uint32_t id : ids) {
    if (id != m_options.replica_id) {
      Send(id, JoinRequest{m_hard.cluster.empty()});
    }
  }
}

bool Replica::CanChangeVoters(const Leader& leader) const {
  return m_commit_index >= leader.first_index &&
         m_commit_index >= m_log.VotersIndex();
}

bool Replica::IsLost(const Leader& leader, const ReplicaRef& voter) const {
  if (voter.instance == m_hard.self.instance) {
    return false;
  }
  const auto found = leader.followers.find(voter.instance);
  if (found == leader.followers.end()) {
    return m_now >= leader.since + m_options.voter_timeout;
  }
  const Progress& progress = found->second;
  const TimePoint stalled = progress.stalled_since.value_or(m_now);
  return m_now >=
         std::min(progress.ack_time, stalled) + m_options.voter_timeout;
}

bool Replica::HasRoomForVoter(const Leader& leader) const {
  const auto& voters = m_log.Voters();
  const auto live = std::count_if(
      voters.begin(), voters.end(),
      [&](const ReplicaRef& voter) { return !IsLost(leader, voter); });
  return m_options.max_voters == 0 ||
         static_cast<size_t>(live) < m_options.max_voters;
}

void Replica::RemoveLostVoter(Leader& leader) {
  const auto& voters = m_log.Voters();
  const bool has_surplus_voter =
      m_options.max_voters > 0 && voters.size() > m_options.max_voters;
  if (!has_surplus_voter || !CanChangeVoters(leader)) {
    return;
  }
  const auto lost =
      std::find_if(voters.begin(), voters.end(),
                   [&](const ReplicaRef& v) { return IsLost(leader, v); });
  if (lost == voters.end()) {
    return;
  }
  VoterChange change{voters};
  change.voters.erase(change.voters.begin() + (lost - voters.begin()));
  AppendAsLeader(
      LogEntry{m_log.LastIndex() + 1, m_hard.term, std::move(change)});
}

void Replica::AdmitIfCaughtUp(Leader& leader, const ReplicaRef& learner) {
  const Progress& progress = leader.followers.at(learner.instance);
  const bool caught_up = progress.match_index >= m_commit_index;
  if (!CanChangeVoters(leader) || !caught_up ||
      IsVoterInstance(learner.instance)) {
    return;
  }
  // Only one voter changes at a time: the old instance is removed first, and
  // the new one is added on its next join request.
  VoterChange change{m_log.Voters()};
  const auto replaced =
      std::erase_if(change.voters, [&](const ReplicaRef& voter) {
        return voter.replica_id == learner.replica_id;
      });
  if (replaced == 0 && !HasRoomForVoter(leader)) {
    return;
  }
  if (replaced == 0) {
    change.voters.push_back(learner);
  }
  AppendAsLeader(
      LogEntry{m_log.LastIndex() + 1, m_hard.term, std::move(change)});
}

void Replica::TrackVoters(Leader& leader) {
  for (const ReplicaRef& voter : m_log.Voters()) {
    if (voter.instance == m_hard.self.instance) {
      continue;
    }
    const auto [entry, added] = leader.followers.try_emplace(voter.instance);
    if (added) {
      entry->second.replica_id = voter.replica_id;
      entry->second.next_index = m_log.LastIndex() + 1;
      entry->second.ack_time = leader.since;
    }
  }
}

}  // namespace rosemarywinch::consensus
