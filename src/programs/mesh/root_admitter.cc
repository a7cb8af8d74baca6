#include "rosemarywinch/programs/mesh/root_admitter.h"

#include <fmt/format.h>

#include "rosemarywinch/adapters/log.h"

namespace rosemarywinch {

namespace {

constexpr uint64_t kRandomResolution = 1u << 20;

}  // namespace

double RandomFraction(Random& random) {
  return static_cast<double>(random.Below(kRandomResolution)) /
         kRandomResolution;
}

void RootAdmitter::FillPoll(PollRequest& request) {
  const TimePoint now = m_clock.Now();
  std::scoped_lock lock(m_mutex);
  request.demand = m_demand.Take(now);
  request.admission_revision = m_planned.revision();
}

// Until a new leader knows the fleet, the plan of the last one goes on until it
// expires.
void RootAdmitter::ApplyPoll(const PollResponse& response) {
  if (!response.admission_known) {
    return;
  }
  const TimePoint now = m_clock.Now();
  std::scoped_lock lock(m_mutex);
  if (response.admission && !m_planned.Apply(now, *response.admission)) {
    LogEvent(LogLevel::kError, "admission_plan_invalid",
             {{"revision", std::to_string(response.admission->revision)}});
  }
  m_planned.Confirm(now, response.admission_revision);
}

RootAdmission RootAdmitter::Admit(const EntryClass& entry,
                                  const std::string& account) {
  const auto planned = AskPlan(entry, account, RandomFraction(m_random));
  const double lower_priority = CountPriority(entry.priority);
  // The load shedder sees only what the plan admits.
  RootAdmission admission;
  if (!planned || planned->admitted) {
    admission = AskShedder(entry, planned, lower_priority);
  } else {
    admission.admitted = false;
    admission.fraction = planned->fraction;
    admission.explanation = fmt::format(
        "{} is short: {} priority {}, planned fraction {:.2f} of {}",
        planned->bottleneck, entry.service, entry.priority, planned->fraction,
        planned->account_share ? "account " + account + ", above its fair share"
                               : "all");
  }
  const uint64_t random = m_random.Below(kRandomResolution);
  std::scoped_lock lock(m_mutex);
  m_demand.OnRequest(entry, account, admission.admitted, random);
  return admission;
}

std::optional<PlannedVerdict> RootAdmitter::AskPlan(const EntryClass& entry,
                                                    const std::string& account,
                                                    double random) {
  const TimePoint now = m_clock.Now();
  std::scoped_lock lock(m_mutex);
  if (!m_planned.IsInForce(now)) {
    return std::nullopt;
  }
  return m_planned.Admit(entry, account, random);
}

// Returns the fraction of the recent requests that have a lower priority.
double RootAdmitter::CountPriority(uint32_t priority) {
  std::scoped_lock lock(m_priorities_mutex);
  m_priorities.OnRequest(m_clock.Now(), priority);
  return m_priorities.LowerPriorityFraction(priority);
}

RootAdmission RootAdmitter::AskShedder(
    const EntryClass& entry,
    const std::optional<PlannedVerdict>& planned,
    double lower_priority) {
  const TimePoint now = m_clock.Now();
  const double sample = RandomFraction(m_random);
  return m_shedders.With(entry.service, [&](Shedders& shedders) {
    LoadShedder& shedder = shedders[entry.service];
    if (planned) {
      shedder.FollowPlan(entry.priority, planned->class_fraction);
    } else {
      shedder.EndPlan();
    }
    RootAdmission admission;
    admission.admitted =
        shedder.Admit(now, entry.priority, lower_priority, sample);
    if (!admission.admitted) {
      admission.fraction = shedder.admitted(entry.priority);
      admission.explanation = fmt::format(
          "{}: priority {}, admitted fraction {:.2f} at pressure {:.2f}",
          entry.service, entry.priority, admission.fraction,
          shedder.last_pressure());
    }
    return admission;
  });
}

void RootAdmitter::OnRateRefused(const EntryClass& entry) {
  std::scoped_lock lock(m_mutex);
  m_demand.OnRefusedLater(entry);
}

std::optional<size_t> RootAdmitter::LimitedClasses() const {
  std::scoped_lock lock(m_mutex);
  return m_planned.IsInForce(m_clock.Now())
             ? std::optional(m_planned.limited_classes())
             : std::nullopt;
}

void RootAdmitter::RecordPressure(const std::string& service, double pressure) {
  const TimePoint now = m_clock.Now();
  m_shedders.With(service, [&](Shedders& shedders) {
    shedders[service].OnPressure(now, pressure);
  });
}

}  // namespace rosemarywinch
