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

/// Version of the messages between replicas, nodes and operators. Version 1
/// wrote the names of the fields in messages between processes.
inline constexpr uint32_t kProtocolVersion = 2;

/// Effects that the driver must carry out in the given order. A later effect
/// may rely on the preceding ones being synced to disk.
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

/// Position in the log that a proposed command has if it is committed.
struct Position {
  uint64_t index = 0;
  uint64_t term = 0;
};

/// One replica of a leader-based replicated log in the manner of Raft, with
/// pre-vote, leader lease, snapshots and single-voter membership changes.
/// Performs no I/O: time and messages are its inputs, effects its outputs. Not
/// thread-safe: the caller serialises all calls.
///
/// A replica that lost its data folder starts as a new instance. It does not
/// campaign, and its votes are not counted, until a voter change in the log
/// names that instance. The leader proposes this change once the replica has
/// caught up.
class Replica {
 public:
  struct Options {
    uint32_t replica_id = 0;
    /// Ids of all configured replicas, including this one.
    std::vector<uint32_t> replica_ids;
    Duration heartbeat{150};
    Duration election_timeout{1000};
    /// Whether this replica may bootstrap a new cluster when all configured
    /// replicas are empty.
    bool may_bootstrap = true;
    /// Maximum number of live voters. Further replicas stay learners and can
    /// replace a lost voter. 0 means no limit.
    size_t max_voters = 0;
    /// Time without an acknowledgement after which a voter counts as lost.
    Duration voter_timeout{3000};
  };

  /// `recovered.hard.self.instance` must be set by the caller.
  Replica(Options options,
          RecoveredState recovered,
          Random& random,
          TimePoint now);

  /// Advances time and starts what is due: elections, heartbeats and join
  /// requests. Must be called at least once per heartbeat interval.
  Effects Tick(TimePoint now);

  /// Handles a message from another replica.
  Effects Receive(TimePoint now, const PeerMessage& message);

  /// Appends a command to the log. Returns nothing unless MayServe().
  std::optional<Position> Propose(TimePoint now,
                                  FleetCommand command,
                                  Effects& effects);

  /// Replaces the log up to and including `index` by a snapshot of the state at
  /// `index`.
  Effects Compact(uint64_t index, FleetState state);

  /// Adds replicas to which join requests are sent while this one is not a
  /// voter.
  void AddKnownReplicas(const std::vector<uint32_t>& ids) {
    m_known_replicas.insert(ids.begin(), ids.end());
  }

  /// Returns true if this replica is the leader, holds the leader lease and has
  /// committed an entry of its own term. Only then may it answer requests on
  /// behalf of the cluster.
  bool MayServe(TimePoint now) const;

  bool IsLeader() const { return std::holds_alternative<Leader>(m_role); }
  bool IsVoter() const;
  uint64_t term() const { return m_hard.term; }
  const HardState& hard_state() const { return m_hard; }
  uint64_t commit_index() const { return m_commit_index; }
  const ReplicatedLog& log() const { return m_log; }
  std::optional<uint32_t> leader_id() const { return m_leader_id; }
  size_t VoterCount() const { return m_log.Voters().size(); }
  /// Returns the time at which this replica became leader, or nothing if it is
  /// not the leader.
  std::optional<TimePoint> LeaderSince() const;

  /// Maximum number of log entries in one message.
  static constexpr size_t kMaxEntriesPerMessage = 64;

 private:
  /// The leader's record of the replication progress of one follower.
  struct Progress {
    uint32_t replica_id = 0;
    uint64_t next_index = 1;
    uint64_t match_index = 0;
    /// Send time of the latest round that the follower has acknowledged.
    TimePoint ack_time;
    /// Round in which entries or a snapshot were sent that the follower hasn't
    /// answered yet.
    std::optional<uint64_t> transfer_round;
    /// Since when the follower has stored nothing of what it was sent.
    std::optional<TimePoint> stalled_since;
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
  void SendHeartbeat(const Leader& leader, const Progress& follower);
  void BeginTransfer(const Leader& leader, Progress& follower);
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
  /// Replicas named by AddKnownReplicas() and in join responses.
  std::set<uint32_t> m_known_replicas;
  Effects m_effects;
};

}  // namespace rosemarywinch::consensus

#endif  // ROSEMARYWINCH_DECISIONS_CONSENSUS_REPLICA_H_
