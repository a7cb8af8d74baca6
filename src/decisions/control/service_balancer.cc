#include "rosemarywinch/decisions/control/service_balancer.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace rosemarywinch {

namespace {

// The upper half of a revision holds the term, as in MembershipDirectory.
constexpr int kTermShift = 32;
// More than a balancer makes in a second.
constexpr int64_t kRevisionsPerSecond = 4;
constexpr double kMaxReported = 1'000'000;
// A new leader has heard from all nodes after this: they poll twice a second.
constexpr Duration kReportTime{1'200};
constexpr Duration kSilence{3'000};
constexpr Duration kStep{1'000};
constexpr Duration kUrgentStep{500};
// A report that arrives this soon after one with a higher sequence was delayed;
// later, a lower sequence is that of a node that has restarted.
constexpr Duration kMaxReportDelay{1'000};
// Time for which the routers let the share of a member grow that was starting.
constexpr Duration kWarmUp{5'000};
// Weight of a report in the smoothed load: a time constant of about 1.2 s.
constexpr double kSmoothing = 0.25;
// Exponent of the corrections. Integral control with a delay of 3 steps, which
// includes the smoothing, is stable below 2 sin(pi / 14) = 0.44.
constexpr double kGain = 0.3;
// Logarithm of a ratio up to which it is mostly the noise of few calls; such
// ratios are corrected less.
constexpr double kNoise = 0.2;
// Exponent for a member that refuses or fails calls.
constexpr double kUrgentGain = 1;
constexpr double kMaxStep = 1.4;
constexpr double kMaxUrgentStep = 2.5;
// A quarter of the members at a quarter of their speed, with speeds from 0.5
// to 1.5, need weights from 0.15 to 1.8; a member at a tenth needs 0.1.
constexpr double kMinWeight = 0.1;
constexpr double kMaxWeight = 3;
// Added to utilizations before they are compared: without load, the ratio of
// two of them says nothing.
constexpr double kIdleUtilization = 0.05;
// Waiting calls beyond this say nothing more about how slow a member is.
constexpr double kMaxUtilization = 2;
// A member with this fraction of its calls refused or failed counts as fully
// used.
constexpr double kFullErrors = 0.1;
// Relative change from which a balance is published.
constexpr double kPublishChange = 0.1;
// Weights are rounded to powers of this, so that the rounding is far smaller
// than a change that is published; fractions to multiples of kRounding.
constexpr double kWeightBase = 1.04;
constexpr double kRounding = 0.05;
// Weights below the first are logged as low until they exceed the second.
constexpr double kLowWeight = 0.5;
constexpr double kRecoveredWeight = 0.7;
// Utilization of a data centre up to which all its calls stay in it.
constexpr double kSpillUtilization = 0.7;
// Hysteresis around the utilization at which the fraction is held.
constexpr double kSpillMargin = 0.03;
constexpr double kReturnMargin = 0.05;
// Spilling buys nothing when the whole service is used to this degree, until
// it falls to the lower one.
constexpr double kFull = 0.95;
constexpr double kNotFull = 0.88;
constexpr double kMaxSpillStep = 1.15;
constexpr double kMinReturnStep = 1.05;
constexpr double kMaxReturnStep = 1.5;
constexpr double kReturnGain = 0.5;
constexpr double kMinLocalFraction = 0.05;
// Headroom above the target utilization that counts as free, and the largest
// change of the inbound weight in a step.
constexpr double kInboundHeadroom = 0.1;
constexpr double kMaxInboundStep = 0.1;
constexpr double kInboundChange = 0.15;

double Rounded(double value) {
  return std::round(value / kRounding) * kRounding;
}

double RoundedWeight(double weight) {
  return std::pow(kWeightBase,
                  std::round(std::log(weight) / std::log(kWeightBase)));
}

double Smoothed(double before, double value) {
  return before + kSmoothing * (value - before);
}

// Returns the exponent of the correction for a ratio of utilizations.
double GainOf(double ratio) {
  return kGain * std::min(1.0, std::abs(std::log(ratio)) / kNoise);
}

bool Changed(double value, double published) {
  return std::abs(value - published) > kPublishChange * published;
}

}  // namespace

Result<Done> CheckLoad(const BackendLoad& load) {
  const std::array<std::pair<const char*, double>, 6> values{{
      {"usable_slots", load.usable_slots},
      {"busy", load.busy},
      {"waiting", load.waiting},
      {"completed_rate", load.completed_rate},
      {"refused_rate", load.refused_rate},
      {"failed_rate", load.failed_rate},
  }};
  for (const auto& [name, value] : values) {
    // Also false for a value that is not a number.
    const bool valid = value >= 0 && value <= kMaxReported;
    if (!valid) {
      return Fail(ErrorId::kBadValue, std::string(name) + " is " +
                                          std::to_string(value) +
                                          ", expected 0 to 1000000");
    }
  }
  return Done{};
}

double ServiceBalancer::Record::Utilization() const {
  const double used = usable > 0 ? load / usable : 0;
  const double by_errors = std::min(1.0, errors / kFullErrors);
  return std::clamp(used, by_errors, kMaxUtilization);
}

bool ServiceBalancer::Record::IsUsable() const {
  return usable > 0 &&
         (state == BackendState::kReady || state == BackendState::kStarting);
}

ServiceBalancer::ServiceBalancer(TimePoint now, uint64_t term, Duration in_term)
    : m_since(now),
      m_first_revision(
          (term << kTermShift) +
          static_cast<uint64_t>(in_term.ms * kRevisionsPerSecond / 1000)),
      m_revision(m_first_revision),
      m_next_step(now + kReportTime) {}

void ServiceBalancer::OnReport(TimePoint now,
                               const Member& member,
                               uint64_t sequence,
                               const BackendLoad& load,
                               const std::set<std::string>& evacuated) {
  const auto [entry, added] = m_members.try_emplace(member.node);
  Record& record = entry->second;
  const bool late = !added && sequence <= record.sequence &&
                    now < record.last_heard + kMaxReportDelay;
  if (late) {
    return;
  }
  if (added) {
    record.load = load.busy + load.waiting;
  }
  record.sequence = sequence;
  Update(now, record, member, load);
  const bool due =
      now >= m_next_step || (m_urgent && now + kUrgentStep >= m_next_step);
  if (due && now >= m_since + kReportTime) {
    Step(now, evacuated);
  }
}

void ServiceBalancer::Update(TimePoint now,
                             Record& record,
                             const Member& member,
                             const BackendLoad& load) {
  record.last_heard = now;
  record.data_centre = member.data_centre;
  record.slots = std::max<uint32_t>(1, member.slots);
  if (member.state == BackendState::kStarting) {
    record.settled = now + kWarmUp;
  }
  record.state = member.state;
  record.usable = load.usable_slots;
  record.load = Smoothed(record.load, load.busy + load.waiting);
  const double bad = load.refused_rate + load.failed_rate;
  const double ended = bad + load.completed_rate;
  if (ended <= 0) {
    return;
  }
  const double errors = bad / ended;
  const bool begins = errors >= kFullErrors && record.errors < kFullErrors;
  m_urgent = m_urgent || begins;
  // Refusals count at once, their absence only with time.
  record.errors = std::max(errors, Smoothed(record.errors, errors));
}

void ServiceBalancer::Step(TimePoint now,
                           const std::set<std::string>& evacuated) {
  m_next_step = now + kStep;
  m_urgent = false;
  std::erase_if(m_members, [&](const auto& entry) {
    const bool silent = now >= entry.second.last_heard + kSilence;
    // If it returns, it starts with the weight of 1 everywhere.
    m_must_publish = m_must_publish || (silent && entry.second.published != 1);
    return silent;
  });
  SumUp(evacuated);
  CorrectWeights(now);
  CorrectFractions();
  PublishIfChanged();
}

void ServiceBalancer::SumUp(const std::set<std::string>& evacuated) {
  for (auto& [name, data_centre] : m_data_centres) {
    data_centre.usable = 0;
    data_centre.load = 0;
    data_centre.slots = 0;
    data_centre.weighted_slots = 0;
  }
  for (const auto& [node, record] : m_members) {
    if (!record.IsUsable() || evacuated.contains(record.data_centre)) {
      continue;
    }
    DataCentre& data_centre = m_data_centres[record.data_centre];
    data_centre.usable += record.usable;
    data_centre.load += record.usable * record.Utilization();
    data_centre.slots += record.slots;
    data_centre.weighted_slots += record.slots * record.weight;
  }
  for (auto& [name, data_centre] : m_data_centres) {
    data_centre.utilization =
        data_centre.usable > 0 ? data_centre.load / data_centre.usable : 0;
  }
}

void ServiceBalancer::CorrectWeights(TimePoint now) {
  for (auto& [node, record] : m_members) {
    const DataCentre& data_centre = m_data_centres[record.data_centre];
    if (data_centre.usable <= 0 || !record.IsUsable()) {
      continue;
    }
    // Keeps the mean weight at 1.
    const double scale = data_centre.slots / data_centre.weighted_slots;
    double step = 1;
    if (now >= record.settled) {
      const double ratio = (data_centre.utilization + kIdleUtilization) /
                           (record.Utilization() + kIdleUtilization);
      const bool urgent = record.errors >= kFullErrors && ratio < 1;
      const double limit = urgent ? kMaxUrgentStep : kMaxStep;
      const double gain = urgent ? kUrgentGain : GainOf(ratio);
      step = std::clamp(std::pow(ratio, gain), 1 / limit, limit);
    }
    record.weight =
        std::clamp(record.weight * scale * step, kMinWeight, kMaxWeight);
    NoteLowWeight(node, record);
  }
}

// The fraction of a data centre is held while its utilization is near the
// target: 0.7, or the utilization of the whole service if that is higher, so
// that there are always data centres that can take what another one sends.
void ServiceBalancer::CorrectFractions() {
  double usable = 0;
  double load = 0;
  for (const auto& [name, data_centre] : m_data_centres) {
    usable += data_centre.usable;
    load += data_centre.load;
  }
  const double whole = usable > 0 ? load / usable : 0;
  m_full = whole >= (m_full ? kNotFull : kFull);
  const double target = std::max(kSpillUtilization, whole);
  for (auto& [name, data_centre] : m_data_centres) {
    double& fraction = data_centre.local_fraction;
    if (data_centre.usable <= 0) {
      fraction = 0;
      data_centre.inbound = 0;
      continue;
    }
    fraction = std::max(fraction, kMinLocalFraction);
    const double used = data_centre.utilization;
    const double free = target + kInboundHeadroom - used;
    const bool alone = data_centre.usable >= usable;
    if (m_full || alone || used < target - kReturnMargin) {
      const double room = target / (used + kIdleUtilization);
      const double step = std::clamp(std::pow(room, kReturnGain),
                                     kMinReturnStep, kMaxReturnStep);
      fraction = std::min(1.0, fraction * step);
    } else if (used > target + kSpillMargin) {
      fraction *= std::max(1 / kMaxSpillStep, std::pow(target / used, kGain));
      fraction = std::max(fraction, kMinLocalFraction);
    }
    // A data centre that sends calls away takes none.
    const double wanted =
        fraction < 1 && !m_full ? 0 : std::clamp(free / target, 0.0, 1.0);
    data_centre.inbound += std::clamp(wanted - data_centre.inbound,
                                      -kMaxInboundStep, kMaxInboundStep);
  }
}

void ServiceBalancer::PublishIfChanged() {
  bool spills = false;
  bool changed = std::exchange(m_must_publish, false);
  for (const auto& [name, data_centre] : m_data_centres) {
    const double fraction = Rounded(data_centre.local_fraction);
    spills = spills || fraction < 1;
    changed = changed || Changed(fraction, data_centre.published_fraction) ||
              ((fraction < 1) != (data_centre.published_fraction < 1));
  }
  for (auto& [name, data_centre] : m_data_centres) {
    // Without calls between data centres it does not matter what they take.
    const double inbound = spills ? data_centre.inbound : 1;
    changed =
        changed || std::abs(Rounded(inbound) - data_centre.published_inbound) >
                       kInboundChange;
  }
  for (const auto& [node, record] : m_members) {
    changed = changed || Changed(record.weight, record.published);
  }
  if (!changed) {
    return;
  }
  ++m_revision;
  for (auto& [name, data_centre] : m_data_centres) {
    data_centre.published_fraction = Rounded(data_centre.local_fraction);
    data_centre.published_inbound = spills ? Rounded(data_centre.inbound) : 1;
  }
  for (auto& [node, record] : m_members) {
    record.published = RoundedWeight(record.weight);
  }
}

void ServiceBalancer::NoteLowWeight(const std::string& node, Record& record) {
  const bool low = record.weight < (record.low ? kRecoveredWeight : kLowWeight);
  if (low != record.low) {
    record.low = low;
    m_changes.push_back({node, record.weight, record.Utilization(), low});
  }
}

std::optional<ServiceBalance> ServiceBalancer::NewerThan(
    TimePoint now,
    uint64_t revision) const {
  const bool never_balanced = revision == 0 && m_revision == m_first_revision;
  if (revision >= m_revision || never_balanced ||
      now < m_since + kReportTime + kStep) {
    return std::nullopt;
  }
  ServiceBalance balance;
  balance.revision = m_revision;
  for (const auto& [node, record] : m_members) {
    if (record.published != 1) {
      balance.weights.push_back({node, record.published});
    }
  }
  for (const auto& [name, data_centre] : m_data_centres) {
    if (data_centre.published_fraction != 1 ||
        data_centre.published_inbound != 1) {
      balance.data_centres.push_back({name, data_centre.published_fraction,
                                      data_centre.published_inbound});
    }
  }
  return balance;
}

std::vector<WeightChange> ServiceBalancer::TakeChanges() {
  return std::exchange(m_changes, {});
}

std::vector<MemberBalance> ServiceBalancer::Members() const {
  std::vector<MemberBalance> members;
  members.reserve(m_members.size());
  for (const auto& [node, record] : m_members) {
    members.push_back(
        {node, record.data_centre, record.published, record.Utilization()});
  }
  return members;
}

bool ServiceBalancer::IsEmpty(TimePoint now) const {
  return std::all_of(m_members.begin(), m_members.end(),
                     [&](const auto& entry) {
                       return now >= entry.second.last_heard + kSilence;
                     });
}

}  // namespace rosemarywinch
