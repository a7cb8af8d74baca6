#ifndef ROSEMARYWINCH_DECISIONS_TRAFFIC_RETRY_BUDGET_H_
#define ROSEMARYWINCH_DECISIONS_TRAFFIC_RETRY_BUDGET_H_

#include <algorithm>

namespace rosemarywinch {

/// Token bucket that limits the retries of a node to a fraction of its calls,
/// regardless of the retries that each request allows. Not thread-safe.
class RetryBudget {
 public:
  /// Tokens earned by each call.
  static constexpr double kRetryRatio = 0.1;
  /// Capacity of the bucket, in retries.
  static constexpr double kMaxTokens = 10;

  explicit RetryBudget(double ratio = kRetryRatio,
                       double max_tokens = kMaxTokens)
      : m_ratio(ratio), m_max_tokens(max_tokens), m_tokens(max_tokens) {}

  /// Counts a first attempt.
  void OnCall() { m_tokens = std::min(m_max_tokens, m_tokens + m_ratio); }

  /// Takes one token; returns false when none is left.
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
