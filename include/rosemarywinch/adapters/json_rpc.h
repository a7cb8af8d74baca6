#ifndef ROSEMARYWINCH_ADAPTERS_JSON_RPC_H_
#define ROSEMARYWINCH_ADAPTERS_JSON_RPC_H_

#include <functional>
#include <map>
#include <string>
#include <utility>

#include "rosemarywinch/adapters/json_codec.h"
#include "rosemarywinch/interfaces/http.h"

namespace rosemarywinch {

/// HTTP path of the JSON-RPC 2.0 endpoint.
inline constexpr const char* kRpcPath = "/rpc";

/// Server side of JSON-RPC 2.0; dispatches calls to methods by name.
class JsonRpcServer {
 public:
  /// Registers a method that takes and returns messages of the schema.
  template <SchemaMessage Request, typename Method>
  void Add(const std::string& name, Method method) {
    m_methods[name] =
        [method = std::move(method)](const Json& params) -> Result<Json> {
      BOOST_LEAF_AUTO(request, FromJson<Request>(params));
      BOOST_LEAF_AUTO(response, method(request));
      return ToJson(response);
    };
  }

  /// Handles the call in the body of a POST request.
  HttpResponse Handle(const HttpRequest& request) const;

 private:
  Result<Json> Dispatch(const Json& call) const;

  std::map<std::string, std::function<Result<Json>(const Json&)>> m_methods;
};

/// Sends one call and returns its result as JSON.
/// Errors: kUnreachable, also for a response whose status is not 200;
/// kMalformedMessage and those of the method.
Result<Json> CallJsonRpc(HttpChannel& channel,
                         const std::string& address,
                         const std::string& method,
                         Json params,
                         Duration timeout);

/// Calls a method that takes and returns messages of the schema.
template <SchemaMessage Response, SchemaMessage Request>
Result<Response> CallRpc(HttpChannel& channel,
                         const std::string& address,
                         const std::string& method,
                         const Request& request,
                         Duration timeout) {
  BOOST_LEAF_AUTO(
      result, CallJsonRpc(channel, address, method, ToJson(request), timeout));
  return FromJson<Response>(result);
}

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_ADAPTERS_JSON_RPC_H_
