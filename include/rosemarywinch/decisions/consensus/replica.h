#ifndef ROSEMARYWINCH_DECISIONS_CONSENSUS_REPLICA_H_
#define ROSEMARYWINCH_DECISIONS_CONSENSUS_REPLICA_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "rosemarywinch/core/time.h"
#include "rosemarywinch/decisions/consensus/replicated_log.h"
#include "rosemarywinch/interfaces/random.h"
#include "rosemarywinch/interfaces/storage.h"
#include "rosemarywinch/schema/consensus.h"

namespace rosemarywinch::consensus {

/// Version of the messages between replicas, nodes and operators.
inline constexpr uint32_t kProtocolVersion = 1;

/// What the driver must do, in the order given. A later effect may rely on
/// the ones before it being synced.
struct SaveHardState {
  HardState state;
};
struct AppendEntries {
  std::vector<LogEntry> entries;
};
struct TruncateEntries {
  uint64_t from = 0;
};
struct SaveSnapshot {
  Snapshot snapshot;
  std::vector<LogEntry> entries_after;
};
struct SendMessage {
  PeerMessage message;
};
struct ApplyCommand {
  uint64_t index = 0;
  FleetCommand command;
};
struct RestoreState {
  FleetState state;
};
struct RoleChanged {
  bool leader = false;
  uint64_t term = 0;
};
using Effect = std::variant<SaveHardState,
                            AppendEntries,
                            TruncateEntries,
                            SaveSnapshot,
                            SendMessage,
                            ApplyCommand,
                            RestoreState,
                            RoleChanged>;
using Effects = std::vector<Effect>;

/// Where a proposed command will stand if it commits.
struct Position {
  uint64_t index = 0;
  uint64_t term = 0;
};

/// One replica of the leader-based replicated log. Pure: time and messages
/// come in, effects come out. The caller serialises all calls.
///
/// A replica whose data folder is lost starts under a new instance. It never
/// votes until the log itself names that instance as a voter, which the leader
/// proposes once the replica has caught up.
class Replica {
 public:
  struct Options {
    uint32_t replica_id = 0;
    /// Ids of all configured replicas, this one included.
    std::vector<uint32_t> replica_ids;
    Duration heartbeat{150};
    Duration election_timeout{1000};
    /// Whether this replica may make a new cluster when all are empty.
    bool may_bootstrap = true;
    /// Voters that the cluster has when all are well; further replicas stay
    /// learners, ready to replace a voter that is lost. 0 admits every one.
    size_t max_voters = 0;
    /// Silence after which a voter counts as lost.
    Duration voter_timeout{3000};
  };

  /// `recovered.hard.self.instance` must be set by the caller.
  Replica(Options options,
          RecoveredState recovered,
          Random& random,
          TimePoint now);

  /// Handles the passing of time. Call at least once a heartbeat.
  Effects Tick(TimePoint now);

  /// Handles a message from another replica.
  Effects Receive(TimePoint now, const PeerMessage& message);

  /// Appends a command. Returns nothing unless this replica may serve.
  std::optional<Position> Propose(TimePoint now,
                                  FleetCommand command,
                                  Effects& effects);

  /// Replaces the log up to `index` by a snapshot of the state at `index`.
  Effects Compact(uint64_t index, FleetState state);

  /// Names replicas to ask for the leader while this one is no voter.
  void AddKnownReplicas(const std::vector<uint32_t>& ids) {
    m_known_replicas.insert(ids.begin(), ids.end());
  }

  /// Tells whether this replica leads, holds the leader lease and has applied
  /// an entry of its own term. Only then may it answer for the cluster.
  bool MayServe(TimePoint now) const;

  bool IsLeader() const { return std::holds_alternative<Leader>(m_role); }
  bool IsVoter() const;
  uint64_t term() const { return m_hard.term; }
  const HardState& hard_state() const { return m_hard; }
  uint64_t commit_index() const { return m_commit_index; }
  const ReplicatedLog& log() const { return m_log; }
  std::optional<uint32_t> leader_id() const { return m_leader_id; }
  size_t VoterCount() const { return m_log.Voters().size(); }
  /// Returns the time at which this replica won its term.
  std::optional<TimePoint> LeaderSince() const;

  /// Number of entries sent in one message at most.
  static constexpr size_t kMaxEntriesPerMessage = 64;

 private:
  /// What the leader knows of one follower.
  struct Progress {
    uint32_t replica_id = 0;
    uint64_t next_index = 1;
    uint64_t match_index = 0;
    /// Send time of the newest round that the follower has answered.
    TimePoint ack_time;
  };
  struct Follower {};
  struct Candidate {
    bool pre_vote = true;
    std::set<std::string> granted;
  };
  struct Leader {
    TimePoint since;
    uint64_t first_index = 0;
    uint64_t round = 0;
    TimePoint next_heartbeat;
    std::map<uint64_t, TimePoint> rounds;
    std::map<std::string, Progress> followers;
  };
  using Role = std::variant<Follower, Candidate, Leader>;

  void Handle(const PeerMessage& message, const VoteRequest& body);
  void Handle(const PeerMessage& message, const VoteResponse& body);
  void Handle(const PeerMessage& message, const AppendRequest& body);
  void Handle(const PeerMessage& message, const AppendResponse& body);
  void Handle(const PeerMessage& message, const SnapshotRequest& body);
  void Handle(const PeerMessage& message, const JoinRequest& body);
  void Handle(const PeerMessage& message, const JoinResponse& body);
  void Handle(const PeerMessage& message, std::monostate body);

  bool IsForThisReplica(const PeerMessage& message) const;
  void AdoptTerm(uint64_t term);
  void AdoptLeader(const PeerMessage& message);
  void BecomeFollower();
  void StartCampaign(bool pre_vote);
  void BecomeLeader();
  void CountVotes();
  void Bootstrap();
  void TickJoiner();
  void TickLeader(Leader& leader);
  void SendJoinRequests();
  void BroadcastAppend(Leader& leader);
  void SendAppend(Leader& leader, Progress& follower);
  void AdvanceCommit(Leader& leader);
  void CommitUpTo(uint64_t index);
  void AdmitIfCaughtUp(Leader& leader, const ReplicaRef& learner);
  bool HasRoomForVoter(const Leader& leader) const;
  bool IsLost(const Leader& leader, const ReplicaRef& voter) const;
  void RemoveLostVoter(Leader& leader);
  bool CanChangeVoters(const Leader& leader) const;
  void TrackVoters(Leader& leader);
  void AppendAsLeader(LogEntry entry);
  void AcceptEntries(const AppendRequest& body);
  void Send(uint32_t to, decltype(PeerMessage::body) body);
  void PersistHardState();
  void ResetElectionTimer();
  bool HeardFromLeader() const;
  TimePoint QuorumAckTime(const Leader& leader) const;
  bool IsVoterInstance(const std::string& instance) const;
  Effects TakeEffects();

  const Options m_options;
  Random& m_random;
  HardState m_hard;
  ReplicatedLog m_log;
  uint64_t m_commit_index = 0;
  Role m_role;
  std::optional<uint32_t> m_leader_id;
  TimePoint m_now;
  TimePoint m_last_leader_contact;
  TimePoint m_election_due;
  TimePoint m_next_join;
  std::set<uint32_t> m_empty_peers;
  /// Replicas that the answers of others named.
  std::set<uint32_t> m_known_replicas;
  Effects m_effects;
};

}  // namespace rosemarywinch::consensus

#endif  // ROSEMARYWINCH_DECISIONS_CONSENSUS_REPLICA_H_
