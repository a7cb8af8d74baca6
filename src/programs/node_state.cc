#include "rosemarywinch/programs/node_state.h"

#include <chrono>
#include <utility>

#include "rosemarywinch/decisions/consensus/replica.h"
#include "rosemarywinch/decisions/fleet/fleet_store.h"
#include "rosemarywinch/programs/evacuation_log.h"

namespace rosemarywinch {

namespace {

// Maximum wait of a request for tokens of its account or for the first members
// of a service; about two early polls.
constexpr Duration kInitialDataTimeout{400};
// Maximum number of waiting requests per account; others are rejected
// immediately.
constexpr uint32_t kMaxWaitingPerAccount = 32;

}  // namespace

std::shared_ptr<const NodeConfig> NodeState::Config() {
  std::scoped_lock lock(m_config_mutex);
  return m_config;
}

bool NodeState::IsLeaseValid() {
  std::scoped_lock lock(m_config_mutex);
  return m_config != nullptr && m_clock.Now() < m_lease_end;
}

void NodeState::FillPoll(PollRequest& request) {
  {
    std::scoped_lock lock(m_config_mutex);
    request.protocol_version = consensus::kProtocolVersion;
    request.cluster = m_cluster;
    request.term = m_term;
    request.config_version = m_config == nullptr ? 0 : m_config->state.version;
  }
  m_routers.ForEach([&](const Routers& routers) {
    for (const auto& [service, router] : routers) {
      request.services.push_back({service, router.revision()});
    }
  });
  const TimePoint now = m_clock.Now();
  m_buckets.ForEach([&](Buckets& buckets) {
    std::erase_if(buckets, [&](const auto& entry) {
      return entry.second.waiting == 0 && entry.second.bucket.IsIdle(now);
    });
    for (auto& [account, share] : buckets) {
      request.allowances.push_back(share.bucket.Report(now, account));
    }
  });
}

bool NodeState::ApplyPoll(TimePoint sent, const PollResponse& response) {
  const TimePoint lease_end = sent + response.lease;
  {
    std::scoped_lock lock(m_config_mutex);
    const bool foreign = !m_cluster.empty() && response.cluster != m_cluster;
    if (foreign || response.term < m_term) {
      return false;
    }
    m_cluster = response.cluster;
    m_term = response.term;
    ApplyConfig(response);
    if (m_config == nullptr ||
        m_config->state.version < response.config_version) {
      return false;
    }
    m_lease_end = std::max(m_lease_end, lease_end);
  }
  ApplyEvacuations();
  const TimePoint now = m_clock.Now();
  for (const ServiceUpdate& update : response.services) {
    m_routers.With(update.service, [&](Routers& routers) {
      RouterOf(routers, update.service).Apply(now, update);
    });
  }
  for (const AllowanceGrant& grant : response.allowances) {
    m_buckets.With(grant.account, [&](Buckets& buckets) {
      buckets[grant.account].bucket.Apply(now, grant, lease_end);
    });
  }
  std::scoped_lock lock(m_config_mutex);
  ++m_update_count;
  m_updated.notify_all();
  return true;
}

void NodeState::ApplyConfig(const PollResponse& response) {
  const uint64_t version = m_config == nullptr ? 0 : m_config->state.version;
  if (response.state &&
      (m_config == nullptr || response.state->version > version)) {
    m_config = std::make_shared<const NodeConfig>(*response.state);
    return;
  }
  if (m_config == nullptr || response.commands.empty()) {
    return;
  }
  FleetState next = m_config->state;
  for (const HistoryRecord& record : response.commands) {
    if (record.version == next.version + 1) {
      ApplyAccepted(next, record);
    }
  }
  if (next.version > version) {
    m_config = std::make_shared<const NodeConfig>(std::move(next));
  }
}

bool NodeState::ShouldPollSoon() {
  bool soon = false;
  const TimePoint now = m_clock.Now();
  m_buckets.ForEach([&](const Buckets& buckets) {
    for (const auto& [account, share] : buckets) {
      soon = soon || share.bucket.ShouldReleaseSoon(now);
    }
  });
  return soon;
}

std::optional<Duration> NodeState::TakeAllowance(const std::string& account) {
  std::optional<Duration> wait;
  const auto try_take = [&](Buckets& buckets) {
    AllowanceBucket& bucket = buckets[account].bucket;
    const TimePoint now = m_clock.Now();
    const bool taken = bucket.TryTake(now);
    wait = taken ? std::nullopt : std::optional(bucket.RetryAfter(now));
    return taken;
  };
  PollReason reason = PollReason::kUrgent;
  const bool settled = m_buckets.With(account, [&](Buckets& buckets) {
    AccountShare& share = buckets[account];
    share.bucket.RecordArrival(m_clock.Now());
    if (share.bucket.HasShare(m_clock.Now())) {
      reason = PollReason::kOutOfTokens;
    }
    if (try_take(buckets) || share.waiting >= kMaxWaitingPerAccount) {
      return true;
    }
    ++share.waiting;
    return false;
  });
  if (!settled) {
    // Control may grant more than this node has asked for so far.
    RetryOnUpdate(reason, [&] { return m_buckets.With(account, try_take); });
    m_buckets.With(account,
                   [&](Buckets& buckets) { --buckets[account].waiting; });
  } else if (wait) {
    RequestPoll(PollReason::kOutOfTokens);
  }
  return wait;
}

std::optional<Member> NodeState::Choose(const std::string& service,
                                        const std::set<std::string>& excluded) {
  std::optional<Member> member;
  RetryOnUpdate(PollReason::kUrgent, [&] {
    return m_routers.With(service, [&](Routers& routers) {
      Router& router = RouterOf(routers, service);
      member = router.Choose(m_clock.Now(), excluded, m_random);
      return member.has_value() || router.revision() != 0;
    });
  });
  return member;
}

std::optional<Member> NodeState::ChooseBound(const std::string& service,
                                             const std::string& node) {
  std::optional<Member> member;
  RetryOnUpdate(PollReason::kUrgent, [&] {
    return m_routers.With(service, [&](Routers& routers) {
      Router& router = RouterOf(routers, service);
      member = router.ChooseBound(node);
      return member.has_value() || router.revision() != 0;
    });
  });
  return member;
}

void NodeState::FinishCall(const std::string& service,
                           const std::string& node,
                           CallResult result,
                           Duration took) {
  m_routers.With(service, [&](Routers& routers) {
    RouterOf(routers, service).Finish(m_clock.Now(), node, result, took);
  });
}

void NodeState::RequestPoll(PollReason reason) const {
  if (m_request_poll) {
    m_request_poll(reason);
  }
}

void NodeState::RetryOnUpdate(PollReason reason,
                              const std::function<bool()>& settled) {
  const auto deadline = std::chrono::steady_clock::now() +
                        std::chrono::milliseconds(kInitialDataTimeout.ms);
  uint64_t seen = UpdateCount();
  while (!settled()) {
    RequestPoll(reason);
    std::unique_lock lock(m_config_mutex);
    const bool updated = m_updated.wait_until(
        lock, deadline, [&] { return m_update_count > seen; });
    if (!updated) {
      return;
    }
    seen = m_update_count;
  }
}

uint64_t NodeState::UpdateCount() {
  std::scoped_lock lock(m_config_mutex);
  return m_update_count;
}

Router& NodeState::RouterOf(Routers& routers, const std::string& service) {
  const auto [entry, added] = routers.try_emplace(service, m_data_centre);
  if (added) {
    entry->second.SetEvacuated(Evacuated());
  }
  return entry->second;
}

std::set<std::string> NodeState::Evacuated() {
  const auto config = Config();
  if (config == nullptr) {
    return {};
  }
  const auto& names = config->state.evacuated;
  return {names.begin(), names.end()};
}

bool NodeState::IsLocalEvacuated() {
  return Evacuated().contains(m_data_centre);
}

void NodeState::ApplyEvacuations() {
  const std::set<std::string> evacuated = Evacuated();
  const std::set<std::string> before =
      std::exchange(m_applied_evacuations, evacuated);
  if (before == evacuated) {
    return;
  }
  LogEvacuationChange(before, evacuated);
  m_routers.ForEach([&](Routers& routers) {
    for (auto& [service, router] : routers) {
      router.SetEvacuated(evacuated);
    }
  });
}

}  // namespace rosemarywinch
