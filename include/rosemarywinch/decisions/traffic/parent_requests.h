#ifndef ROSEMARYWINCH_DECISIONS_TRAFFIC_PARENT_REQUESTS_H_
#define ROSEMARYWINCH_DECISIONS_TRAFFIC_PARENT_REQUESTS_H_

#include <cstdint>
#include <map>

#include "rosemarywinch/core/time.h"
#include "rosemarywinch/decisions/traffic/entry_class.h"

namespace rosemarywinch {

/// What is known of the request that makes a nested call.
struct ParentRequest {
  /// Class of its root request; the service is empty if it is unknown.
  EntryClass entry;
  /// Number of nested calls that it has made before this one.
  uint32_t calls_before = 0;
};

/// Finds the request of the local backend server that makes a nested call.
///
/// A call carries the deadline of the request that makes it, but not its id, so
/// it is taken for a call of the request with the nearest deadline. A call with
/// a shorter deadline of its own matches none; it gets the class of a random
/// one of the running requests, which is right on average. Two requests
/// occasionally share a deadline; then some calls are counted for the other
/// one, which affects only the order of waiting calls and, slightly, the
/// measured cost of a class. Not thread-safe.
class ParentRequests {
 public:
  /// Records a request that is sent to the local backend server and must end by
  /// `deadline`.
  void OnRun(TimePoint now, TimePoint deadline, EntryClass entry);

  /// Ends a request of class `entry`.
  void OnEnd(const EntryClass& entry);

  /// Counts a nested call that must end by `deadline`. If no request has this
  /// deadline, one of the running ones is taken by `point`, a random number in
  /// [0, 1), and recorded, so that further calls with the deadline are counted.
  /// Complexity: logarithmic in the number of requests.
  ParentRequest OnCall(TimePoint now, TimePoint deadline, double point);

 private:
  using Requests = std::multimap<TimePoint, ParentRequest>;

  void Expire(TimePoint now);
  EntryClass RunningClass(double point) const;
  Requests::iterator FindNearest(TimePoint deadline);

  /// Requests by deadline; `calls_before` counts all calls so far.
  Requests m_requests;
  /// Number of running requests by class, known ones only.
  std::map<EntryClass, uint32_t> m_running;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_DECISIONS_TRAFFIC_PARENT_REQUESTS_H_
