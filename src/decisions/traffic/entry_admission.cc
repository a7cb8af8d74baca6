#include "rosemarywinch/decisions/traffic/entry_admission.h"

#include <algorithm>

namespace rosemarywinch {

namespace {

// A node that hears nothing new for this long decides by itself: four polls,
// which is about the time in which a new leader is elected.
constexpr Duration kPlanTtl{2'000};

// Delays of a caller whose requests are nearly all admitted: at least two
// polls, so that the plan knows of the refusal, and spread over three times as
// long.
constexpr double kRetryAfterMs = 500;
constexpr double kRetrySpreadMs = 1'500;
// Callers of classes that are nearly shut return after 20 s at most.
constexpr double kMinRetryFraction = 0.1;

// Also false for a number that is not finite.
bool IsFraction(double value) {
  return value >= 0 && value <= 1;
}

}  // namespace

Duration RetryAfterShedding(double fraction, double sample) {
  const double delay = kRetryAfterMs + sample * kRetrySpreadMs;
  return Duration{static_cast<int64_t>(
      delay / std::clamp(fraction, kMinRetryFraction, 1.0))};
}

bool PlannedAdmission::IsValid(const AdmissionPlan& plan) {
  return std::all_of(plan.entries.begin(), plan.entries.end(),
                     [](const EntryAdmission& entry) {
                       return IsFraction(entry.fraction) &&
                              std::all_of(entry.accounts.begin(),
                                          entry.accounts.end(),
                                          [](const AccountAdmission& account) {
                                            return IsFraction(account.fraction);
                                          });
                     });
}

bool PlannedAdmission::Apply(TimePoint now, const AdmissionPlan& plan) {
  if (!IsValid(plan)) {
    return false;
  }
  // Sequences that go on keep their credit.
  std::map<EntryClass, Class> classes;
  for (const EntryAdmission& entry : plan.entries) {
    const EntryClass key{entry.service, entry.priority};
    Class& next = classes[key];
    Class& previous = m_classes[key];
    next.bottleneck = entry.bottleneck;
    next.others = {entry.fraction, previous.others.credit};
    for (const AccountAdmission& account : entry.accounts) {
      next.accounts[account.account] = {
          account.fraction, previous.accounts[account.account].credit};
    }
  }
  m_classes = std::move(classes);
  m_revision = plan.revision;
  m_confirmed = now;
  return true;
}

void PlannedAdmission::Confirm(TimePoint now, uint64_t revision) {
  if (m_revision != 0 && revision == m_revision) {
    m_confirmed = now;
  }
}

bool PlannedAdmission::IsInForce(TimePoint now) const {
  return m_revision != 0 && now < m_confirmed + kPlanTtl;
}

PlannedVerdict PlannedAdmission::Admit(const EntryClass& entry,
                                       const std::string& account,
                                       double random) {
  const auto found = m_classes.find(entry);
  if (found == m_classes.end()) {
    return {};
  }
  Class& planned = found->second;
  const auto own = planned.accounts.find(account);
  const bool own_share = own != planned.accounts.end();
  Sequence& sequence = own_share ? own->second : planned.others;
  if (sequence.credit < 0) {
    sequence.credit = random;
  }
  sequence.credit += sequence.fraction;
  const bool admitted = sequence.credit >= 1;
  sequence.credit -= admitted ? 1 : 0;
  const bool above_share =
      own_share && sequence.fraction < planned.others.fraction;
  return {admitted, sequence.fraction, planned.others.fraction, above_share,
          planned.bottleneck};
}

}  // namespace rosemarywinch
