#ifndef ROSEMARYWINCH_DECISIONS_TRAFFIC_RETRY_BUDGET_H_
#define ROSEMARYWINCH_DECISIONS_TRAFFIC_RETRY_BUDGET_H_

#include <algorithm>

namespace rosemarywinch {

/// Bounds the retries of a node to a share of its calls, whatever the
/// allowances of the requests say. The caller serialises all calls.
class RetryBudget {
 public:
  /// Retries that calls earn, as a part of their number.
  static constexpr double kRetryShare = 0.1;
  /// Retries that may be saved up.
  static constexpr double kMaxSaved = 10;

  explicit RetryBudget(double share = kRetryShare, double max_saved = kMaxSaved)
      : m_share(share), m_max_saved(max_saved), m_saved(max_saved) {}

  /// Counts a first attempt.
  void OnCall() { m_saved = std::min(m_max_saved, m_saved + m_share); }

  /// Takes one retry; false when the share is used up.
  bool TryRetry() {
    if (m_saved < 1) {
      return false;
    }
    m_saved -= 1;
    return true;
  }

 private:
  double m_share;
  double m_max_saved;
  double m_saved;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_DECISIONS_TRAFFIC_RETRY_BUDGET_H_
