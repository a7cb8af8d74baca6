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

namespace rosemarywinch {

/// Told of what the log does, under the driver's lock; must not call back.
class ConsensusListener {
 public:
  virtual ~ConsensusListener() = default;
  virtual void OnLeader(TimePoint now, uint64_t term, uint64_t version) = 0;
  virtual void OnFollower(TimePoint now) = 0;
  virtual void OnApplied(TimePoint now, uint64_t version) = 0;
};

/// Runs a Replica: carries out its effects, applies committed commands to the
/// fleet's state and wakes those who wait for a command. Thread-safe; the
/// replica and the state are one shard under one lock.
class ConsensusDriver {
 public:
  struct Options {
    consensus::Replica::Options replica;
    uint64_t snapshot_entries = 256;
    /// Voters that a new cluster must have before it takes its first command:
    /// with fewer, one lost disk could lose what was accepted.
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

  /// Reads the storage and starts the ticker. Errors: those of Recover().
  Result<Done> Start();
  void Stop();

  void Receive(const PeerMessage& message);

  /// Names replicas that may know the leader.
  void AddKnownReplicas(const std::vector<uint32_t>& ids);

  /// Told of a proposed command, under the driver's lock; must not call back.
  using SubmitCallback = std::function<void(Outcome<CommandResult>)>;

  /// Proposes a command; `done` is told once it is applied or lost.
  /// Errors: kNotLeader, kNotAccepted when it may or may not be accepted.
  void SubmitAsync(FleetCommand command, SubmitCallback done);

  /// Proposes a command and waits until it is applied.
  /// Errors: kNotLeader, kNotAccepted when it may or may not be accepted.
  Result<CommandResult> Submit(FleetCommand command, Duration limit);

  /// What a serving leader knows; only valid if the read was made as leader.
  struct LeaderView {
    TimePoint now;
    std::string cluster;
    uint64_t term = 0;
    std::shared_ptr<const FleetState> state;
    /// Ids of the voting replicas.
    std::vector<uint32_t> voters;
  };

  /// Reads the state as of now. Errors: kNotLeader.
  Result<LeaderView> ReadAsLeader();

  /// Fills in what a status page shows of the log.
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
