#include "rosemarywinch/decisions/control/service_capacity.h"

#include <algorithm>

namespace rosemarywinch {

namespace {

// Part of the usable slots that is planned for. The rest absorbs the randomness
// of arrivals, without which calls would wait.
constexpr double kTargetUtilization = 0.9;
// Time in which waiting calls are to be worked off.
constexpr double kDrainSeconds = 2;
// Part of the usable slots that is planned for at least, whatever waits.
constexpr double kMinCapacity = 0.1;

// Above this wait, or fraction of refused calls, the trim factor falls.
constexpr double kMaxWaitSeconds = 0.040;
constexpr double kMaxRefused = 0.05;
// Above this it falls by the greater step.
constexpr double kLongWaitSeconds = 0.2;
constexpr double kManyRefused = 0.2;
constexpr double kTrimStep = 0.95;
constexpr double kGreatTrimStep = 0.9;
// Steps until a change of the plan shows in the reports: a poll, the time of
// the requests, and another poll.
constexpr uint32_t kStepsToEffect = 3;
// The factor recovers from the floor within 9 s.
constexpr double kTrimRecovery = 0.04;
// A wait that falls by this factor in a step needs no further measure.
constexpr double kDrainFactor = 0.9;
constexpr double kMinTrim = 0.3;
// Calls that wait or are refused while fewer slots are busy are a matter of
// balancing or of faulty members: fewer requests would not help the others.
constexpr double kMinBusy = 0.7;
// With less than this part of the usable slots busy a service limits no class:
// costs from few requests, as after a restart, may be far too high.
constexpr double kFreeBelow = 0.4;

// Wait and fraction of refused calls above which the slots in use say little
// about what the admitted requests need.
constexpr double kStrainedWaitSeconds = 0.020;
constexpr double kStrainedRefused = 0.02;

}  // namespace

double ServiceCapacity::MeanWait() const {
  return load.waiting / std::max(load.completed_rate, 1.0);
}

bool ServiceCapacity::IsDraining() const {
  return MeanWait() < kDrainFactor * last_wait;
}

double ServiceCapacity::RefusedFraction() const {
  return load.refused_rate /
         std::max(load.completed_rate + load.refused_rate, 1.0);
}

double ServiceCapacity::Capacity() const {
  const double call_seconds = load.busy / std::max(load.completed_rate, 1.0);
  const double drain = load.waiting * call_seconds / kDrainSeconds;
  const double planned = load.usable_slots * kTargetUtilization * trim - drain;
  return std::max(planned, load.usable_slots * kMinCapacity) - unknown_usage;
}

bool ServiceCapacity::IsBusy() const {
  return load.busy > kMinBusy * load.usable_slots;
}

bool ServiceCapacity::HasFreeSlots() const {
  return load.busy < kFreeBelow * load.usable_slots &&
         load.waiting < kMinCapacity * load.usable_slots;
}

bool ServiceCapacity::IsStrained() const {
  return IsBusy() && (MeanWait() > kStrainedWaitSeconds ||
                      RefusedFraction() > kStrainedRefused);
}

void ServiceCapacity::UpdateTrim() {
  const double wait = MeanWait();
  const double refused = RefusedFraction();
  const bool overloaded =
      IsBusy() && (refused > kMaxRefused || wait > kMaxWaitSeconds);
  overloaded_steps = overloaded ? overloaded_steps + 1 : 0;
  if (!overloaded) {
    trim = std::min(1.0, trim + kTrimRecovery);
  } else if (overloaded_steps >= kStepsToEffect && !IsDraining()) {
    const bool far = wait > kLongWaitSeconds || refused > kManyRefused;
    trim = std::max(kMinTrim, trim * (far ? kGreatTrimStep : kTrimStep));
  }
  last_wait = wait;
}

}  // namespace rosemarywinch
