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
#include "rosemarywinch/decisions/traffic/parent_requests.h"
#include "rosemarywinch/decisions/traffic/retry_budget.h"
#include "rosemarywinch/decisions/traffic/router.h"
#include "rosemarywinch/interfaces/clock.h"
#include "rosemarywinch/interfaces/random.h"
#include "rosemarywinch/programs/mesh/root_admitter.h"
#include "rosemarywinch/schema/control.h"
#include "rosemarywinch/schema/members.h"

namespace rosemarywinch {

/// A node's view of the mesh: the configuration under its lease, the members of
/// each service, and quota tokens of the client accounts. Thread-safe: the
/// state is split into parts and shards, each under its own lock.
class MeshView {
 public:
  MeshView(std::string data_centre, Clock& clock, Random& random);

  /// Input of CheckEntry(). `config` keeps the configuration alive to which
  /// `entry_context` points.
  struct ConfigState {
    std::shared_ptr<const MeshConfig> config;
    EntryContext entry_context;
  };
  ConfigState CurrentConfigState() const;

  /// Returns the version of the configuration that this node acts on, 0 for
  /// none.
  uint64_t ConfigurationVersion() const;

  /// Returns whether requests with keys can be served: there is a configuration
  /// and its lease has not expired.
  bool IsReady() const;

  /// Fills in the versions, revisions and quota reports that control needs to
  /// answer a poll.
  void FillPoll(PollRequest& request);

  /// Fills in a poll that only asks for the tokens that requests wait for, and
  /// confirms the configuration that this node acts on.
  void FillTokenPoll(PollRequest& request);

  /// Applies the response to a poll for tokens that was sent at `sent`. Errors:
  /// kWrongCluster for another cluster or an earlier term.
  Result<Done> ApplyTokenPoll(TimePoint sent, const PollResponse& response);

  /// Applies the list of evacuated data centres in a response to a poll. To be
  /// called before ApplyPoll(), so that a configuration that cannot be applied
  /// does not delay an evacuation. Errors: kWrongCluster as for ApplyPoll().
  Result<Done> ApplyEvacuations(const PollResponse& response);

  /// Returns whether this node's data centre is evacuated.
  bool IsLocalEvacuated() const;

  /// Returns the number of evacuated data centres.
  size_t evacuated_count() const;

  /// Applies the response to a poll that was sent at `sent`. Errors:
  /// kWrongCluster for another cluster or an earlier term, kConflict for an
  /// older configuration, kMalformedMessage, kBadValue.
  Result<Done> ApplyPoll(TimePoint sent, const PollResponse& response);

  /// Counts a request of `account` and takes a token for it, waiting briefly
  /// for control to grant more. Returns nullopt on success, otherwise the time
  /// after which the caller may retry.
  asio::awaitable<std::optional<Duration>> TakeToken(std::string account);

  /// Chooses a member of `service` on a node that is not in `excluded`.
  std::optional<Member> Choose(const std::string& service,
                               const std::set<std::string>& excluded);
  void FinishCall(const std::string& service,
                  const std::string& node,
                  CallResult result,
                  Duration took);

  /// Counts a first attempt for `service` towards its retry budget.
  void CountRequest(const std::string& service);
  /// Takes a retry from the budget of `service`. Returns false if it is used
  /// up.
  bool TryRetry(const std::string& service);

  /// Decides on the admission of root requests.
  RootAdmitter& root_admitter() { return m_root_admitter; }

  /// Counts a request that is about to be sent to the local backend server and
  /// must end by `deadline`.
  void CountRun(const EntryClass& entry, TimePoint deadline);

  /// Counts the end of a request that the local backend server ran.
  void CountRunEnd(const EntryClass& entry);
  /// Counts a nested call of the local backend server to `service`, made for a
  /// request that must end by `deadline`. Returns what is known of that
  /// request.
  ParentRequest CountCall(const std::string& service, TimePoint deadline);
  /// Records the pressure reported with the response to a nested call.
  void RecordDependencyPressures(const std::string& service,
                                 double pressure,
                                 const std::vector<ServicePressure>& below);
  /// Returns the pressure on the services that the local backend server calls.
  std::vector<ServicePressure> DependencyPressures();

  /// Chooses a service at random by the weights of the route's traffic split.
  std::string ChooseService(const MeshRoute& route);

  /// Returns a random number in [0, 1).
  double RandomFraction();

  /// Sets the callback that requests a poll for tokens.
  void SetTokenCallback(std::function<void()> request_tokens) {
    m_request_tokens = std::move(request_tokens);
  }

 private:
  struct ServiceShard {
    std::map<std::string, Router> routers;
    std::map<std::string, RetryBudget> budgets;
  };
  struct AccountShard {
    std::map<std::string, QuotaCache> quotas;
  };
  struct ControlState {
    /// Version of `config`, 0 without one.
    uint64_t HeldVersion() const {
      return config == nullptr ? 0 : config->version();
    }

    std::string cluster;
    uint64_t term = 0;
    uint64_t fleet_version = 0;
    std::shared_ptr<const MeshConfig> config;
    /// The document of `config`, to which control refers in later ones.
    std::string document;
    /// A document could not be restored, so that control must send all of it.
    bool needs_whole_document = false;
    TimePoint lease_end;
    TimePoint confirmed;
    /// Evacuated data centres at the fleet's version `evacuated_version`, kept
    /// until a poll says otherwise.
    std::set<std::string> evacuated;
    uint64_t evacuated_version = 0;
  };

  Result<std::string> RestoreDocument(const PackedDocument& packed);
  Result<Done> CheckSender(const PollResponse& response) const;
  Result<Done> ApplyConfiguration(TimePoint sent, const PollResponse& response);
  void ApplyMembers(const PollResponse& response);
  void FillBalances(PollRequest& request);
  void ApplyBalances(const PollResponse& response);
  void ApplyQuotas(TimePoint sent, const PollResponse& response);
  Router& RouterOf(ServiceShard& shard, const std::string& service);
  bool TryTake(const std::string& account, bool first);
  void UpdateQuotaWaiters(const std::string& account,
                          void (QuotaCache::*count)());
  bool IsExhausted(const std::string& account);
  void WakeTokenWaiters();

  const std::string m_data_centre;
  Clock& m_clock;
  Random& m_random;
  std::function<void()> m_request_tokens;
  mutable std::mutex m_mutex;
  ControlState m_control_state;
  Sharded<ServiceShard> m_services;
  Sharded<AccountShard> m_accounts;
  RootAdmitter m_root_admitter;
  std::mutex m_dependencies_mutex;
  DependencyPressure m_dependencies;
  ParentRequests m_parent_requests;
  std::mutex m_token_waiters_mutex;
  std::vector<std::shared_ptr<OneShot<bool>>> m_token_waiters;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_PROGRAMS_MESH_MESH_VIEW_H_
