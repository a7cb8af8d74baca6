#ifndef ROSEMARYWINCH_PROGRAMS_CONTROL_CLIENT_H_
#define ROSEMARYWINCH_PROGRAMS_CONTROL_CLIENT_H_

#include <map>
#include <mutex>
#include <string>
#include <utility>

#include "rosemarywinch/adapters/json_rpc.h"
#include "rosemarywinch/core/error.h"
#include "rosemarywinch/interfaces/clock.h"

namespace rosemarywinch {

/// Parses a replica list of the form `1=HOST:PORT,2=HOST:PORT`.
/// Errors: kBadValue.
Result<std::map<uint32_t, std::string>> ParseReplicas(const std::string& text);

/// Client of the control replicas that finds the current leader. Thread-safe.
class ControlClient {
 public:
  ControlClient(std::map<uint32_t, std::string> replicas, HttpChannel& channel)
      : m_replicas(std::move(replicas)), m_channel(channel) {}

  /// Calls `method` on the replica that answered last and then on the others,
  /// each once, until one can serve the call.
  /// Errors: kUnreachable, kNotLeader and the method's own.
  template <SchemaMessage Response, SchemaMessage Request>
  Result<Response> Call(const std::string& method,
                        const Request& request,
                        Duration timeout) {
    BOOST_LEAF_AUTO(json, CallLeader(method, ToJson(request), timeout));
    return FromJson<Response>(json);
  }

 private:
  Result<Json> CallLeader(const std::string& method,
                          const Json& params,
                          Duration timeout);

  const std::map<uint32_t, std::string> m_replicas;
  HttpChannel& m_channel;
  std::mutex m_mutex;
  uint32_t m_leader = 0;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_PROGRAMS_CONTROL_CLIENT_H_
