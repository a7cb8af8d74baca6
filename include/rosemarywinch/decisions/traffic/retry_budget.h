#ifndef ROSEMARYWINCH_DECISIONS_TRAFFIC_RETRY_BUDGET_H_
#define ROSEMARYWINCH_DECISIONS_TRAFFIC_RETRY_BUDGET_H_

#include <algorithm>

namespace rosemarywinch {

/// Bounds the retries of a node to a share of its calls, whatever the
/// allowances of the requests say. The caller serialises all calls.
class RetryBudget {
 public:
  /// Retries that calls earn, as a part of their number.
  static constexpr double kRetryRatio = 0.1;
  /// Retries that may be saved up.
  static constexpr double kMaxTokens = 10;

  explicit RetryBudget(double ratio = kRetryRatio,
                       double max_tokens = kMaxTokens)
      : m_ratio(ratio), m_max_tokens(max_tokens), m_tokens(max_tokens) {}

  /// Counts a first attempt.
  void OnCall() { m_tokens = std::min(m_max_tokens, m_tokens + m_ratio); }

  /// Takes one retry; false when the share is used up.
  bool TryRetry() {
    if (m_tokens < 1) {
      return false;
    }
    m_tokens -= 1;
    return true;
  }

 private:
  double m_ratio;
  double m_max_tokens;
  double m_tokens;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_DECISIONS_TRAFFIC_RETRY_BUDGET_H_
