#ifndef ROSEMARYWINCH_DECISIONS_CONTROL_ADMISSION_ENTRY_H_
#define ROSEMARYWINCH_DECISIONS_CONTROL_ADMISSION_ENTRY_H_

#include <string>
#include <vector>

#include "rosemarywinch/decisions/traffic/entry_class.h"
#include "rosemarywinch/schema/admission.h"

namespace rosemarywinch {

/// Demand of one account in one class, in requests per second.
struct EntryAccount {
  std::string name;
  double offered = 0;
  /// The part of `offered` that the account's own limit lets through.
  double within_limit = 0;
};

/// Returns the demand of a class as far as the limits of its accounts let it
/// through; `offered` if no accounts are known.
double RateOf(const std::vector<EntryAccount>& accounts, double offered);

/// Returns whether a class with this admitted fraction is listed in the plan:
/// `listed` says whether it was, which needs a higher fraction to end.
bool IsLimited(double fraction, bool listed);

/// Makes the plan's entry for a class of which `fraction` is admitted: max-min
/// fair shares of its accounts. Only the accounts whose fraction differs most
/// from that of the others are named, fewer if the plan has many `entries`, to
/// keep it small.
EntryAdmission MakeEntry(double fraction,
                         const std::vector<EntryAccount>& accounts,
                         size_t entries);

/// Returns the entry of a class, or null.
const EntryAdmission* FindEntry(const AdmissionPlan& plan,
                                const EntryClass& entry);

/// Returns whether two plans differ by more than the noise of measurements.
bool Differs(const AdmissionPlan& left, const AdmissionPlan& right);

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_DECISIONS_CONTROL_ADMISSION_ENTRY_H_
