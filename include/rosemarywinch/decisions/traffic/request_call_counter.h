#ifndef ROSEMARYWINCH_DECISIONS_TRAFFIC_REQUEST_CALL_COUNTER_H_
#define ROSEMARYWINCH_DECISIONS_TRAFFIC_REQUEST_CALL_COUNTER_H_

#include <cstdint>
#include <map>

#include "rosemarywinch/core/time.h"

namespace rosemarywinch {

/// Counts the calls that each request of the local backend server has made. The
/// admission queue of an overloaded service prefers requests that have made
/// more calls: when requests call such a service several times in sequence, the
/// work of a request that is refused half-way is wasted.
///
/// A call carries the deadline of the request that makes it, but not its id, so
/// calls with the same deadline are counted as calls of one request. Two
/// requests occasionally share a deadline, which only affects the order of
/// waiting calls. Not thread-safe.
class RequestCallCounter {
 public:
  /// Counts a call that must end by `deadline`. Returns the number of earlier
  /// calls with this deadline.
  /// Complexity: logarithmic in the number of requests.
  uint32_t OnCall(TimePoint now, TimePoint deadline);

 private:
  /// Number of calls by deadline.
  std::map<TimePoint, uint32_t> m_calls;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_DECISIONS_TRAFFIC_REQUEST_CALL_COUNTER_H_
