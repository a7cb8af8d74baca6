#ifndef ROSEMARYWINCH_PROGRAMS_CONSENSUS_DRIVER_H_
#define ROSEMARYWINCH_PROGRAMS_CONSENSUS_DRIVER_H_

#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "rosemarywinch/core/error.h"
#include "rosemarywinch/decisions/consensus/replica.h"
#include "rosemarywinch/interfaces/clock.h"
#include "rosemarywinch/interfaces/peer_transport.h"
#include "rosemarywinch/interfaces/random.h"
#include "rosemarywinch/interfaces/storage.h"
#include "rosemarywinch/schema/control.h"
#include "rosemarywinch/schema/fleet.h"

namespace rosemarywinch {

/// Receives events of the replicated log, with the state that this replica has
/// applied. Called with the driver's lock held; implementations must not call
/// back into the driver.
class ConsensusListener {
 public:
  virtual ~ConsensusListener() = default;
  virtual void OnLeader(TimePoint now,
                        uint64_t term,
                        const FleetState& state) = 0;
  virtual void OnFollower(TimePoint now) = 0;
  virtual void OnApplied(TimePoint now, const FleetState& state) = 0;
};

/// Runs a Replica: executes its effects, applies committed commands to the
/// fleet's state and completes the calls that wait for them. Thread-safe; the
/// replica and the state are one shard under one lock.
class ConsensusDriver {
 public:
  struct Options {
    consensus::Replica::Options replica;
    uint64_t snapshot_entries = 256;
    /// Number of voters that a new cluster needs before its leader serves. With
    /// fewer, the loss of one disk could lose an accepted command.
    size_t founding_voters = 1;
  };

  ConsensusDriver(Options options,
                  Clock& clock,
                  Random& random,
                  Storage& storage,
                  PeerTransport& transport,
                  ConsensusListener& listener);
  ~ConsensusDriver();
  ConsensusDriver(const ConsensusDriver&) = delete;
  ConsensusDriver& operator=(const ConsensusDriver&) = delete;

  /// Recovers the replica from the storage and starts the ticker thread.
  /// Errors: those of Storage::Recover() and, for a new data folder, of
  /// Storage::SaveHardState().
  Result<Done> Start();
  void Stop();

  void Receive(const PeerMessage& message);

  /// Adds replicas that may know the leader.
  void AddKnownReplicas(const std::vector<uint32_t>& ids);

  /// Completion callback of a proposed command. Called with the driver's lock
  /// held; must not call back into the driver.
  using SubmitCallback = std::function<void(Outcome<CommandResult>)>;

  /// Proposes a command and calls `done` once it is applied or the replica
  /// stops waiting for it. Errors: kNotLeader; kNotAccepted if the command was
  /// overwritten or its outcome is unknown.
  void SubmitAsync(FleetCommand command, SubmitCallback done);

  /// Proposes a command and waits up to `limit` until it is applied.
  /// Errors: kNotLeader; kNotAccepted if the command was overwritten or its
  /// outcome is unknown.
  Result<CommandResult> Submit(FleetCommand command, Duration limit);

  /// State read by a serving leader; on any other replica the read fails.
  struct LeaderView {
    TimePoint now;
    std::string cluster;
    uint64_t term = 0;
    std::shared_ptr<const FleetState> state;
    /// Ids of the voting replicas.
    std::vector<uint32_t> voters;
  };

  /// Returns the current state. Errors: kNotLeader.
  Result<LeaderView> ReadAsLeader();

  /// Returns the fields of the status that describe this replica and its log.
  ControlStatus Status();

 private:
  struct Waiter {
    uint64_t term = 0;
    SubmitCallback done;
  };

  void TickLoop();
  Result<Done> Load();
  void HandleWriteResult(const Outcome<Done>& written);
  void RetryDisk();
  void Execute(const consensus::Effects& effects);
  void Execute(const consensus::SaveHardState& effect);
  void Execute(const consensus::AppendEntries& effect);
  void Execute(const consensus::TruncateEntries& effect);
  void Execute(const consensus::SaveSnapshot& effect);
  void Execute(const consensus::SendMessage& effect);
  void Execute(const consensus::ApplyCommand& effect);
  void Execute(const consensus::RestoreState& effect);
  void Execute(const consensus::RoleChanged& effect);
  void CompactIfLong();
  Error NotLeader() const;
  std::vector<uint32_t> VoterIds() const;
  bool MayServe(TimePoint now) const;
  void FailWaiters();

  const Options m_options;
  Clock& m_clock;
  Random& m_random;
  Storage& m_storage;
  PeerTransport& m_transport;
  ConsensusListener& m_listener;

  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::unique_ptr<consensus::Replica> m_replica;
  /// Replicas that were added since the start.
  std::vector<uint32_t> m_known_replicas;
  FleetState m_state;
  std::shared_ptr<const FleetState> m_published;
  std::map<uint64_t, Waiter> m_waiters;
  bool m_disk_failed = false;
  TimePoint m_disk_retry;
  bool m_stopping = false;
  std::thread m_ticker;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_PROGRAMS_CONSENSUS_DRIVER_H_
