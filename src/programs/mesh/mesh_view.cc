#include "rosemarywinch/programs/mesh/mesh_view.h"

#include <algorithm>
#include <utility>

#include "rosemarywinch/adapters/log.h"
#include "rosemarywinch/adapters/mesh_codec.h"
#include "rosemarywinch/adapters/text_packer.h"

namespace rosemarywinch {

namespace {

// Maximum time that a request waits for control to grant tokens.
constexpr Duration kMaxTokenWait{200};
// Retries that one node may save up for a service, so few that all nodes
// together stay well below the slack of the fleet's retry budget.
constexpr double kMaxSavedRetries = 2;
// Retries as a ratio of requests. A retry repeats its nested calls too, so over
// a chain of four services this adds about a sixth to the calls.
constexpr double kRetryRatio = 0.04;

}  // namespace

MeshView::MeshView(std::string data_centre, Clock& clock, Random& random)
    : m_data_centre(std::move(data_centre)),
      m_clock(clock),
      m_random(random),
      m_root_admitter(clock, random) {}

MeshView::ConfigState MeshView::CurrentConfigState() const {
  std::scoped_lock lock(m_mutex);
  ConfigState config_state;
  config_state.config = m_control_state.config;
  config_state.entry_context = {m_control_state.config.get(),
                                m_control_state.lease_end,
                                m_control_state.confirmed};
  return config_state;
}

uint64_t MeshView::ConfigurationVersion() const {
  std::scoped_lock lock(m_mutex);
  return m_control_state.HeldVersion();
}

bool MeshView::IsReady() const {
  std::scoped_lock lock(m_mutex);
  return m_control_state.config != nullptr &&
         m_clock.Now() < m_control_state.lease_end;
}

void MeshView::FillPoll(PollRequest& request) {
  std::shared_ptr<const MeshConfig> config;
  bool needs_whole_document = false;
  {
    std::scoped_lock lock(m_mutex);
    request.cluster = m_control_state.cluster;
    request.term = m_control_state.term;
    request.config_version = m_control_state.fleet_version;
    config = m_control_state.config;
    needs_whole_document = m_control_state.needs_whole_document;
  }
  if (config != nullptr) {
    request.configuration_version = config->version();
    request.wants_whole_document = needs_whole_document;
    for (const auto& service : config->services()) {
      const std::string& name = service.first;
      const uint64_t revision = m_services.With(name, [&](ServiceShard& shard) {
        return RouterOf(shard, name).revision();
      });
      request.services.push_back({name, revision});
    }
  }
  FillBalances(request);
  const TimePoint now = m_clock.Now();
  m_root_admitter.FillPoll(request);
  m_accounts.ForEach([&](AccountShard& shard) {
    std::erase_if(shard.quotas,
                  [&](const auto& entry) { return entry.second.IsIdle(now); });
    for (auto& [account, quota] : shard.quotas) {
      if (quota.NeedsReport(now)) {
        request.quotas.push_back(quota.Report(now, account));
      }
    }
  });
}

void MeshView::FillTokenPoll(PollRequest& request) {
  {
    std::scoped_lock lock(m_mutex);
    request.cluster = m_control_state.cluster;
    request.term = m_control_state.term;
    request.configuration_version = m_control_state.HeldVersion();
  }
  request.tokens_only = true;
  const TimePoint now = m_clock.Now();
  m_accounts.ForEach([&](AccountShard& shard) {
    for (auto& [account, quota] : shard.quotas) {
      if (quota.waiting() > 0) {
        request.quotas.push_back(quota.Report(now, account));
      }
    }
  });
}

Result<Done> MeshView::CheckSender(const PollResponse& response) const {
  std::scoped_lock lock(m_mutex);
  const bool wrong_cluster = !m_control_state.cluster.empty() &&
                             response.cluster != m_control_state.cluster;
  if (wrong_cluster || response.term < m_control_state.term) {
    return Fail(ErrorId::kWrongCluster, response.cluster);
  }
  return Done{};
}

Result<Done> MeshView::ApplyTokenPoll(TimePoint sent,
                                      const PollResponse& response) {
  BOOST_LEAF_CHECK(CheckSender(response));
  ApplyQuotas(sent, response);
  WakeTokenWaiters();
  return Done{};
}

Result<Done> MeshView::ApplyPoll(TimePoint sent, const PollResponse& response) {
  BOOST_LEAF_CHECK(CheckSender(response));
  BOOST_LEAF_CHECK(ApplyConfiguration(sent, response));
  ApplyMembers(response);
  ApplyBalances(response);
  m_root_admitter.ApplyPoll(response);
  ApplyQuotas(sent, response);
  WakeTokenWaiters();
  return Done{};
}

// A document that cannot be restored is asked for as a whole with the next
// poll.
Result<std::string> MeshView::RestoreDocument(const PackedDocument& packed) {
  std::string reference;
  {
    std::scoped_lock lock(m_mutex);
    if (packed.reference_version > 0) {
      reference = m_control_state.document;
    }
    m_control_state.needs_whole_document = true;
  }
  BOOST_LEAF_AUTO(document, Unpack(packed.data, reference));
  std::scoped_lock lock(m_mutex);
  m_control_state.needs_whole_document = false;
  return document;
}

Result<Done> MeshView::ApplyConfiguration(TimePoint sent,
                                          const PollResponse& response) {
  std::shared_ptr<const MeshConfig> config;
  std::string document;
  if (response.configuration && response.configuration_version > 0) {
    BOOST_LEAF_ASSIGN(document, RestoreDocument(*response.configuration));
    BOOST_LEAF_ASSIGN(config, ParseMeshConfig(document));
  }
  std::scoped_lock lock(m_mutex);
  const uint64_t current_version = m_control_state.HeldVersion();
  if (response.configuration_version < current_version) {
    return Fail(ErrorId::kConflict, "control returned an older configuration");
  }
  if (config != nullptr && config->version() > current_version) {
    const TimePoint now = m_clock.Now();
    const Duration confirmed_before = now - m_control_state.confirmed;
    LogEvent(
        LogLevel::kInfo, "configuration",
        {{"version", std::to_string(config->version())},
         {"before", std::to_string(current_version)},
         {"in_place", std::to_string(response.configuration_version)},
         {"poll_ms", std::to_string((now - sent).ms)},
         {"confirmed_ms_ago",
          current_version == 0 ? "" : std::to_string(confirmed_before.ms)}});
    m_control_state.config = std::move(config);
    m_control_state.document = std::move(document);
  }
  m_control_state.cluster = response.cluster;
  m_control_state.term = response.term;
  const uint64_t held = m_control_state.HeldVersion();
  const bool current = held == response.configuration_version;
  if (current) {
    m_control_state.fleet_version = response.config_version;
  }
  if (current && held > 0) {
    m_control_state.lease_end =
        std::max(m_control_state.lease_end, sent + response.lease);
    m_control_state.confirmed = std::max(m_control_state.confirmed, sent);
  }
  return Done{};
}

void MeshView::ApplyMembers(const PollResponse& response) {
  const TimePoint now = m_clock.Now();
  for (const ServiceUpdate& update : response.services) {
    m_services.With(update.service, [&](ServiceShard& shard) {
      RouterOf(shard, update.service).Apply(now, update);
    });
  }
}

void MeshView::ApplyQuotas(TimePoint sent, const PollResponse& response) {
  const TimePoint now = m_clock.Now();
  for (const QuotaGrant& grant : response.quotas) {
    m_accounts.With(grant.account, [&](AccountShard& shard) {
      const auto found = shard.quotas.find(grant.account);
      if (found != shard.quotas.end()) {
        found->second.Apply(now, sent, grant, sent + response.lease);
      }
    });
  }
}

bool MeshView::TryTake(const std::string& account, bool first) {
  const TimePoint now = m_clock.Now();
  return m_accounts.With(account, [&](AccountShard& shard) {
    QuotaCache& quota = shard.quotas[account];
    if (first) {
      quota.RecordArrival(now);
    }
    return quota.TryTake(now);
  });
}

void MeshView::UpdateQuotaWaiters(const std::string& account,
                                  void (QuotaCache::*count)()) {
  m_accounts.With(
      account, [&](AccountShard& shard) { (shard.quotas[account].*count)(); });
}

bool MeshView::IsExhausted(const std::string& account) {
  const TimePoint now = m_clock.Now();
  return m_accounts.With(account, [&](AccountShard& shard) {
    return shard.quotas[account].IsExhausted(now);
  });
}

asio::awaitable<std::optional<Duration>> MeshView::TakeToken(
    std::string account) {
  if (TryTake(account, /*first=*/true)) {
    co_return std::nullopt;
  }
  const auto executor = co_await asio::this_coro::executor;
  const TimePoint until = m_clock.Now() + kMaxTokenWait;
  UpdateQuotaWaiters(account, &QuotaCache::BeginWait);
  bool taken = false;
  while (!taken && m_clock.Now() < until && !IsExhausted(account)) {
    const auto waiter = std::make_shared<OneShot<bool>>(executor);
    {
      std::scoped_lock lock(m_token_waiters_mutex);
      m_token_waiters.push_back(waiter);
    }
    m_request_tokens();
    co_await waiter->Wait(until - m_clock.Now());
    taken = TryTake(account, /*first=*/false);
  }
  UpdateQuotaWaiters(account, &QuotaCache::EndWait);
  if (taken) {
    co_return std::nullopt;
  }
  co_return m_accounts.With(account, [&](AccountShard& shard) {
    return shard.quotas[account].RetryAfter();
  });
}

void MeshView::WakeTokenWaiters() {
  std::vector<std::shared_ptr<OneShot<bool>>> waiting;
  {
    std::scoped_lock lock(m_token_waiters_mutex);
    waiting = std::exchange(m_token_waiters, {});
  }
  for (const auto& waiter : waiting) {
    waiter->Set(true);
  }
}

std::optional<Member> MeshView::Choose(const std::string& service,
                                       const std::set<std::string>& excluded) {
  const TimePoint now = m_clock.Now();
  return m_services.With(service,
                         [&](ServiceShard& shard) -> std::optional<Member> {
                           const auto found = shard.routers.find(service);
                           if (found == shard.routers.end()) {
                             return std::nullopt;
                           }
                           return found->second.Choose(now, excluded, m_random);
                         });
}

void MeshView::FinishCall(const std::string& service,
                          const std::string& node,
                          CallResult result,
                          Duration took) {
  const TimePoint now = m_clock.Now();
  m_services.With(service, [&](ServiceShard& shard) {
    const auto found = shard.routers.find(service);
    if (found != shard.routers.end()) {
      found->second.Finish(now, node, result, took);
    }
  });
}

void MeshView::CountRequest(const std::string& service) {
  m_services.With(service, [&](ServiceShard& shard) {
    shard.budgets.try_emplace(service, kRetryRatio, kMaxSavedRetries)
        .first->second.OnCall();
  });
}

bool MeshView::TryRetry(const std::string& service) {
  return m_services.With(service, [&](ServiceShard& shard) {
    return shard.budgets.try_emplace(service, kRetryRatio, kMaxSavedRetries)
        .first->second.TryRetry();
  });
}

void MeshView::CountRun(const EntryClass& entry, TimePoint deadline) {
  const TimePoint now = m_clock.Now();
  std::scoped_lock lock(m_dependencies_mutex);
  m_dependencies.OnRun(now);
  m_parent_requests.OnRun(now, deadline, entry);
}

void MeshView::CountRunEnd(const EntryClass& entry) {
  std::scoped_lock lock(m_dependencies_mutex);
  m_parent_requests.OnEnd(entry);
}

ParentRequest MeshView::CountCall(const std::string& service,
                                  TimePoint deadline) {
  const TimePoint now = m_clock.Now();
  const double point = RandomFraction();
  std::scoped_lock lock(m_dependencies_mutex);
  m_dependencies.OnCall(now, service);
  return m_parent_requests.OnCall(now, deadline, point);
}

void MeshView::RecordDependencyPressures(
    const std::string& service,
    double pressure,
    const std::vector<ServicePressure>& below) {
  std::scoped_lock lock(m_dependencies_mutex);
  m_dependencies.OnAnswer(m_clock.Now(), service, pressure, below);
}

std::vector<ServicePressure> MeshView::DependencyPressures() {
  std::scoped_lock lock(m_dependencies_mutex);
  return m_dependencies.RecentPressures(m_clock.Now());
}

std::string MeshView::ChooseService(const MeshRoute& route) {
  return route.SelectService(RandomFraction());
}

double MeshView::RandomFraction() {
  return rosemarywinch::RandomFraction(m_random);
}

}  // namespace rosemarywinch
