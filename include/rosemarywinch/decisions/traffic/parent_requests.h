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
/// it is taken for a call of the request with the nearest deadline. Two
/// requests occasionally share a deadline; then some calls are counted for the
/// other one, which affects only the order of waiting calls and, slightly, the
/// measured cost of a class. Not thread-safe.
class ParentRequests {
 public:
  /// Records a request that is sent to the local backend server and must end by
  /// `deadline`.
  void OnRun(TimePoint now, TimePoint deadline, EntryClass entry);

  /// Counts a nested call that must end by `deadline`. A parent that is not
  /// known is recorded with an unknown class, so that its calls are counted.
  /// Complexity: logarithmic in the number of requests.
  ParentRequest OnCall(TimePoint now, TimePoint deadline);

 private:
  using Requests = std::multimap<TimePoint, ParentRequest>;

  void Expire(TimePoint now);
  Requests::iterator FindNearest(TimePoint deadline);

  /// Requests by deadline; `calls_before` counts all calls so far.
  Requests m_requests;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_DECISIONS_TRAFFIC_PARENT_REQUESTS_H_
