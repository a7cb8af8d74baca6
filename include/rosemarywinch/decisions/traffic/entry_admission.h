#ifndef ROSEMARYWINCH_DECISIONS_TRAFFIC_ENTRY_ADMISSION_H_
#define ROSEMARYWINCH_DECISIONS_TRAFFIC_ENTRY_ADMISSION_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "rosemarywinch/core/time.h"
#include "rosemarywinch/decisions/traffic/entry_class.h"
#include "rosemarywinch/schema/admission.h"

namespace rosemarywinch {

/// What the admission plan says about a root request.
struct PlannedVerdict {
  bool admitted = true;
  /// Admitted fraction of the requests among which it was counted.
  double fraction = 1;
  /// Admitted fraction of the requests of its class that the plan counts
  /// together.
  double class_fraction = 1;
  /// `fraction` is that of its account, which sends more than others.
  bool account_share = false;
  /// Service whose capacity limits the class.
  std::string bottleneck;
};

/// Returns how long after the refusal of a request the caller should return, if
/// `fraction` of such requests is admitted; `sample` is a random number in
/// [0, 1).
///
/// The returns are spread evenly, and over a time that grows as the fraction
/// falls: a caller that follows the delay has a fair chance to be served, and
/// one without that much time left gives up instead of being refused again.
Duration RetryAfterShedding(double fraction, double sample);

/// Applies the leader's admission plan to the root requests of a node.
///
/// Of each class, and of each account that the plan names, an evenly spaced
/// fraction is admitted, so that small numbers of requests deviate from the
/// plan by less than one. Where each sequence begins is random; otherwise all
/// nodes of a large fleet, each with a request now and then, would refuse their
/// first ones. Not thread-safe.
class PlannedAdmission {
 public:
  /// Replaces the plan. One with a fraction outside of [0, 1] is ignored.
  /// Returns whether it was taken.
  bool Apply(TimePoint now, const AdmissionPlan& plan);

  /// Records that control has confirmed the plan with `revision`. Does nothing
  /// if the node has another one.
  void Confirm(TimePoint now, uint64_t revision);

  /// Returns whether the plan was confirmed recently enough to be applied.
  bool IsInForce(TimePoint now) const;

  /// Decides on a request. `random` in [0, 1) is where a new sequence begins.
  /// Complexity: logarithmic in the size of the plan.
  PlannedVerdict Admit(const EntryClass& entry,
                       const std::string& account,
                       double random);

  uint64_t revision() const { return m_revision; }
  /// Number of classes that are admitted in part.
  size_t limited_classes() const { return m_classes.size(); }

 private:
  /// A sequence of requests of which a fraction is admitted.
  struct Sequence {
    double fraction = 1;
    /// Part of a request that may be admitted beyond those admitted so far;
    /// below 0 before the first request.
    double credit = -1;
  };
  struct Class {
    std::string bottleneck;
    /// Requests of the accounts that the plan does not name.
    Sequence others;
    std::map<std::string, Sequence> accounts;
  };

  static bool IsValid(const AdmissionPlan& plan);

  uint64_t m_revision = 0;
  TimePoint m_confirmed;
  std::map<EntryClass, Class> m_classes;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_DECISIONS_TRAFFIC_ENTRY_ADMISSION_H_
