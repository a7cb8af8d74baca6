#ifndef ROSEMARYWINCH_DECISIONS_CONTROL_SERVICE_BALANCER_H_
#define ROSEMARYWINCH_DECISIONS_CONTROL_SERVICE_BALANCER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "rosemarywinch/core/error.h"
#include "rosemarywinch/core/time.h"
#include "rosemarywinch/schema/balance.h"
#include "rosemarywinch/schema/members.h"

namespace rosemarywinch {

/// Checks the numbers of a load report. Errors: kBadValue for a number that is
/// negative, not finite or above 1,000,000.
Result<Done> CheckLoad(const BackendLoad& load);

/// Weight and utilization of a member, for metrics.
struct MemberBalance {
  std::string node;
  std::string data_centre;
  double weight = 1;
  double utilization = 0;
};

/// A member's weight fell below a half, or recovered.
struct WeightChange {
  std::string node;
  double weight = 1;
  double utilization = 0;
  bool low = false;
};

/// Divides the calls of one service over its members, at the leader. Not
/// thread-safe.
///
/// Once a second it corrects the weight of each member by the ratio of its
/// utilization to the mean of its data centre, to a power below 1: an integral
/// controller of the logarithm of the weight, slow enough to be stable although
/// a correction shows in the reports only after about 1.5 s. In the same way it
/// moves calls out of data centres that are busier than the service as a whole.
class ServiceBalancer {
 public:
  /// Starts with weights of 1 in a term of which `in_term` has passed.
  /// Revisions are above those of earlier terms, and of balancers of the same
  /// service earlier in the term.
  ServiceBalancer(TimePoint now, uint64_t term, Duration in_term);

  /// Records the load that the node of a member reports, and makes a step if
  /// one is due. Reports that arrive out of order are ignored. Calls to data
  /// centres in `evacuated` are sent elsewhere.
  /// Complexity: logarithmic in the members, linear with a step.
  void OnReport(TimePoint now,
                const Member& member,
                uint64_t sequence,
                const BackendLoad& load,
                const std::set<std::string>& evacuated);

  /// Returns the balance if it is newer than the one that a node holds.
  /// Nothing is returned until all nodes have had time to report, so that they
  /// keep the balance of the last leader until then.
  std::optional<ServiceBalance> NewerThan(TimePoint now,
                                          uint64_t revision) const;

  /// Returns the changes since the last call, for the log.
  std::vector<WeightChange> TakeChanges();

  std::vector<MemberBalance> Members() const;

  /// Returns whether no member is left.
  bool IsEmpty(TimePoint now) const;

 private:
  struct Record {
    std::string data_centre;
    double slots = 0;
    BackendState state = BackendState::kStarting;
    TimePoint last_heard;
    uint64_t sequence = 0;
    /// The weight is not corrected before, because the share still grows.
    TimePoint settled;
    double usable = 0;
    /// Mean of busy and waiting calls, smoothed.
    double load = 0;
    /// Fraction of calls that were refused or failed, smoothed.
    double errors = 0;
    double weight = 1;
    double published = 1;
    bool low = false;

    double Utilization() const;
    bool IsUsable() const;
  };
  struct DataCentre {
    double local_fraction = 1;
    double inbound = 1;
    double published_fraction = 1;
    double published_inbound = 1;
    // Sums over the usable members, renewed in each step.
    double usable = 0;
    double load = 0;
    double utilization = 0;
    double slots = 0;
    double weighted_slots = 0;
  };

  void Update(TimePoint now,
              Record& record,
              const Member& member,
              const BackendLoad& load);
  void Step(TimePoint now, const std::set<std::string>& evacuated);
  void SumUp(const std::set<std::string>& evacuated);
  void CorrectWeights(TimePoint now);
  void CorrectFractions();
  void PublishIfChanged();
  void NoteLowWeight(const std::string& node, Record& record);

  const TimePoint m_since;
  const uint64_t m_first_revision;
  uint64_t m_revision;
  TimePoint m_next_step;
  /// A member has begun to refuse or fail calls since the last step.
  bool m_urgent = false;
  bool m_full = false;
  bool m_must_publish = false;
  std::map<std::string, Record> m_members;
  std::map<std::string, DataCentre> m_data_centres;
  std::vector<WeightChange> m_changes;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_DECISIONS_CONTROL_SERVICE_BALANCER_H_
