#ifndef ROSEMARYWINCH_PROGRAMS_NODE_STATE_H_
#define ROSEMARYWINCH_PROGRAMS_NODE_STATE_H_

#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "rosemarywinch/core/sharded.h"
#include "rosemarywinch/decisions/control/allowance_bucket.h"
#include "rosemarywinch/decisions/traffic/route_table.h"
#include "rosemarywinch/decisions/traffic/router.h"
#include "rosemarywinch/interfaces/clock.h"
#include "rosemarywinch/interfaces/random.h"
#include "rosemarywinch/schema/control.h"
#include "rosemarywinch/schema/fleet.h"
#include "rosemarywinch/schema/members.h"

namespace rosemarywinch {

/// Settings, keys and routes at one version. Immutable.
struct NodeConfig {
  explicit NodeConfig(FleetState fleet)
      : state(std::move(fleet)), routes(state) {}

  const FleetState state;
  const RouteTable routes;
};

/// A node's view of the fleet: settings under a lease, members and allowances.
/// Thread-safe; each part is a shard under its own lock.
class NodeState {
 public:
  NodeState(std::string data_centre, Clock& clock, Random& random)
      : m_data_centre(std::move(data_centre)),
        m_clock(clock),
        m_random(random) {}

  /// Returns the settings, or null before the first applied poll response.
  std::shared_ptr<const NodeConfig> Config();

  /// Returns whether the lease on the settings is valid, so that the node may
  /// serve closed routes.
  bool IsLeaseValid();

  /// Fills in the versions that the node has, the services that it follows and
  /// its allowance reports.
  void FillPoll(PollRequest& request);

  /// Applies the response to a poll that was sent at `sent`. Returns false and
  /// ignores the response if it is from an earlier term or another cluster.
  /// Settings older than the current ones are ignored. Returns false, without
  /// renewing the lease, if the settings are still older than the response's
  /// `config_version`.
  bool ApplyPoll(TimePoint sent, const PollResponse& response);

  /// Returns whether the data centre of this node is evacuated.
  bool IsLocalEvacuated();

  /// Returns whether the node holds a share of an allowance that other nodes
  /// could use.
  bool ShouldPollSoon();

  /// Counts a request of `account` and takes a token for it, waiting briefly
  /// for control to grant more. Returns nullopt on success, otherwise the time
  /// after which the caller may retry.
  std::optional<Duration> TakeAllowance(const std::string& account);

  /// Chooses a member of the service; see Router::Choose(). The members of a
  /// service that is requested for the first time are fetched from control,
  /// which takes a short wait.
  std::optional<Member> Choose(const std::string& service,
                               const std::set<std::string>& excluded);
  std::optional<Member> ChooseBound(const std::string& service,
                                    const std::string& node);
  void FinishCall(const std::string& service,
                  const std::string& node,
                  CallResult result,
                  Duration took);

  /// Reason for a poll before the interval has elapsed.
  enum class PollReason {
    /// Data is missing, such as the members of a service, or the backend
    /// server's announcement has changed.
    kUrgent,
    /// An account is out of tokens. The delay before consecutive polls for this
    /// reason grows.
    kOutOfTokens,
  };

  /// Sets the callback that requests an early poll.
  void SetPollCallback(std::function<void(PollReason)> request_poll) {
    m_request_poll = std::move(request_poll);
  }

 private:
  struct AccountShare {
    AllowanceBucket bucket;
    /// Requests waiting for control to grant more tokens.
    uint32_t waiting = 0;
  };
  using Buckets = std::map<std::string, AccountShare>;
  using Routers = std::map<std::string, Router>;

  void ApplyConfig(const PollResponse& response);
  /// Calls `settled` now and after each applied poll response until it returns
  /// true, for kInitialDataTimeout at most.
  void RetryOnUpdate(PollReason reason, const std::function<bool()>& settled);
  void RequestPoll(PollReason reason) const;
  uint64_t UpdateCount();
  Router& RouterOf(Routers& routers, const std::string& service);
  std::set<std::string> Evacuated();
  void ApplyEvacuations();

  const std::string m_data_centre;
  Clock& m_clock;
  Random& m_random;
  std::function<void(PollReason)> m_request_poll;

  std::mutex m_config_mutex;
  std::condition_variable m_updated;
  std::shared_ptr<const NodeConfig> m_config;
  std::string m_cluster;
  uint64_t m_term = 0;
  uint64_t m_update_count = 0;
  TimePoint m_lease_end;

  /// Evacuated data centres that the routers exclude. Used only by
  /// ApplyPoll(), whose calls do not overlap.
  std::set<std::string> m_applied_evacuations;

  Sharded<Buckets> m_buckets;
  Sharded<Routers> m_routers;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_PROGRAMS_NODE_STATE_H_
