#include "rosemarywinch/adapters/json_rpc.h"

#include "rosemarywinch/interfaces/http_request_builder.h"

namespace rosemarywinch {

namespace {

constexpr const char* kVersion = "2.0";
// The server sends errors with this status too.
constexpr int kReplyStatus = 200;

Json EncodeError(const Error& error) {
  return {{"code", static_cast<int>(error.id)},
          {"message", error.Message()},
          {"data", error.detail}};
}

Error DecodeError(const Json& error) {
  if (!error.is_object()) {
    return {ErrorId::kMalformedMessage, "error is not a JSON object"};
  }
  const Json code = error.value("code", Json());
  const Json data = error.value("data", Json());
  for (const auto& entry : kErrorIdTable) {
    if (code == static_cast<int>(entry.value)) {
      return {entry.value, data.is_string() ? data.get<std::string>() : ""};
    }
  }
  return {ErrorId::kMalformedMessage, "unknown error code"};
}

}  // namespace

HttpResponse JsonRpcServer::Handle(const HttpRequest& request) const {
  Json reply = {{"jsonrpc", kVersion}, {"id", nullptr}};
  const Outcome<Json> outcome = Capture([&]() -> Result<Json> {
    BOOST_LEAF_AUTO(call, ParseJson(request.body));
    if (!call.is_object()) {
      return Fail(ErrorId::kMalformedMessage, "call is not a JSON object");
    }
    reply["id"] = call.value("id", Json());
    return Dispatch(call);
  });
  if (const auto* error = std::get_if<Error>(&outcome)) {
    reply["error"] = EncodeError(*error);
  } else {
    reply["result"] = std::get<Json>(outcome);
  }
  HttpResponse response;
  response.headers.Add("Content-Type", "application/json");
  response.body = WriteJson(reply);
  return response;
}

Result<Json> JsonRpcServer::Dispatch(const Json& call) const {
  const auto name = call.find("method");
  const bool named = name != call.end() && name->is_string();
  const auto method =
      named ? m_methods.find(name->get<std::string>()) : m_methods.end();
  if (method == m_methods.end()) {
    return Fail(ErrorId::kMalformedMessage, "unknown method");
  }
  return method->second(call.value("params", Json::object()));
}

Result<Json> CallJsonRpc(HttpChannel& channel,
                         const std::string& address,
                         const std::string& method,
                         Json params,
                         Duration timeout) {
  const Json call = {{"jsonrpc", kVersion},
                     {"id", 1},
                     {"method", method},
                     {"params", std::move(params)}};
  const HttpRequest request = HttpRequestBuilder("POST", kRpcPath)
                                  .Header("Content-Type", "application/json")
                                  .Body(WriteJson(call))
                                  .Build();
  HttpResult result =
      channel.Send(address, request, HttpSendOptionsBuilder(timeout).Build());
  if (const auto* unsent = std::get_if<NotSent>(&result)) {
    return boost::leaf::new_error(unsent->error);
  }
  if (const auto* lost = std::get_if<ResponseLost>(&result)) {
    return boost::leaf::new_error(lost->error);
  }
  const HttpResponse& response = std::get<HttpResponse>(result);
  if (response.status != kReplyStatus) {
    return Fail(ErrorId::kUnreachable,
                address + ": status " + std::to_string(response.status));
  }
  BOOST_LEAF_AUTO(reply, ParseJson(response.body));
  if (reply.is_object() && reply.contains("error")) {
    return boost::leaf::new_error(DecodeError(reply["error"]));
  }
  if (!reply.is_object() || !reply.contains("result")) {
    return Fail(ErrorId::kMalformedMessage,
                "response has neither result nor error");
  }
  return std::move(reply["result"]);
}

}  // namespace rosemarywinch
