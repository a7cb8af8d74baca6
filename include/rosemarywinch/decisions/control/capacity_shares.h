#ifndef ROSEMARYWINCH_DECISIONS_CONTROL_CAPACITY_SHARES_H_
#define ROSEMARYWINCH_DECISIONS_CONTROL_CAPACITY_SHARES_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "rosemarywinch/schema/admission.h"

namespace rosemarywinch {

/// Slots of a service that one admitted root request a second occupies.
struct SlotCost {
  /// Index of the service among the capacities.
  size_t service = 0;
  double slots = 0;
  /// A shortage of the service limits the class. Not so for a cost that may be
  /// an error of measurement.
  bool limits = true;
};

/// Demand of one class of root requests.
struct ClassDemand {
  uint32_t priority = 0;
  /// Requests per second.
  double rate = 0;
  std::vector<SlotCost> costs;
};

/// What is admitted of a class.
struct ClassShare {
  double fraction = 0;
  /// The service whose capacity limits the class, if one does.
  std::optional<size_t> bottleneck;
};

/// Divides the capacities of the services, in slots, over the classes as if all
/// had the same priority: all are filled in proportion until a service that
/// they need is used up (progressive filling); the others go on.
std::vector<ClassShare> DivideInProportion(
    const std::vector<ClassDemand>& classes,
    const std::vector<double>& capacities);

/// Divides the capacities of the services, in slots, over the classes.
///
/// First each class gets a least fraction: kLeastShare of what it would get if
/// all had the same priority, and at least kProbe. The remaining capacity goes
/// to the classes in the order of their priorities, and is divided in
/// proportion over those of one priority. Complexity: linear in the costs of a
/// priority's classes times the services that are used up.
std::vector<ClassShare> DivideCapacity(const std::vector<ClassDemand>& classes,
                                       const std::vector<double>& capacities);

/// Least fraction of a class, and of an account within its class, in proportion
/// to what all together get. Callers are promised a quarter.
inline constexpr double kLeastShare = 0.3;
/// Fraction that is admitted of any class: only requests that are served show
/// when capacity is back.
inline constexpr double kProbe = 0.02;

/// Divides the admitted `fraction` of a class over its accounts: max-min fair
/// shares of the rate, with kLeastShare for each. Returns the fractions of the
/// accounts in the order of `accounts`.
/// Complexity: linear in the accounts.
std::vector<double> DivideAmongAccounts(
    double fraction,
    const std::vector<AccountDemand>& accounts);

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_DECISIONS_CONTROL_CAPACITY_SHARES_H_
