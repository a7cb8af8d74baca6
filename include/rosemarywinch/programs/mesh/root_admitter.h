#ifndef ROSEMARYWINCH_PROGRAMS_MESH_ROOT_ADMITTER_H_
#define ROSEMARYWINCH_PROGRAMS_MESH_ROOT_ADMITTER_H_

#include <map>
#include <mutex>
#include <optional>
#include <string>

#include "rosemarywinch/core/sharded.h"
#include "rosemarywinch/decisions/traffic/entry_admission.h"
#include "rosemarywinch/decisions/traffic/entry_class.h"
#include "rosemarywinch/decisions/traffic/entry_demand_meter.h"
#include "rosemarywinch/decisions/traffic/load_shedder.h"
#include "rosemarywinch/interfaces/clock.h"
#include "rosemarywinch/interfaces/random.h"
#include "rosemarywinch/schema/control.h"

namespace rosemarywinch {

/// Decision on a root request.
struct RootAdmission {
  bool admitted = true;
  /// Fraction of the requests among which it was counted that is admitted.
  double fraction = 1;
  /// Why it was refused, for logs and error messages.
  std::string explanation;
};

/// Returns a random number in [0, 1).
double RandomFraction(Random& random);

/// Decides on the admission of root requests: those that come with a key, and
/// that no other request of the mesh caused. Thread-safe: the load shedders are
/// in shards, the plan and the priorities each under their own lock.
class RootAdmitter {
 public:
  RootAdmitter(Clock& clock, Random& random)
      : m_clock(clock), m_random(random) {}

  /// Fills in the demand and the revision of the plan.
  void FillPoll(PollRequest& request);
  /// Applies the plan in a response.
  void ApplyPoll(const PollResponse& response);

  /// Decides whether to admit a request of `account`. The admission plan
  /// decides while it is in force, otherwise the pressure on the service.
  RootAdmission Admit(const EntryClass& entry, const std::string& account);
  /// Records that an admitted request exceeded the rate of its account.
  void OnRateRefused(const EntryClass& entry);
  /// Records the pressure reported with the response to a request.
  void RecordPressure(const std::string& service, double pressure);

  /// Returns the number of classes that the plan in force limits; nullopt
  /// without a plan in force.
  std::optional<size_t> LimitedClasses() const;

 private:
  using Shedders = std::map<std::string, LoadShedder>;

  std::optional<PlannedVerdict> AskPlan(const EntryClass& entry,
                                        const std::string& account,
                                        double random);
  RootAdmission AskShedder(const EntryClass& entry,
                           const std::optional<PlannedVerdict>& planned,
                           double lower_priority);
  double CountPriority(uint32_t priority);

  Clock& m_clock;
  Random& m_random;
  Sharded<Shedders> m_shedders;
  std::mutex m_priorities_mutex;
  PriorityDistribution m_priorities;
  mutable std::mutex m_mutex;
  PlannedAdmission m_planned;
  EntryDemandMeter m_demand;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_PROGRAMS_MESH_ROOT_ADMITTER_H_
