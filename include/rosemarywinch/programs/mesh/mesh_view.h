#ifndef ROSEMARYWINCH_PROGRAMS_MESH_MESH_VIEW_H_
#define ROSEMARYWINCH_PROGRAMS_MESH_MESH_VIEW_H_

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "rosemarywinch/adapters/async/one_shot.h"
#include "rosemarywinch/core/sharded.h"
#include "rosemarywinch/decisions/control/quota_cache.h"
#include "rosemarywinch/decisions/mesh/entry_check.h"
#include "rosemarywinch/decisions/traffic/dependency_pressure.h"
#include "rosemarywinch/decisions/traffic/load_shedder.h"
#include "rosemarywinch/decisions/traffic/request_call_counter.h"
#include "rosemarywinch/decisions/traffic/retry_budget.h"
#include "rosemarywinch/decisions/traffic/router.h"
#include "rosemarywinch/interfaces/clock.h"
#include "rosemarywinch/interfaces/random.h"
#include "rosemarywinch/schema/control.h"

namespace rosemarywinch {

/// What a node knows of the mesh: the configuration and how fresh it is, the
/// members of each service, and tokens of the accounts' quotas.
/// Thread-safe; each part is a shard under its own lock.
class MeshView {
 public:
  MeshView(std::string data_centre, Clock& clock, Random& random);

  /// What CheckEntry() needs. `config` lives as long as the result.
  struct ConfigState {
    std::shared_ptr<const MeshConfig> config;
    EntryContext entry_context;
  };
  ConfigState CurrentConfigState() const;

  /// Tells whether requests with keys can be served.
  bool IsReady() const;

  /// Fills in what control must know to answer.
  void FillPoll(PollRequest& request);

  /// Applies an answer to a poll that was sent at `sent`; older answers and
  /// configurations are passed over. Errors: kMalformedMessage, kBadValue.
  Result<Done> ApplyPoll(TimePoint sent, const PollResponse& response);

  /// Counts a request of `account` and takes its token, waiting a little for
  /// control to lend more. Returns how long to wait when there is none.
  asio::awaitable<std::optional<Duration>> TakeToken(std::string account);

  /// Chooses a member of `service` that is not in `excluded`.
  std::optional<Member> Choose(const std::string& service,
                               const std::set<std::string>& excluded);
  void FinishCall(const std::string& service,
                  const std::string& node,
                  CallResult result,
                  Duration took,
                  std::optional<LoadReport> load);

  /// Counts a request for `service` that a retry may be earned by.
  void CountRequest(const std::string& service);
  /// Takes a retry of the service's budget, if there is one left.
  bool TryRetry(const std::string& service);

  /// Decides by the pressure on `service` whether a fresh request may start.
  bool AdmitRootRequest(const std::string& service, uint32_t priority);
  /// Says why AdmitRootRequest() refused a request, for the log.
  std::string ExplainShedding(const std::string& service, uint32_t priority);
  /// Learns from the pressure that came with an answer to a fresh request.
  void RecordPressure(const std::string& service, double pressure);

  /// Counts a request that the local backend server begins to run.
  void CountRun();
  /// Counts a call that it makes of `service` for a request that ends by
  /// `deadline`. Returns how many that request has made before.
  uint32_t CountCall(const std::string& service, TimePoint deadline);
  /// Learns from the pressure that came with an answer to such a call.
  void RecordDependencyPressures(const std::string& service,
                                 double pressure,
                                 const std::vector<ServicePressure>& below);
  /// Returns the pressure on what the local backend server calls.
  std::vector<ServicePressure> DependencyPressures();

  /// Chooses a part of a route's split.
  std::string ChooseService(const MeshRoute& route);

  /// Sets what is called when the next poll should not wait.
  void SetPollCallback(std::function<void()> request_poll) {
    m_request_poll = std::move(request_poll);
  }

 private:
  struct ServiceShard {
    std::map<std::string, Router> routers;
    std::map<std::string, RetryBudget> budgets;
    std::map<std::string, LoadShedder> shedders;
  };
  struct AccountShard {
    std::map<std::string, QuotaCache> quotas;
  };
  struct ControlState {
    std::string cluster;
    uint64_t term = 0;
    uint64_t fleet_version = 0;
    std::shared_ptr<const MeshConfig> config;
    TimePoint lease_end;
    TimePoint confirmed;
  };

  Result<Done> ApplyConfiguration(TimePoint sent, const PollResponse& response);
  void ApplyMembers(const PollResponse& response);
  void ApplyQuotas(TimePoint sent, const PollResponse& response);
  bool TryTake(const std::string& account, bool first);
  void UpdateQuotaWaiters(const std::string& account,
                          void (QuotaCache::*count)());
  bool IsExhausted(const std::string& account);
  void WakeTokenWaiters();
  double RandomFraction();

  const std::string m_data_centre;
  Clock& m_clock;
  Random& m_random;
  std::function<void()> m_request_poll;
  mutable std::mutex m_mutex;
  ControlState m_control_state;
  Sharded<ServiceShard> m_services;
  Sharded<AccountShard> m_accounts;
  std::mutex m_priorities_mutex;
  PriorityDistribution m_priorities;
  std::mutex m_dependencies_mutex;
  DependencyPressure m_dependencies;
  RequestCallCounter m_call_counter;
  std::mutex m_token_waiters_mutex;
  std::vector<std::shared_ptr<OneShot<bool>>> m_token_waiters;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_PROGRAMS_MESH_MESH_VIEW_H_
