#ifndef ROSEMARYWINCH_DECISIONS_MESH_STOP_SCHEDULE_H_
#define ROSEMARYWINCH_DECISIONS_MESH_STOP_SCHEDULE_H_

#include "rosemarywinch/core/time.h"
#include "rosemarywinch/schema/mesh.h"

namespace rosemarywinch {

/// Where a request comes from, as far as a planned stop is concerned.
enum class RequestOrigin {
  /// A caller that can go to another node.
  kCaller,
  /// The backend server beside this node, which makes calls of its own while it
  /// runs a request and can only call this node.
  kLocalBackend,
};

/// The phase of a node, as far as the acceptance of requests depends on it.
struct StopState {
  StopPhase phase = StopPhase::kRunning;
  /// Time from which on the node breaks off requests that backend servers still
  /// run. Meaningful in a planned stop only.
  TimePoint break_off;
};

/// Times of a planned stop. Every request that is accepted has its answer
/// before kOver, so that each phase accepts only what can be answered by then.
class StopSchedule {
 public:
  /// The process is killed `grace` after `began`.
  StopSchedule(TimePoint began, Duration grace);

  /// Begin of `phase`. kRunning has none.
  TimePoint Begin(StopPhase phase) const;

  /// Returns the state of the node in `phase`.
  StopState StateIn(StopPhase phase) const;

 private:
  const TimePoint m_began;
  const Duration m_grace;
};

/// Returns whether a request that arrives now is accepted. One that is not
/// accepted is refused at once and has not run. Late in a stop, a request is
/// accepted only if its deadline passes before the node would break it off,
/// because the time that a backend server needs for it is unknown.
bool IsAccepted(const StopState& state,
                RequestOrigin origin,
                TimePoint deadline);

/// Returns whether a request may be sent to a backend server in `phase`. Later
/// it could no longer finish.
bool MaySend(StopPhase phase);

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_DECISIONS_MESH_STOP_SCHEDULE_H_
