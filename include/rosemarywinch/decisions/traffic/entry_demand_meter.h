#ifndef ROSEMARYWINCH_DECISIONS_TRAFFIC_ENTRY_DEMAND_METER_H_
#define ROSEMARYWINCH_DECISIONS_TRAFFIC_ENTRY_DEMAND_METER_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "rosemarywinch/core/time.h"
#include "rosemarywinch/decisions/traffic/entry_class.h"
#include "rosemarywinch/schema/admission.h"

namespace rosemarywinch {

/// Counts the root requests of a node by class, with a random sample of their
/// accounts.
///
/// A node sees most accounts less than once in a report, so it can't tell which
/// are the heaviest of the fleet. It reports up to kSamples requests of each
/// class, chosen at random, and each stands for as many as were not chosen. The
/// sums of all nodes estimate the rate of each account without bias, at any
/// number of nodes and accounts and with reports of bounded size. Not
/// thread-safe.
class EntryDemandMeter {
 public:
  static constexpr size_t kSamples = 4;
  /// Maximum number of accounts in a report; one of each class if there are
  /// more classes. Keeps a poll small.
  static constexpr size_t kMaxReported = 8;

  /// Counts a request and whether the node admitted it. `random` is a uniformly
  /// distributed number.
  void OnRequest(const EntryClass& entry,
                 const std::string& account,
                 bool admitted,
                 uint64_t random);

  /// Takes back the admission of a request that was refused later, so that it
  /// reached no service.
  void OnRefusedLater(const EntryClass& entry);

  /// Returns the rates since the last call of Take(), and starts a new period.
  /// Returns the last result again, and goes on with the period, if that is too
  /// short for a meaningful rate.
  std::vector<EntryDemand> Take(TimePoint now);

 private:
  struct Demand {
    uint32_t offered = 0;
    uint32_t admitted = 0;
    /// Reservoir sample of the accounts, one element for each request.
    std::vector<std::string> accounts;
  };

  std::map<EntryClass, Demand> m_demands;
  std::vector<EntryDemand> m_last;
  TimePoint m_since;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_DECISIONS_TRAFFIC_ENTRY_DEMAND_METER_H_
