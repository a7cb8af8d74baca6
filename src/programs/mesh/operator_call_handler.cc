#include "rosemarywinch/programs/mesh/operator_call_handler.h"

#include <boost/asio/this_coro.hpp>
#include <memory>
#include <string>
#include <utility>

#include "rosemarywinch/adapters/async/net.h"
#include "rosemarywinch/adapters/async/one_shot.h"
#include "rosemarywinch/adapters/log.h"
#include "rosemarywinch/core/text_value.h"
#include "rosemarywinch/decisions/mesh/mesh_config.h"

namespace rosemarywinch {

namespace {

// Below the 1 s after which an operator's client tries another replica.
constexpr Duration kCommitTimeout{900};
constexpr int kUnavailable = 503;
constexpr int kBadRequest = 400;
constexpr int kPreconditionFailed = 412;

}  // namespace

asio::awaitable<HttpResponse> OperatorCallHandler::Handle(HttpRequest request) {
  OperatorCall call = m_protocol.ReadOperatorCall(request);
  if (auto* put = std::get_if<PutConfigurationCall>(&call)) {
    co_return co_await StoreConfiguration(request, std::move(*put));
  }
  if (const auto* unknown = std::get_if<UnknownCall>(&call)) {
    LogEvent(LogLevel::kInfo, "operator_call_refused",
             {{"error", unknown->error.Message()}});
    co_return MakeResponse(unknown->error);
  }
  co_return GetConfiguration(request);
}

HttpResponse OperatorCallHandler::GetConfiguration(const HttpRequest& request) {
  const auto view = Capture([&] { return m_driver.ReadAsLeader(); });
  if (const auto* error = std::get_if<Error>(&view)) {
    return RespondOrRedirect(request, *error);
  }
  const auto& record =
      std::get<ConsensusDriver::LeaderView>(view).state->configuration;
  if (record.version == 0) {
    return MakeResponse({ErrorId::kCutOff, "no configuration yet"});
  }
  return m_protocol.WriteConfiguration(record.document);
}

asio::awaitable<HttpResponse> OperatorCallHandler::StoreConfiguration(
    HttpRequest request,
    PutConfigurationCall call) {
  const std::string version = std::to_string(call.configuration.version);
  PutConfiguration change;
  change.version = call.configuration.version;
  change.base_version = call.configuration.base_version;
  change.document = std::move(call.document);
  change.fingerprint = m_hasher.Hash(call.canonical);
  const auto built =
      Capture([&] { return MeshConfig::Build(std::move(call.configuration)); });
  if (const auto* error = std::get_if<Error>(&built)) {
    LogEvent(LogLevel::kInfo, "configuration_refused",
             {{"version", version}, {"error", error->Message()}});
    co_return MakeResponse(*error);
  }
  using Accepted = OneShot<Outcome<CommandResult>>;
  const auto accepted =
      std::make_shared<Accepted>(co_await asio::this_coro::executor);
  FleetCommand command;
  command.author = "operator";
  command.change = std::move(change);
  m_driver.SubmitAsync(std::move(command),
                       [accepted](Outcome<CommandResult> outcome) {
                         accepted->Set(std::move(outcome));
                       });
  const auto outcome = co_await accepted->Wait(kCommitTimeout);
  if (!outcome) {
    co_return MakeResponse(
        {ErrorId::kNotAccepted, "no quorum acknowledged the command in time"});
  }
  if (const auto* error = std::get_if<Error>(&*outcome)) {
    co_return RespondOrRedirect(request, *error);
  }
  const auto& result = std::get<CommandResult>(*outcome);
  LogEvent(LogLevel::kInfo, "configuration_put",
           {{"version", version},
            {"result", std::string(NameOf(result.error))},
            {"in_place", std::to_string(result.version)}});
  co_return MakeResponse({result.error, result.detail});
}

HttpResponse OperatorCallHandler::RespondOrRedirect(const HttpRequest& request,
                                                    const Error& error) {
  const auto leader = ParseWhole<uint32_t>(error.detail);
  const bool elsewhere = error.id == ErrorId::kNotLeader && leader &&
                         *leader > 0 && *leader != m_replica_id;
  if (!elsewhere) {
    return MakeResponse(error);
  }
  return m_protocol.WriteRedirect(request,
                                  AddressFromIpv4(*leader, m_operator_port));
}

HttpResponse OperatorCallHandler::MakeResponse(const Error& error) {
  Refusal refusal;
  refusal.error = error;
  switch (error.id) {
    case ErrorId::kNone: {
      HttpResponse accepted;
      accepted.headers.Add("Content-Type", "application/json");
      accepted.body = "{}";
      return accepted;
    }
    case ErrorId::kConflict:
      refusal.status = kPreconditionFailed;
      break;
    case ErrorId::kBadValue:
    case ErrorId::kMalformedMessage:
      refusal.status = kBadRequest;
      break;
    case ErrorId::kUnknownRoute:
      break;
    default:
      refusal.status = kUnavailable;
      break;
  }
  return m_protocol.WriteRefusal(refusal);
}

}  // namespace rosemarywinch
