#ifndef ROSEMARYWINCH_DECISIONS_TRAFFIC_REQUEST_CALL_COUNTER_H_
#define ROSEMARYWINCH_DECISIONS_TRAFFIC_REQUEST_CALL_COUNTER_H_

#include <cstdint>
#include <map>

#include "rosemarywinch/core/time.h"

namespace rosemarywinch {

/// Tells how far the requests of the local backend server have come with their
/// calls, for the pattern "each request calls a full service several times in
/// turn": those that have begun should finish, or their work is lost.
///
/// A call doesn't name the request that makes it, but carries its deadline, so
/// calls with the same deadline count as calls of one request. Now and then
/// two requests share one, which only affects the order of waiting.
/// The caller serialises all calls.
class RequestCallCounter {
 public:
  /// Counts a call that must end by `deadline`. Returns how many calls with
  /// this deadline were made before. Complexity: logarithmic in the requests.
  uint32_t OnCall(TimePoint now, TimePoint deadline);

 private:
  /// Calls so far by deadline.
  std::map<TimePoint, uint32_t> m_calls;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_DECISIONS_TRAFFIC_REQUEST_CALL_COUNTER_H_
