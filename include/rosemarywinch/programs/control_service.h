#ifndef ROSEMARYWINCH_PROGRAMS_CONTROL_SERVICE_H_
#define ROSEMARYWINCH_PROGRAMS_CONTROL_SERVICE_H_

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "rosemarywinch/core/error.h"
#include "rosemarywinch/core/sharded.h"
#include "rosemarywinch/decisions/control/admission_planner.h"
#include "rosemarywinch/decisions/control/allowance_allocator.h"
#include "rosemarywinch/decisions/control/membership_directory.h"
#include "rosemarywinch/decisions/control/quota_pool.h"
#include "rosemarywinch/decisions/control/version_tracker.h"
#include "rosemarywinch/programs/balance_board.h"
#include "rosemarywinch/programs/configuration_publisher.h"
#include "rosemarywinch/programs/configuration_reader.h"
#include "rosemarywinch/programs/consensus_driver.h"
#include "rosemarywinch/schema/control.h"
#include "rosemarywinch/schema/fleet.h"

namespace rosemarywinch {

/// Serves nodes and operators on a control replica. Leases, members,
/// allowances and quotas are not replicated: each new leader rebuilds them.
/// They are kept in shards, each under its own lock.
class ControlService : public ConsensusListener {
 public:
  /// `data_centres` lists all data centres; if empty, those of the nodes that
  /// poll count.
  explicit ControlService(
      Duration node_lease,
      QuotaTolerance tolerance = {},
      std::vector<std::string> data_centres = {},
      ConfigurationReader::Parser parser = ParseWithoutRoutes);

  /// Sets the consensus driver. Must be called before the first request.
  void Attach(ConsensusDriver& driver) { m_driver = &driver; }

  /// Handles a poll of a node.
  /// Errors: kNotLeader, kProtocolVersion, kWrongCluster.
  Result<PollResponse> Poll(const PollRequest& request);

  /// Begins to commit the departures in a poll that are not stored yet. Returns
  /// whether there are any; `done` is then called for each, with the lock of
  /// the driver held, once it is stored or the replica stops waiting for it.
  bool StoreDepartures(const PollRequest& request,
                       const std::function<void()>& done);

  /// Commits a change and waits up to `request.wait` until it is in force on
  /// every node.
  /// Errors: kNotLeader, kNotAccepted, kProtocolVersion.
  Result<CommandResponse> Command(const CommandRequest& request);

  /// Returns the command with the data centres that are known here, if it
  /// starts or ends an evacuation; others unchanged.
  FleetCommand WithDataCentres(FleetCommand command);

  /// Returns the complete replicated state.
  /// Errors: kNotLeader, kProtocolVersion.
  Result<StateResponse> State(const StateRequest& request);

  Result<ControlStatus> Status(const ControlStatusRequest& request);

  /// Returns the metrics of the balances, in the Prometheus text format.
  std::string BalanceMetrics() { return m_balances.MetricsText(); }

  /// Returns the admission plan that was computed last, also by a replica that
  /// leads no more.
  AdmissionPlan CurrentPlan();

  /// How far a mesh configuration has come.
  struct ConfigurationProgress {
    /// No node acts on an older version after the bound that was asked for.
    bool in_force = false;
    /// Nodes that may still act on an older version.
    std::vector<std::string> pending;
  };

  /// Returns how far configuration `version` has come, and whether it is in
  /// force within `bound` whatever becomes of the pending nodes.
  /// Errors: kNotLeader.
  Result<ConfigurationProgress> ProgressOf(uint64_t version, Duration bound);

  void OnLeader(TimePoint now, uint64_t term, const FleetState& state) override;
  void OnFollower(TimePoint now) override;
  void OnApplied(TimePoint now, const FleetState& state) override;

 private:
  struct VersionState {
    explicit VersionState(Duration lease) : versions(lease) {}
    std::mutex mutex;
    std::condition_variable changed;
    VersionTracker versions;
  };
  /// Which mesh configuration the nodes act on.
  struct ConfigurationState {
    explicit ConfigurationState(Duration lease) : versions(lease) {}
    std::mutex mutex;
    VersionTracker versions;
    uint64_t newest = 0;
    TimePoint newest_applied;
    /// The latest version that was logged as in force.
    uint64_t logged = 0;
  };
  struct Directory {
    explicit Directory(Duration timeout) : members(timeout) {}
    std::mutex mutex;
    MembershipDirectory members;
  };
  struct AdmissionState {
    std::mutex mutex;
    AdmissionPlanner planner;
  };
  /// Departures whose commands are being committed. Thread-safe.
  class PendingDepartures {
   public:
    /// Returns false if the command is being committed already.
    bool Begin(const RecordDeparture& change);
    void End(const RecordDeparture& change);

   private:
    std::mutex m_mutex;
    std::vector<RecordDeparture> m_open;
  };
  struct AllocatorShard {
    TimePoint since;
    /// No earlier leader granted a lease after this.
    TimePoint last_earlier_grant;
    std::map<std::string, AllowanceAllocator> allocators;
    std::map<std::string, QuotaPool> pools;
  };

  void RecordConfiguration(const ConsensusDriver::LeaderView& view,
                           const PollRequest& request);
  void AddFleetState(const FleetState& state,
                     uint64_t version,
                     PollResponse& response) const;
  void AddDepartures(const FleetState& state,
                     const PollRequest& request,
                     PollResponse& response) const;
  void AddAdmission(const ConsensusDriver::LeaderView& view,
                    const PollRequest& request,
                    PollResponse& response);
  void AddMembers(TimePoint now,
                  const PollRequest& request,
                  PollResponse& response);
  Result<Done> AddMeshConfiguration(const ConsensusDriver::LeaderView& view,
                                    const PollRequest& request,
                                    PollResponse& response);
  std::optional<RateLimit> LimitOf(const FleetState& state,
                                   const std::string& account) const;
  void AddAllowances(const ConsensusDriver::LeaderView& view,
                     const PollRequest& request,
                     PollResponse& response);
  void AddQuotas(const ConsensusDriver::LeaderView& view,
                 const PollRequest& request,
                 PollResponse& response);
  CommandResponse WaitInForce(CommandResult result, Duration limit);
  std::vector<std::string> KnownDataCentres();

  const Duration m_lease;
  const QuotaTolerance m_tolerance;
  const std::vector<std::string> m_data_centres;
  ConsensusDriver* m_driver = nullptr;
  VersionState m_version_state;
  ConfigurationState m_configuration_state;
  Directory m_directory;
  BalanceBoard m_balances;
  AdmissionState m_admission;
  PendingDepartures m_pending_departures;
  Sharded<AllocatorShard> m_allocators;
  ConfigurationPublisher m_publisher;
  ConfigurationReader m_reader;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_PROGRAMS_CONTROL_SERVICE_H_
