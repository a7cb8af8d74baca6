#include "rosemarywinch/programs/control_client.h"

#include <sstream>
#include <vector>

#include "rosemarywinch/core/text_value.h"

namespace rosemarywinch {

namespace {

// Returns whether another replica may still be able to serve the call.
bool ShouldTryNextReplica(const Error& error) {
  return error.id == ErrorId::kNotLeader || error.id == ErrorId::kUnreachable;
}

}  // namespace

Result<std::map<uint32_t, std::string>> ParseReplicas(const std::string& text) {
  std::map<uint32_t, std::string> replicas;
  std::istringstream parts(text);
  std::string part;
  while (std::getline(parts, part, ',')) {
    const size_t equals = part.find('=');
    const auto id = ParseWhole<uint32_t>(part.substr(0, equals));
    const bool valid = equals != std::string::npos && id && *id >= 1 &&
                       part.find(':', equals) != std::string::npos;
    if (!valid) {
      return Fail(ErrorId::kBadValue,
                  "control = `" + text + "`, expected 1=HOST:PORT,2=HOST:PORT");
    }
    replicas[*id] = part.substr(equals + 1);
  }
  return replicas;
}

Result<Json> ControlClient::CallLeader(const std::string& method,
                                       const Json& params,
                                       Duration timeout) {
  std::vector<uint32_t> order;
  {
    std::scoped_lock lock(m_mutex);
    if (m_replicas.contains(m_leader)) {
      order.push_back(m_leader);
    }
  }
  for (const auto& [id, address] : m_replicas) {
    if (order.empty() || order.front() != id) {
      order.push_back(id);
    }
  }
  Error last{ErrorId::kUnreachable, "no control replica is configured"};
  for (const uint32_t id : order) {
    const Outcome<Json> outcome = Capture([&] {
      return CallJsonRpc(m_channel, m_replicas.at(id), method, params, timeout);
    });
    if (const auto* json = std::get_if<Json>(&outcome)) {
      std::scoped_lock lock(m_mutex);
      m_leader = id;
      return *json;
    }
    last = std::get<Error>(outcome);
    if (!ShouldTryNextReplica(last)) {
      break;
    }
  }
  return boost::leaf::new_error(last);
}

}  // namespace rosemarywinch
