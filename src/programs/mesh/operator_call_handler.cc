#include "rosemarywinch/programs/mesh/operator_call_handler.h"

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <utility>

#include "rosemarywinch/adapters/async/net.h"
#include "rosemarywinch/adapters/async/one_shot.h"
#include "rosemarywinch/adapters/log.h"
#include "rosemarywinch/core/text_value.h"
#include "rosemarywinch/decisions/fleet/fleet_store.h"
#include "rosemarywinch/decisions/mesh/mesh_config.h"

namespace rosemarywinch {

namespace {

// Below the 1 s after which an operator's client tries another replica.
constexpr Duration kCommitTimeout{900};
// Leases also end without a notification, so that the nodes are looked at
// again.
constexpr std::chrono::milliseconds kInForceCheckInterval{40};
constexpr int kUnavailable = 503;
constexpr int kBadRequest = 400;
constexpr int kPreconditionFailed = 412;
constexpr const char* kAuthor = "operator";
// For earlier orders to be read, and this one.
constexpr Duration kReadTimeout{10'000};

Error TooBusy() {
  return {ErrorId::kNotAccepted, "earlier orders are still being read"};
}

}  // namespace

asio::awaitable<HttpResponse> OperatorCallHandler::Handle(HttpRequest request) {
  const auto shared = std::make_shared<HttpRequest>(std::move(request));
  const std::function<OperatorCall()> read = [this, shared] {
    return m_protocol.ReadOperatorCall(*shared);
  };
  std::optional<OperatorCall> call = co_await InBackground(read);
  if (!call) {
    co_return MakeResponse(TooBusy());
  }
  co_return co_await std::visit(
      [&](auto& kind) { return Execute(std::move(*shared), std::move(kind)); },
      *call);
}

// Runs `work` on the background thread and waits for its result: to read a
// large configuration takes longer than the threads that serve peers and nodes
// may be held up.
template <typename T>
asio::awaitable<std::optional<T>> OperatorCallHandler::InBackground(
    std::function<T()> work) {
  const auto done =
      std::make_shared<OneShot<T>>(co_await asio::this_coro::executor);
  asio::post(m_background,
             [done, work = std::move(work)] { done->Set(work()); });
  co_return co_await done->Wait(kReadTimeout);
}

asio::awaitable<HttpResponse> OperatorCallHandler::Execute(HttpRequest,
                                                           UnknownCall call) {
  LogEvent(LogLevel::kInfo, "operator_call_refused",
           {{"error", call.error.Message()}});
  co_return MakeResponse(call.error);
}

asio::awaitable<HttpResponse> OperatorCallHandler::Execute(
    HttpRequest request,
    GetConfigurationCall) {
  const auto view = Capture([&] { return m_driver.ReadAsLeader(); });
  if (const auto* error = std::get_if<Error>(&view)) {
    co_return RespondOrRedirect(request, *error);
  }
  const auto& record =
      std::get<ConsensusDriver::LeaderView>(view).state->configuration;
  if (record.version == 0) {
    co_return MakeResponse({ErrorId::kCutOff, "no configuration yet"});
  }
  co_return m_protocol.WriteConfiguration(record.document);
}

asio::awaitable<HttpResponse> OperatorCallHandler::Execute(
    HttpRequest request,
    PutConfigurationCall call) {
  const TimePoint begun = m_clock.Now();
  const uint64_t change_version = call.configuration.version;
  const std::string version = std::to_string(change_version);
  const auto shared = std::make_shared<PutConfigurationCall>(std::move(call));
  const std::function<Outcome<FleetCommand>()> make = [this, shared] {
    return Capture([&] { return MakeChange(*shared); });
  };
  auto command = co_await InBackground(make);
  if (!command) {
    co_return MakeResponse(TooBusy());
  }
  if (const auto* error = std::get_if<Error>(&*command)) {
    LogEvent(LogLevel::kInfo, "configuration_refused",
             {{"version", version}, {"error", error->Message()}});
    co_return MakeResponse(*error);
  }
  const auto outcome =
      co_await Submit(std::move(std::get<FleetCommand>(*command)));
  if (const auto* error = std::get_if<Error>(&outcome)) {
    co_return RespondOrRedirect(request, *error);
  }
  auto result = std::get<CommandResult>(outcome);
  ControlService::ConfigurationProgress progress;
  if (result.error == ErrorId::kNone) {
    progress = co_await WaitInForce(change_version, begun + kCommitTimeout);
  }
  if (result.error == ErrorId::kNone && !progress.in_force) {
    result.error = ErrorId::kNotAccepted;
    result.detail = "stored, but not in force on all nodes yet";
  }
  LogEvent(LogLevel::kInfo, "configuration_put",
           {{"version", version},
            {"result", std::string(NameOf(result.error))},
            {"in_place", std::to_string(result.version)},
            {"took_ms", std::to_string((m_clock.Now() - begun).ms)},
            {"nodes_pending", std::to_string(progress.pending.size())}});
  co_return MakeResponse({result.error, result.detail});
}

// Waits until no node can act on an older configuration than `version` after
// the bound that holds from the acknowledgement on, and until `deadline` at
// most.
asio::awaitable<ControlService::ConfigurationProgress>
OperatorCallHandler::WaitInForce(uint64_t version, TimePoint deadline) {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  while (true) {
    const auto read =
        Capture([&] { return m_service.ProgressOf(version, m_apply_limit); });
    if (std::holds_alternative<Error>(read)) {
      co_return ControlService::ConfigurationProgress{};
    }
    const auto& progress =
        std::get<ControlService::ConfigurationProgress>(read);
    if (progress.in_force || m_clock.Now() >= deadline) {
      co_return progress;
    }
    timer.expires_after(kInForceCheckInterval);
    boost::system::error_code ignored;
    co_await timer.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
  }
}

// Errors: those of MeshConfig::Build().
Result<FleetCommand> OperatorCallHandler::MakeChange(
    PutConfigurationCall& call) const {
  PutConfiguration change;
  change.version = call.configuration.version;
  change.base_version = call.configuration.base_version;
  change.document = std::move(call.document);
  change.fingerprint = m_hasher.Hash(call.canonical);
  BOOST_LEAF_CHECK(MeshConfig::Build(std::move(call.configuration)));
  FleetCommand command;
  command.change = std::move(change);
  return command;
}

asio::awaitable<HttpResponse> OperatorCallHandler::Execute(
    HttpRequest request,
    StartEvacuationCall call) {
  FleetCommand command;
  command.change = StartEvacuation{std::move(call.data_centre), {}};
  return ChangeEvacuation(std::move(request), std::move(command));
}

asio::awaitable<HttpResponse> OperatorCallHandler::Execute(
    HttpRequest request,
    EndEvacuationCall call) {
  FleetCommand command;
  command.change = EndEvacuation{std::move(call.data_centre), {}};
  return ChangeEvacuation(std::move(request), std::move(command));
}

asio::awaitable<HttpResponse> OperatorCallHandler::ChangeEvacuation(
    HttpRequest request,
    FleetCommand command) {
  const std::string text = Describe(command);
  const auto outcome =
      co_await Submit(m_service.WithDataCentres(std::move(command)));
  if (const auto* error = std::get_if<Error>(&outcome)) {
    co_return RespondOrRedirect(request, *error);
  }
  const auto& result = std::get<CommandResult>(outcome);
  LogEvent(LogLevel::kInfo, "evacuation_order",
           {{"order", text},
            {"result", std::string(NameOf(result.error))},
            {"version", std::to_string(result.version)}});
  co_return MakeResponse({result.error, result.detail});
}

// Commits a command within the time for which an operator's client waits.
asio::awaitable<Outcome<CommandResult>> OperatorCallHandler::Submit(
    FleetCommand command) {
  using Accepted = OneShot<Outcome<CommandResult>>;
  const auto accepted =
      std::make_shared<Accepted>(co_await asio::this_coro::executor);
  command.author = kAuthor;
  m_driver.SubmitAsync(std::move(command),
                       [accepted](Outcome<CommandResult> outcome) {
                         accepted->Set(std::move(outcome));
                       });
  auto outcome = co_await accepted->Wait(kCommitTimeout);
  if (!outcome) {
    co_return Error{ErrorId::kNotAccepted,
                    "no quorum acknowledged the command in time"};
  }
  co_return std::move(*outcome);
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
    case ErrorId::kUnknownDataCentre:
    case ErrorId::kLastDataCentre:
      break;
    default:
      refusal.status = kUnavailable;
      break;
  }
  return m_protocol.WriteRefusal(refusal);
}

}  // namespace rosemarywinch
