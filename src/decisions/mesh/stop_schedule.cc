#include "rosemarywinch/decisions/mesh/stop_schedule.h"

#include <algorithm>

namespace rosemarywinch {

namespace {

// Callers are accepted for this long, so that they notice first that the node
// isn't ready.
constexpr Duration kNotReadyPeriod{2'400};
// Calls of the local backend server are accepted for this long whatever their
// deadline is, since most of them end soon.
constexpr Duration kAnyCallPeriod{2'800};
// Between the end of the stop and the moment at which the process would be
// killed.
constexpr Duration kKillMargin{250};
// To write the answers that are still due.
constexpr Duration kAnswerPeriod{250};
// Parts of a short grace period.
constexpr int64_t kNotReadyPercent = 40;
constexpr int64_t kAnyCallPercent = 46;
constexpr int64_t kMaxMarginPercent = 8;
constexpr int64_t kSendPercent = 83;
constexpr int64_t kPercent = 100;

Duration Part(Duration length, int64_t percent) {
  return length * percent / kPercent;
}

}  // namespace

StopSchedule::StopSchedule(TimePoint began, Duration grace)
    : m_began(began), m_grace(grace) {}

TimePoint StopSchedule::Begin(StopPhase phase) const {
  const Duration margin =
      std::min(kKillMargin, Part(m_grace, kMaxMarginPercent));
  const Duration answer =
      std::min(kAnswerPeriod, Part(m_grace, kMaxMarginPercent));
  const TimePoint over = m_began + m_grace - margin;
  switch (phase) {
    case StopPhase::kRunning:
    case StopPhase::kNotReady:
      break;
    case StopPhase::kClosed:
      return m_began +
             std::min(kNotReadyPeriod, Part(m_grace, kNotReadyPercent));
    case StopPhase::kBounded:
      return m_began + std::min(kAnyCallPeriod, Part(m_grace, kAnyCallPercent));
    case StopPhase::kFinishing:
      return m_began + Part(m_grace, kSendPercent);
    case StopPhase::kAnswering:
      return over - answer;
    case StopPhase::kOver:
      return over;
  }
  return m_began;
}

StopState StopSchedule::StateIn(StopPhase phase) const {
  return {phase, Begin(StopPhase::kAnswering)};
}

bool IsAccepted(const StopState& state,
                RequestOrigin origin,
                TimePoint deadline) {
  if (state.phase < StopPhase::kClosed) {
    return true;
  }
  if (origin != RequestOrigin::kLocalBackend) {
    return false;
  }
  const bool ends_in_time = deadline <= state.break_off;
  return state.phase < StopPhase::kBounded ||
         (state.phase == StopPhase::kBounded && ends_in_time);
}

bool MaySend(StopPhase phase) {
  return phase < StopPhase::kFinishing;
}

}  // namespace rosemarywinch
