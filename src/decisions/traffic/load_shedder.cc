#include "rosemarywinch/decisions/traffic/load_shedder.h"

#include <algorithm>
#include <cmath>

namespace rosemarywinch {

namespace {

constexpr Duration kAdjustInterval{200};
// Minimum number of samples for a decrease: with fewer, one slow member would
// make the shedder refuse most requests, so it waits for more, up to the
// maximum interval. An increase needs only one sample, because a shedder that
// admits few requests gets few responses.
constexpr uint32_t kMinSamples = 6;
constexpr Duration kMaxAdjustInterval{1'000};
// Steps are small because a round trip under load takes longer than the
// interval.
constexpr double kMinDecrease = 0.05;
constexpr double kMaxDecrease = 0.25;
constexpr double kDecreasePerPressure = 0.1;
constexpr double kIncrease = 0.03;
// Increase for each interval while an admission plan is in force, which keeps
// the load in bounds. It needs no samples, so that a node with a request every
// few seconds recovers like the others.
constexpr double kGuardIncrease = 0.1;
// Pressure above which requests are shed: without an admission plan; with one
// that admits the priority whole, so that it may not know of an overload yet;
// and with one that limits it, under which waiting calls are worked off.
constexpr double kMaxPressure = 1;
constexpr double kMaxGuardPressure = 1.5;
constexpr double kMaxPlannedPressure = 6;
// Weight added to a priority when all other requests have a lower one; the
// lowest priority has weight 1.
constexpr double kMaxExtraWeight = 2;
// A few requests are always admitted: their responses show when capacity is
// available again.
constexpr double kMinAdmitted = 0.05;
// Time constant of the exponential decay of the request counts.
constexpr Duration kCountDecayTime{3'000};

}  // namespace

void PriorityDistribution::OnRequest(TimePoint now, uint32_t priority) {
  const double age = (now - m_last_decay).Seconds() / kCountDecayTime.Seconds();
  if (age > 0) {
    const double kept = std::exp(-age);
    for (auto& [other, requests] : m_requests) {
      requests *= kept;
    }
    m_last_decay = now;
  }
  m_requests[priority] += 1;
}

double PriorityDistribution::LowerPriorityFraction(uint32_t priority) const {
  double all = 0;
  double lower_priority = 0;
  for (const auto& [other, requests] : m_requests) {
    all += requests;
    lower_priority += other > priority ? requests : 0;
  }
  return all > 0 ? lower_priority / all : 0;
}

LoadShedder::LoadShedder() {
  m_highest.weight = 1 + kMaxExtraWeight;
}

bool LoadShedder::Admit(TimePoint now,
                        uint32_t priority,
                        double lower_priority,
                        double sample) {
  Adjust(now);
  const double weight = 1 + kMaxExtraWeight * lower_priority;
  PriorityState& own =
      m_states.try_emplace(priority, InitialState(weight)).first->second;
  own.weight = weight;
  const bool admit = sample < own.admitted;
  m_admitted += admit ? 1 : 0;
  return admit;
}

void LoadShedder::OnPressure(TimePoint now, double pressure) {
  m_pressure_sum += pressure;
  ++m_samples;
  m_last_sample = now;
  Adjust(now);
}

void LoadShedder::FollowPlan(uint32_t priority, double fraction) {
  m_plan_in_force = true;
  m_states.try_emplace(priority, InitialState(1)).first->second.planned =
      fraction;
}

void LoadShedder::EndPlan() {
  if (!m_plan_in_force) {
    return;
  }
  m_plan_in_force = false;
  double least = 1;
  double greatest = kMinAdmitted;
  for (auto& [priority, state] : m_states) {
    state.admitted = std::clamp(state.planned, kMinAdmitted, state.admitted);
    least = std::min(least, state.admitted);
    greatest = std::max(greatest, state.admitted);
  }
  m_lowest.admitted = least;
  m_highest.admitted = greatest;
}

double LoadShedder::admitted(uint32_t priority) const {
  const auto found = m_states.find(priority);
  return found == m_states.end() ? 1.0 : found->second.admitted;
}

void LoadShedder::Adjust(TimePoint now) {
  // A guard against sudden collapse must not act on what is long over.
  if (m_plan_in_force && now >= m_last_sample + kMaxAdjustInterval) {
    m_pressure_sum = 0;
    m_samples = 0;
  }
  const double pressure = m_samples > 0 ? m_pressure_sum / m_samples : 0;
  const bool may_adjust =
      m_samples >= kMinSamples || (m_samples > 0 && pressure <= 1);
  if (now <
      m_last_adjustment + (may_adjust ? kAdjustInterval : kMaxAdjustInterval)) {
    return;
  }
  if (m_samples > 0 || m_plan_in_force) {
    const double intervals =
        (now - m_last_adjustment).Seconds() / kAdjustInterval.Seconds();
    ApplyPressure(pressure, intervals);
  } else if (m_admitted == 0) {
    Recover();
  }
  // Admitted requests without a response are no evidence of free capacity, so
  // they do not raise the admitted fractions.
  BeginInterval(now);
}

// `intervals` is the time since the last adjustment in adjustment intervals.
void LoadShedder::ApplyPressure(double pressure, double intervals) {
  m_last_pressure = pressure;
  UpdateAdmitted(m_lowest, pressure, intervals);
  UpdateAdmitted(m_highest, pressure, intervals);
  for (auto& [priority, state] : m_states) {
    UpdateAdmitted(state, pressure, intervals);
  }
}

LoadShedder::PriorityState LoadShedder::InitialState(double weight) const {
  const double rank = (weight - m_lowest.weight) / kMaxExtraWeight;
  const double range = m_highest.admitted - m_lowest.admitted;
  return {m_lowest.admitted + rank * range, weight, 1};
}

void LoadShedder::BeginInterval(TimePoint now) {
  m_pressure_sum = 0;
  m_samples = 0;
  m_admitted = 0;
  m_last_adjustment = now;
}

void LoadShedder::UpdateAdmitted(PriorityState& state,
                                 double pressure,
                                 double intervals) const {
  double limit = kMaxPressure;
  if (m_plan_in_force) {
    limit = state.planned < 1 ? kMaxPlannedPressure : kMaxGuardPressure;
  }
  if (pressure > limit) {
    const double decrease = std::clamp(
        kDecreasePerPressure * (pressure - limit), kMinDecrease, kMaxDecrease);
    state.admitted *= 1 - decrease / state.weight;
  } else {
    const double increase =
        m_plan_in_force ? kGuardIncrease * intervals : kIncrease;
    state.admitted += increase * state.weight;
  }
  state.admitted = std::clamp(state.admitted, kMinAdmitted, 1.0);
}

// Called when no request was admitted in the interval and so no response could
// arrive: the admitted fractions recover with time alone.
void LoadShedder::Recover() {
  const auto recover = [](PriorityState& state) {
    state.admitted = std::min(1.0, state.admitted + kIncrease);
  };
  recover(m_lowest);
  recover(m_highest);
  for (auto& [priority, state] : m_states) {
    recover(state);
  }
}

}  // namespace rosemarywinch
