#include "rosemarywinch/programs/mesh/mesh_view.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "rosemarywinch/adapters/log.h"
#include "rosemarywinch/adapters/mesh_codec.h"

namespace rosemarywinch {

namespace {

// Longest wait for control to lend tokens.
constexpr Duration kTokenWait{200};
// Retries that one node may save up for a service: all nodes together stay
// well below the slack of the fleet's budget.
constexpr double kSavedRetries = 2;
// Part of the requests that may be sent again. A repeat repeats the calls below
// it, so over a chain of four services this makes about a sixth more calls.
constexpr double kRetryPart = 0.04;
constexpr uint64_t kRandomSteps = 1u << 20;

}  // namespace

MeshView::MeshView(std::string data_centre, Clock& clock, Random& random)
    : m_data_centre(std::move(data_centre)), m_clock(clock), m_random(random) {}

MeshView::Facts MeshView::CurrentFacts() const {
  std::scoped_lock lock(m_mutex);
  Facts facts;
  facts.config = m_known.config;
  facts.facts = {m_known.config.get(), m_known.lease_end, m_known.confirmed};
  return facts;
}

bool MeshView::IsReady() const {
  std::scoped_lock lock(m_mutex);
  return m_known.config != nullptr && m_clock.Now() < m_known.lease_end;
}

void MeshView::FillPoll(PollRequest& request) {
  std::shared_ptr<const MeshConfig> config;
  {
    std::scoped_lock lock(m_mutex);
    request.cluster = m_known.cluster;
    request.term = m_known.term;
    request.config_version = m_known.fleet_version;
    config = m_known.config;
  }
  if (config != nullptr) {
    request.configuration_version = config->version();
    for (const auto& service : config->services()) {
      const std::string& name = service.first;
      const uint64_t revision = m_services.With(name, [&](ServiceShard& shard) {
        return shard.routers.try_emplace(name, m_data_centre)
            .first->second.revision();
      });
      request.services.push_back({name, revision});
    }
  }
  const TimePoint now = m_clock.Now();
  m_accounts.ForEach([&](AccountShard& shard) {
    std::erase_if(shard.quotas,
                  [&](const auto& entry) { return entry.second.IsIdle(now); });
    for (auto& [account, quota] : shard.quotas) {
      request.quotas.push_back(quota.Report(now, account));
    }
  });
}

Result<Done> MeshView::ApplyPoll(TimePoint sent, const PollResponse& response) {
  {
    std::scoped_lock lock(m_mutex);
    const bool other =
        !m_known.cluster.empty() && response.cluster != m_known.cluster;
    if (other || response.term < m_known.term) {
      return Fail(ErrorId::kWrongCluster, response.cluster);
    }
  }
  BOOST_LEAF_CHECK(ApplyConfiguration(sent, response));
  ApplyMembers(response);
  ApplyQuotas(sent, response);
  TellNews();
  return Done{};
}

Result<Done> MeshView::ApplyConfiguration(TimePoint sent,
                                          const PollResponse& response) {
  std::shared_ptr<const MeshConfig> config;
  if (response.configuration && response.configuration_version > 0) {
    BOOST_LEAF_ASSIGN(config, ParseMeshConfig(*response.configuration));
  }
  std::scoped_lock lock(m_mutex);
  const uint64_t held =
      m_known.config == nullptr ? 0 : m_known.config->version();
  if (response.configuration_version < held) {
    return Fail(ErrorId::kConflict, "control answered with an old version");
  }
  if (config != nullptr && config->version() > held) {
    LogEvent(LogLevel::kInfo, "configuration",
             {{"version", std::to_string(config->version())},
              {"before", std::to_string(held)}});
    m_known.config = std::move(config);
  }
  m_known.cluster = response.cluster;
  m_known.term = response.term;
  m_known.fleet_version = response.config_version;
  const bool current =
      m_known.config != nullptr &&
      m_known.config->version() == response.configuration_version;
  if (current) {
    m_known.lease_end = std::max(m_known.lease_end, sent + response.lease);
    m_known.confirmed = std::max(m_known.confirmed, sent);
  }
  return Done{};
}

void MeshView::ApplyMembers(const PollResponse& response) {
  const TimePoint now = m_clock.Now();
  for (const ServiceUpdate& update : response.services) {
    m_services.With(update.service, [&](ServiceShard& shard) {
      shard.routers.try_emplace(update.service, m_data_centre)
          .first->second.Apply(now, update);
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

void MeshView::CountWaiting(const std::string& account,
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
  const TimePoint until = m_clock.Now() + kTokenWait;
  CountWaiting(account, &QuotaCache::BeginWait);
  bool taken = false;
  while (!taken && m_clock.Now() < until && !IsExhausted(account)) {
    const auto news = std::make_shared<OneShot<bool>>(executor);
    {
      std::scoped_lock lock(m_news_mutex);
      m_news.push_back(news);
    }
    m_poke();
    co_await news->Wait(until - m_clock.Now());
    taken = TryTake(account, /*first=*/false);
  }
  CountWaiting(account, &QuotaCache::EndWait);
  if (taken) {
    co_return std::nullopt;
  }
  co_return m_accounts.With(account, [&](AccountShard& shard) {
    return shard.quotas[account].RetryAfter();
  });
}

void MeshView::TellNews() {
  std::vector<std::shared_ptr<OneShot<bool>>> waiting;
  {
    std::scoped_lock lock(m_news_mutex);
    waiting = std::exchange(m_news, {});
  }
  for (const auto& news : waiting) {
    news->Set(true);
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
                          Duration took,
                          std::optional<LoadReport> load) {
  const TimePoint now = m_clock.Now();
  m_services.With(service, [&](ServiceShard& shard) {
    const auto found = shard.routers.find(service);
    if (found != shard.routers.end()) {
      found->second.Finish(now, node, result, took, load);
    }
  });
}

void MeshView::CountRequest(const std::string& service) {
  m_services.With(service, [&](ServiceShard& shard) {
    shard.budgets.try_emplace(service, kRetryPart, kSavedRetries)
        .first->second.OnCall();
  });
}

bool MeshView::TryRetry(const std::string& service) {
  return m_services.With(service, [&](ServiceShard& shard) {
    return shard.budgets.try_emplace(service, kRetryPart, kSavedRetries)
        .first->second.TryRetry();
  });
}

bool MeshView::AdmitFresh(const std::string& service, uint32_t priority) {
  const TimePoint now = m_clock.Now();
  const double point = RandomPoint();
  double lower_priority = 0;
  {
    std::scoped_lock lock(m_priorities_mutex);
    m_priorities.OnRequest(now, priority);
    lower_priority = m_priorities.LowerPriorityFraction(priority);
  }
  return m_services.With(service, [&](ServiceShard& shard) {
    return shard.shedders[service].Admit(now, priority, lower_priority, point);
  });
}

std::string MeshView::ExplainShedding(const std::string& service,
                                      uint32_t priority) {
  return m_services.With(service, [&](ServiceShard& shard) {
    const LoadShedder& shedder = shard.shedders[service];
    return fmt::format("{}, rank {}, admitted {:.2f} at pressure {:.2f}",
                       service, priority, shedder.admitted(priority),
                       shedder.last_pressure());
  });
}

void MeshView::NotePressure(const std::string& service, double pressure) {
  const TimePoint now = m_clock.Now();
  m_services.With(service, [&](ServiceShard& shard) {
    shard.shedders[service].OnPressure(now, pressure);
  });
}

void MeshView::CountRun() {
  std::scoped_lock lock(m_dependencies_mutex);
  m_dependencies.OnRun(m_clock.Now());
}

uint32_t MeshView::CountCall(const std::string& service, TimePoint deadline) {
  const TimePoint now = m_clock.Now();
  std::scoped_lock lock(m_dependencies_mutex);
  m_dependencies.OnCall(now, service);
  return m_call_counter.OnCall(now, deadline);
}

void MeshView::NotePressureBelow(const std::string& service,
                                 double pressure,
                                 const std::vector<ServicePressure>& below) {
  std::scoped_lock lock(m_dependencies_mutex);
  m_dependencies.OnAnswer(m_clock.Now(), service, pressure, below);
}

std::vector<ServicePressure> MeshView::PressureBelow() {
  std::scoped_lock lock(m_dependencies_mutex);
  return m_dependencies.RecentPressures(m_clock.Now());
}

std::string MeshView::ServiceOf(const MeshRoute& route) {
  return route.SelectService(RandomPoint());
}

double MeshView::RandomPoint() {
  return static_cast<double>(m_random.Below(kRandomSteps)) / kRandomSteps;
}

}  // namespace rosemarywinch
