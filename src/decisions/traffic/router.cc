#include "rosemarywinch/decisions/traffic/router.h"

#include <algorithm>
#include <cmath>

namespace rosemarywinch {

namespace {

// Slow start: the share of a starting member grows with its age up to this.
constexpr Duration kSlowStart{10'000};
constexpr double kMinSlowStartShare = 0.1;
// After a cold period the share grows from the cold one to the whole.
constexpr Duration kWarmUp{4'000};
// Assumed until this node has measured a call.
constexpr double kInitialCallMs = 100;
constexpr double kMeanCallWeight = 0.05;
constexpr double kMinUsableSlots = 0.1;
// Own calls in flight that fill the usable slots delay the next turn by this
// many intervals.
constexpr double kInFlightDelay = 4;
constexpr double kRefusalFactor = 0.8;
constexpr double kFailureFactor = 0.5;
constexpr double kMinHealth = 0.02;
// Fraction of the lost health that one answer restores.
constexpr double kAnswerRecovery = 0.2;
// Health recovers with this time constant, doubled with each failure in a row
// up to kMaxFailureDoublings, so that a dead server is tried ever less often.
constexpr double kRecoverySeconds = 2;
constexpr uint32_t kMaxFailureDoublings = 4;
// Calls leave the local data centre when less than this fraction of it is
// healthy.
constexpr double kMinHealthyFraction = 0.5;
// Without control, calls leave the local data centre while this node's own
// calls use more than kSpillLoad of its slots and more than kSpillRatio times
// the utilization elsewhere.
constexpr double kSpillRatio = 2.0;
constexpr double kSpillLoad = 0.7;
// Without control, the balance is kept for kBalanceTtl and then fades to no
// correction within kBalanceFade.
constexpr Duration kBalanceTtl{3'000};
constexpr Duration kBalanceFade{5'000};
constexpr Duration kTurnTtl{1'000};
// Time for which a data centre is excluded after a member refused a call as
// evacuated; a poll tells within half of it whether there is such an order.
constexpr Duration kEvacuationHintTtl{1'000};
constexpr uint64_t kRandomResolution = 1u << 20;

double Fraction(Random& random) {
  return static_cast<double>(random.Below(kRandomResolution)) /
         kRandomResolution;
}

}  // namespace

double Router::Group::HealthyFraction() const {
  return usable > 0 ? healthy / usable : 0;
}

double Router::Group::OwnUtilization() const {
  return usable > 0 ? in_flight / usable : 0;
}

void Router::Apply(TimePoint now, const ServiceUpdate& update) {
  m_revision = update.revision;
  if (update.complete) {
    std::set<std::string> listed;
    for (const Member& member : update.members) {
      listed.insert(member.node);
    }
    for (auto entry = m_members.begin(); entry != m_members.end();) {
      entry =
          listed.contains(entry->first) ? entry + 1 : m_members.erase(entry);
    }
  }
  for (const Member& member : update.members) {
    const auto [entry, added] = m_members.try_emplace(member.node);
    Record& record = entry->second;
    const bool was_starting = record.member.state == BackendState::kStarting;
    const bool starts = member.state == BackendState::kStarting;
    if (added || (!was_starting && starts)) {
      record.first_seen = now;
      record.turn.reset();
    }
    if (starts) {
      record.warm_since.reset();
    } else if (!added && was_starting && record.member.cold_rate > 0) {
      record.warm_since = now;
    }
    record.member = member;
  }
  for (const std::string& node : update.removed) {
    m_members.erase(node);
  }
  SetWeights();
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

void Router::ApplyBalance(const ServiceBalance& balance) {
  if (balance.revision <= m_balance_revision) {
    return;
  }
  m_balance_revision = balance.revision;
  m_weights.clear();
  for (const MemberWeight& member : balance.weights) {
    m_weights[member.node] = member.weight;
  }
  m_shares.clear();
  for (const DataCentreShare& share : balance.data_centres) {
    m_shares[share.data_centre] = share;
  }
  SetWeights();
}

void Router::SetWeights() {
  for (auto& [node, record] : m_members) {
    const auto found = m_weights.find(node);
    record.weight = found == m_weights.end() ? 1 : found->second;
  }
}

std::optional<Member> Router::Choose(TimePoint now,
                                     const std::set<std::string>& excluded,
                                     Random& random) {
  CollectCandidates(now, excluded);
  if (m_local.candidates.empty() && m_remote.candidates.empty()) {
    return std::nullopt;
  }
  Group& group = ChooseGroup(now, random);
  SetShares(group);
  Record* best = nullptr;
  double best_turn = 0;
  for (const Candidate& candidate : group.candidates) {
    Record& record = *candidate.record;
    const double interval = 1 / candidate.share;
    // Without a recent turn, the next one comes after a random time. Drawn from
    // the exponential distribution, it makes the choice a weighted random one,
    // so that nodes do not send to a member that returns at the same moment,
    // and rare calls follow a change of weights at once.
    const bool recent = record.turn && now < record.turned_at + kTurnTtl &&
                        *record.turn + 2 * interval >= group.virtual_time;
    if (!recent) {
      record.turn =
          group.virtual_time - interval * (1 + std::log(1 - Fraction(random)));
    }
    const double own = record.in_flight / candidate.usable;
    const double turn = *record.turn + interval * (1 + kInFlightDelay * own);
    if (best == nullptr || turn < best_turn) {
      best = &record;
      best_turn = turn;
    }
  }
  best->turn = best_turn;
  best->turned_at = now;
  group.virtual_time = std::max(group.virtual_time, best_turn);
  ++best->in_flight;
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
                    Duration took) {
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
  const double health = Health(now, record);
  record.health_at = now;
  switch (result) {
    case CallResult::kAnswered: {
      record.failures = 0;
      record.health = health + kAnswerRecovery * (1 - health);
      const auto ms = static_cast<double>(took.ms);
      m_mean_call_ms +=
          (m_mean_call_ms == 0 ? 1 : kMeanCallWeight) * (ms - m_mean_call_ms);
      return;
    }
    case CallResult::kRefused:
      record.health = std::max(kMinHealth, health * kRefusalFactor);
      return;
    case CallResult::kFailed:
      ++record.failures;
      record.health = std::max(kMinHealth, health * kFailureFactor);
      return;
    case CallResult::kEvacuated:
      return;
  }
}

bool Router::IsAvailable(const Record& record) {
  return record.member.state == BackendState::kReady ||
         record.member.state == BackendState::kStarting;
}

double Router::Health(TimePoint now, const Record& record) {
  if (record.health >= 1) {
    return 1;
  }
  const double time_constant =
      kRecoverySeconds * std::exp2(static_cast<double>(
                             std::min(record.failures, kMaxFailureDoublings)));
  const double elapsed = (now - record.health_at).Seconds();
  const double health =
      1 - (1 - record.health) * std::exp(-elapsed / time_constant);
  return std::clamp(health, kMinHealth, 1.0);
}

// Returns the slots that a cold member can use: the calls that it bears times
// their duration.
double Router::ColdSlots(const Record& record) const {
  const double call_ms = m_mean_call_ms > 0 ? m_mean_call_ms : kInitialCallMs;
  const double slots = std::max<uint32_t>(1, record.member.slots);
  return std::clamp(record.member.cold_rate * call_ms / 1000, kMinUsableSlots,
                    slots);
}

// Returns the slots that the member can use at present: fewer while it is cold
// and for some seconds after, or during slow start.
double Router::UsableSlots(TimePoint now, const Record& record) const {
  const double slots = std::max<uint32_t>(1, record.member.slots);
  if (record.member.state == BackendState::kStarting) {
    if (record.member.cold_rate > 0) {
      return ColdSlots(record);
    }
    const double age =
        (now - record.first_seen).Seconds() / kSlowStart.Seconds();
    return slots * std::clamp(age, kMinSlowStartShare, 1.0);
  }
  if (record.warm_since && now < *record.warm_since + kWarmUp) {
    const double warmth =
        (now - *record.warm_since).Seconds() / kWarmUp.Seconds();
    const double cold = ColdSlots(record);
    return cold + (slots - cold) * warmth;
  }
  return slots;
}

void Router::CollectCandidates(TimePoint now,
                               const std::set<std::string>& excluded) {
  for (Group* group : {&m_local, &m_remote}) {
    group->candidates.clear();
    group->usable = 0;
    group->healthy = 0;
    group->in_flight = 0;
  }
  for (auto& [node, record] : m_members) {
    if (!IsAvailable(record) ||
        (!excluded.empty() && excluded.contains(node)) ||
        !IsInUse(now, record.member.data_centre)) {
      continue;
    }
    const bool local = record.member.data_centre == m_data_centre;
    Group& group = local ? m_local : m_remote;
    Candidate candidate;
    candidate.record = &record;
    candidate.usable = UsableSlots(now, record);
    candidate.health = Health(now, record);
    candidate.share = candidate.usable * Faded(now, record.weight);
    if (!local && !m_shares.empty()) {
      const auto share = m_shares.find(record.member.data_centre);
      const double inbound =
          share == m_shares.end() ? 1 : share->second.inbound_weight;
      candidate.share *= Faded(now, inbound);
    }
    group.usable += candidate.usable;
    group.healthy += candidate.usable * candidate.health;
    group.in_flight += record.in_flight;
    group.candidates.push_back(candidate);
  }
}

// Applies the health of the candidates. When less than half of the group is
// healthy, the fault is more likely elsewhere: a constant is added to all, so
// that a healthy member gets at most twice its usual share.
void Router::SetShares(Group& group) const {
  const double added = std::max(0.0, 1 - 2 * group.HealthyFraction());
  double sum = 0;
  for (Candidate& candidate : group.candidates) {
    candidate.share *= candidate.health + added;
    sum += candidate.share;
  }
  // Control may have closed data centres to calls from here. If there is
  // nothing else to choose, they are used anyway.
  if (sum <= 0) {
    for (Candidate& candidate : group.candidates) {
      candidate.share = candidate.usable;
    }
    return;
  }
  std::erase_if(group.candidates, [](const Candidate& candidate) {
    if (candidate.share <= 0) {
      candidate.record->turn.reset();
    }
    return candidate.share <= 0;
  });
}

Router::Group& Router::ChooseGroup(TimePoint now, Random& random) {
  if (m_local.candidates.empty() || m_remote.candidates.empty()) {
    return m_local.candidates.empty() ? m_remote : m_local;
  }
  const bool has_control =
      m_control_heard && now < *m_control_heard + kBalanceTtl;
  if (!has_control) {
    const double own = m_local.OwnUtilization();
    if (own > kSpillLoad && own > m_remote.OwnUtilization() * kSpillRatio) {
      return m_remote;
    }
  }
  double local_fraction = 1;
  const auto share = m_shares.find(m_data_centre);
  if (share != m_shares.end()) {
    local_fraction = Faded(now, share->second.local_fraction);
  }
  const double healthy = m_local.HealthyFraction();
  if (healthy < kMinHealthyFraction && healthy < m_remote.HealthyFraction()) {
    local_fraction *= healthy / kMinHealthyFraction;
  }
  const bool stays = local_fraction >= 1 || Fraction(random) < local_fraction;
  return stays ? m_local : m_remote;
}

// Returns a value of the balance, nearer to 1 the longer control is silent.
double Router::Faded(TimePoint now, double value) const {
  if (value == 1 || !m_control_heard) {
    return 1;
  }
  const Duration silent = now - *m_control_heard - kBalanceTtl;
  const double faded =
      std::clamp(silent.Seconds() / kBalanceFade.Seconds(), 0.0, 1.0);
  return value + (1 - value) * faded;
}

}  // namespace rosemarywinch
