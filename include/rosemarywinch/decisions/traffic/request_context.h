#ifndef ROSEMARYWINCH_DECISIONS_TRAFFIC_REQUEST_CONTEXT_H_
#define ROSEMARYWINCH_DECISIONS_TRAFFIC_REQUEST_CONTEXT_H_

#include <cstdint>
#include <map>
#include <string>

#include "rosemarywinch/core/error.h"
#include "rosemarywinch/core/sharded.h"
#include "rosemarywinch/core/time.h"
#include "rosemarywinch/schema/hop.h"

namespace rosemarywinch {

/// Attributes that a nested call inherits from the request it belongs to.
struct NestedCall {
  std::string request_id;
  std::string account;
  uint32_t retries = 0;
  uint32_t depth = 0;
  uint32_t max_depth = 0;
  bool at_most_once = false;
  /// The backend server has made the same call under this context before.
  bool repeated = false;
  TimePoint deadline;
};

/// Requests in progress on the local backend server, by an opaque context that
/// the backend server passes on with its own calls. Thread-safe; state in
/// shards.
class RequestContexts {
 public:
  /// Registers a request under `context`, which must be unpredictable.
  void Open(const std::string& context,
            const HopEnvelope& envelope,
            TimePoint deadline);

  /// Begins a nested call and lends it all remaining retries of the request.
  /// `fingerprint` identifies the call among those of one request.
  /// Errors: kContextUnknown; kDeadlinePassed; kTooDeep; kRetriesSpent when the
  /// backend server repeats a call and no retry is left.
  Result<NestedCall> BeginNested(TimePoint now,
                                 const std::string& context,
                                 const std::string& fingerprint);

  /// Ends a nested call: returns its unused retries to the request and adds up
  /// the time that it took.
  void EndNested(const std::string& context,
                 uint32_t retries_left,
                 Duration took);

  /// Totals of a closed request.
  struct Closed {
    uint32_t retries_left = 0;
    Duration nested_time;
  };

  /// Closes the request and invalidates its context.
  Closed Close(const std::string& context);

 private:
  struct Record {
    HopEnvelope envelope;
    TimePoint deadline;
    uint32_t retries = 0;
    Duration nested_time;
    std::map<std::string, uint32_t> calls;
  };
  using Shard = std::map<std::string, Record>;

  Sharded<Shard> m_shards;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_DECISIONS_TRAFFIC_REQUEST_CONTEXT_H_
