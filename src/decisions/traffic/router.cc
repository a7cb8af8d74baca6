#include "rosemarywinch/decisions/traffic/router.h"

#include <algorithm>

namespace rosemarywinch {

namespace {

constexpr size_t kChoices = 3;
constexpr double kEwmaWeight = 0.2;
constexpr uint32_t kFailuresToEject = 5;
constexpr Duration kFirstEjection{1'000};
constexpr Duration kMaxEjection{30'000};
// Slow start: the share of a starting member grows with its age up to this.
constexpr Duration kSlowStart{10'000};
constexpr double kMinSlowStartShare = 0.1;
// Traffic spills over to other data centres when the mean load of the local
// members exceeds both this multiple of the remote mean and kSpillLoad.
constexpr double kSpillRatio = 2.0;
constexpr double kSpillLoad = 0.7;
// Lifetime of a load report.
constexpr Duration kLoadReportTtl{2'000};
// A local member has spare capacity while less than this fraction of its slots
// is in use and it refuses or fails less than this fraction of its calls.
constexpr double kMaxLocalUtilisation = 0.85;
constexpr double kMaxLocalErrorRate = 0.15;
// Time for which a data centre is excluded after a member refused a call as
// evacuated; a poll tells within half of it whether there is such an order.
constexpr Duration kEvacuationHintTtl{1'000};

}  // namespace

void Router::Apply(TimePoint now, const ServiceUpdate& update) {
  m_revision = update.revision;
  if (update.complete) {
    std::set<std::string> listed;
    for (const Member& member : update.members) {
      listed.insert(member.node);
    }
    std::erase_if(m_members, [&](const auto& entry) {
      return !listed.contains(entry.first);
    });
  }
  for (const Member& member : update.members) {
    const auto [entry, added] = m_members.try_emplace(member.node);
    Record& record = entry->second;
    const bool restarted = record.member.state != BackendState::kStarting &&
                           member.state == BackendState::kStarting;
    if (added || restarted) {
      record.first_seen = now;
    }
    record.member = member;
  }
  for (const std::string& node : update.removed) {
    m_members.erase(node);
  }
}

void Router::SetEvacuated(const std::set<std::string>& data_centres) {
  m_evacuated = data_centres;
  m_refusing.clear();
}

bool Router::IsInUse(TimePoint now, const std::string& data_centre) const {
  const auto refusing = m_refusing.find(data_centre);
  return !m_evacuated.contains(data_centre) &&
         (refusing == m_refusing.end() || now >= refusing->second);
}

std::optional<Member> Router::Choose(TimePoint now,
                                     const std::set<std::string>& excluded,
                                     Random& random) {
  std::vector<Record*> candidates = Candidates(now, excluded);
  if (candidates.empty()) {
    return std::nullopt;
  }
  PreferLocalDataCentre(now, candidates);
  Record* best = nullptr;
  for (size_t i = 0; i < kChoices; ++i) {
    Record* other = candidates[random.Below(candidates.size())];
    if (best == nullptr || Load(now, *other) < Load(now, *best)) {
      best = other;
    }
  }
  ++best->in_flight;
  ++best->calls_since_report;
  return best->member;
}

std::optional<Member> Router::ChooseBound(const std::string& node) {
  const auto found = m_members.find(node);
  if (found == m_members.end()) {
    return std::nullopt;
  }
  ++found->second.in_flight;
  return found->second.member;
}

void Router::Finish(TimePoint now,
                    const std::string& node,
                    CallResult result,
                    Duration took,
                    std::optional<LoadReport> load) {
  const auto found = m_members.find(node);
  if (found == m_members.end()) {
    return;
  }
  Record& record = found->second;
  record.in_flight -= std::min<uint32_t>(record.in_flight, 1);
  if (result == CallResult::kEvacuated) {
    m_refusing[record.member.data_centre] = now + kEvacuationHintTtl;
    return;
  }
  if (load) {
    record.load = load;
    record.reported_at = now;
    record.calls_since_report = 0;
  }
  const double failed = result == CallResult::kFailed ? 1 : 0;
  record.failure_rate += kEwmaWeight * (failed - record.failure_rate);
  const double refused = result == CallResult::kRefused ? 1 : 0;
  record.refusal_rate += kEwmaWeight * (refused - record.refusal_rate);
  if (result == CallResult::kFailed) {
    ++record.failures;
    EjectIfFailing(now, record);
    return;
  }
  record.failures = 0;
  if (result == CallResult::kAnswered) {
    const auto ms = static_cast<double>(took.ms);
    record.mean_ms += kEwmaWeight * (ms - record.mean_ms);
  }
}

bool Router::IsAvailable(const Record& record) {
  return record.member.state == BackendState::kReady ||
         record.member.state == BackendState::kStarting;
}

// Returns the slots that the member can use at present; fewer during slow
// start.
double Router::UsableSlots(TimePoint now, const Record& record) const {
  const double slots = std::max<uint32_t>(1, record.member.slots);
  const double age = (now - record.first_seen).Seconds() / kSlowStart.Seconds();
  const double share = std::clamp(age, kMinSlowStartShare, 1.0);
  const bool ramps = record.member.state == BackendState::kStarting;
  return slots * (ramps ? share : 1.0);
}

// Returns whether the member has free slots and a low error rate. Uses the load
// that the member reported where the report is recent.
bool Router::HasSpareCapacity(TimePoint now, const Record& record) const {
  double used = record.in_flight + 1;
  if (record.load && now < record.reported_at + kLoadReportTtl) {
    used =
        std::max<double>(used, record.load->in_flight + record.load->waiting +
                                   record.calls_since_report);
  }
  return used < kMaxLocalUtilisation * UsableSlots(now, record) &&
         record.refusal_rate + record.failure_rate < kMaxLocalErrorRate;
}

double Router::Load(TimePoint now, const Record& record) const {
  const double usable = UsableSlots(now, record);
  double used = record.in_flight + 1;
  if (record.load && now < record.reported_at + kLoadReportTtl) {
    used =
        std::max<double>(used, record.load->in_flight + record.load->waiting +
                                   record.calls_since_report);
  }
  const double busy = used / usable;
  return busy * (1 + record.mean_ms / 100.0) + 2 * record.refusal_rate +
         2 * record.failure_rate;
}

std::vector<Router::Record*> Router::Candidates(
    TimePoint now,
    const std::set<std::string>& excluded) {
  std::vector<Record*> ready;
  std::vector<Record*> ejected;
  for (auto& [node, record] : m_members) {
    if (!IsAvailable(record) || excluded.contains(node) ||
        !IsInUse(now, record.member.data_centre)) {
      continue;
    }
    (now < record.ejected_until ? ejected : ready).push_back(&record);
  }
  // Ejection must never empty a service. When more than half of the candidates
  // are ejected, the fault is more likely elsewhere, so all of them are tried.
  if (ejected.size() > ready.size()) {
    ready.insert(ready.end(), ejected.begin(), ejected.end());
  }
  return ready.empty() ? ejected : ready;
}

void Router::PreferLocalDataCentre(TimePoint now,
                                   std::vector<Record*>& candidates) const {
  const auto is_remote = [this](const Record* record) {
    return record->member.data_centre != m_data_centre;
  };
  const auto remote_begin =
      std::stable_partition(candidates.begin(), candidates.end(),
                            [&](const Record* r) { return !is_remote(r); });
  if (remote_begin == candidates.begin() || remote_begin == candidates.end()) {
    return;
  }
  const auto mean_load = [&](auto begin, auto end) {
    double sum = 0;
    for (auto it = begin; it != end; ++it) {
      sum += Load(now, **it);
    }
    return sum / static_cast<double>(end - begin);
  };
  const auto spare_end = std::partition(
      candidates.begin(), remote_begin,
      [&](const Record* r) { return HasSpareCapacity(now, *r); });
  if (spare_end != candidates.begin() && (*candidates.begin())->load) {
    candidates.erase(spare_end, candidates.end());
    return;
  }
  const double local_load = mean_load(candidates.begin(), remote_begin);
  const double remote_load = mean_load(remote_begin, candidates.end());
  const bool spill =
      local_load > kSpillLoad && local_load > remote_load * kSpillRatio;
  if (!spill) {
    candidates.erase(remote_begin, candidates.end());
  }
}

void Router::EjectIfFailing(TimePoint now, Record& record) {
  if (record.failures < kFailuresToEject) {
    return;
  }
  const uint32_t rounds =
      std::min<uint32_t>(record.failures - kFailuresToEject, 5);
  const Duration pause = kFirstEjection * (int64_t{1} << rounds);
  record.ejected_until = now + std::min(pause, kMaxEjection);
}

}  // namespace rosemarywinch
