#ifndef ROSEMARYWINCH_DECISIONS_TRAFFIC_REQUEST_CONTEXT_H_
#define ROSEMARYWINCH_DECISIONS_TRAFFIC_REQUEST_CONTEXT_H_

#include <cstdint>
#include <map>
#include <string>

#include "rosemarywinch/core/error.h"
#include "rosemarywinch/core/sharded.h"
#include "rosemarywinch/core/time.h"
#include "rosemarywinch/schema/control.h"

namespace rosemarywinch {

/// What a nested call inherits from the request that it serves.
struct NestedCall {
  std::string request_id;
  std::string account;
  uint32_t retries = 0;
  uint32_t depth = 0;
  uint32_t max_depth = 0;
  bool at_most_once = false;
  /// The backend server made this call before under the same context.
  bool repeated = false;
  TimePoint deadline;
};

/// Requests that the local backend server is serving, each under an opaque
/// context that it passes on with its own calls. Thread-safe; state in shards.
class RequestContexts {
 public:
  /// Registers a request under `context`, an unpredictable text.
  void Open(const std::string& context,
            const HopEnvelope& envelope,
            TimePoint deadline);

  /// Begins a nested call and lends it the whole retry allowance that is left.
  /// `fingerprint` tells apart the calls of one backend server.
  /// Errors: kContextUnknown, kTooDeep, kRetriesSpent when the backend server
  /// repeats a call and no retry is left.
  Result<NestedCall> BeginNested(TimePoint now,
                                 const std::string& context,
                                 const std::string& fingerprint);

  /// Ends a nested call: takes back unspent retries, notes the time it took.
  void EndNested(const std::string& context,
                 uint32_t retries_left,
                 Duration took);

  /// What is left when the request is done.
  struct Closed {
    uint32_t retries_left = 0;
    Duration nested_time;
  };

  /// Ends the request; its context is worth nothing from now on.
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
