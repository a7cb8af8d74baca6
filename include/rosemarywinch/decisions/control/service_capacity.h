#ifndef ROSEMARYWINCH_DECISIONS_CONTROL_SERVICE_CAPACITY_H_
#define ROSEMARYWINCH_DECISIONS_CONTROL_SERVICE_CAPACITY_H_

#include <cstdint>

#include "rosemarywinch/core/time.h"
#include "rosemarywinch/schema/balance.h"

namespace rosemarywinch {

/// Slots of one service that the admission plan may use. Waits are in seconds.
struct ServiceCapacity {
  /// Sums over the members; see BackendLoad.
  BackendLoad load;
  /// Slots used by calls whose root request is unknown.
  double unknown_usage = 0;
  /// Factor of the capacity that falls while calls wait in spite of the plan.
  double trim = 1;
  /// Mean wait one step before.
  double last_wait = 0;
  /// Steps in sequence in which calls waited or were refused.
  uint32_t overloaded_steps = 0;
  /// When a member last reported.
  TimePoint seen;

  /// Mean wait of a call for a slot.
  double MeanWait() const;
  double RefusedFraction() const;
  /// Waiting calls are being worked off.
  bool IsDraining() const;
  /// Most of the usable slots are in use.
  bool IsBusy() const;
  /// Enough slots are free, and hardly any call waits, so that the service
  /// limits no class.
  bool HasFreeSlots() const;
  /// Calls wait or are refused at busy members, so that the slots in use say
  /// little about what the admitted requests need.
  bool IsStrained() const;
  /// Returns the slots to plan for.
  double Capacity() const;
  /// Adjusts the trim factor, once for each step of the plan.
  void UpdateTrim();
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_DECISIONS_CONTROL_SERVICE_CAPACITY_H_
