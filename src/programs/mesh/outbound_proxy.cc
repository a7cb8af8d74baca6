#include "rosemarywinch/programs/mesh/outbound_proxy.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "rosemarywinch/adapters/log.h"

namespace rosemarywinch {

namespace {

constexpr int kFirstServerError = 500;
constexpr int kGatewayTimeout = 504;
// Maximum number of attempts that fail without reaching a backend server.
constexpr uint32_t kMaxRejectedAttempts = 3;
// A retry with less time left than this could not finish.
constexpr Duration kMinTimeToSend{20};
// Number of route priorities within one priority of an account.
constexpr uint32_t kRoutePriorities = 16;
// Accounts below this priority are treated alike.
constexpr uint32_t kLowestAccountPriority = 1'000'000;

bool IsServerError(const HopResponse& response) {
  return response.outcome == HopOutcome::kAnswered &&
         response.status >= kFirstServerError;
}

CallResult ResultOf(const HopResponse& response) {
  if (response.evacuated) {
    return CallResult::kEvacuated;
  }
  if (response.outcome == HopOutcome::kNotRun) {
    return response.reason == ErrorId::kUnreachable ? CallResult::kFailed
                                                    : CallResult::kRefused;
  }
  const bool failed =
      response.outcome == HopOutcome::kUnknown || IsServerError(response);
  return failed ? CallResult::kFailed : CallResult::kAnswered;
}

// Calls of the local backend server come from this host and carry no key.
RequestOrigin OriginOf(const HttpRequest& request, const Admitted& admitted) {
  return request.from_this_host && admitted.account == nullptr
             ? RequestOrigin::kLocalBackend
             : RequestOrigin::kCaller;
}

// Returns the priority by which a request is shed: first that of its account,
// then that of its route. 0 is shed last.
uint32_t SheddingPriority(const Admitted& admitted) {
  const uint32_t of_account =
      std::min(admitted.priority, kLowestAccountPriority);
  const uint32_t of_route =
      std::min(admitted.route->spec.priority, kRoutePriorities - 1);
  return of_account * kRoutePriorities + of_route;
}

// Returns the pressure on the member itself, without that on its dependencies.
// A member that did not answer by the deadline counts as overloaded; one that
// could not be reached, or whose data centre is evacuated, gives no
// information.
std::optional<double> PressureOf(const HopResponse& response) {
  if (response.evacuated) {
    return std::nullopt;
  }
  if (response.has_load) {
    return response.pressure;
  }
  const bool timed_out = response.outcome == HopOutcome::kUnknown &&
                         response.reason == ErrorId::kDeadlinePassed;
  return timed_out ? std::optional(kTimeoutPressure) : std::nullopt;
}

}  // namespace

OutboundProxy::OutboundProxy(std::string local_service,
                             MeshView& view,
                             HopChannel& hops,
                             MeshProtocol& protocol,
                             Clock& clock,
                             Metrics& metrics)
    : m_local_service(std::move(local_service)),
      m_view(view),
      m_hops(hops),
      m_protocol(protocol),
      m_clock(clock),
      m_metrics(metrics) {}

asio::awaitable<HttpResponse> OutboundProxy::Handle(
    HttpRequest request,
    std::shared_ptr<CancellationToken> cancellation) {
  const Outcome<CallerRequest> read =
      Capture([&] { return m_protocol.ReadRequest(request); });
  if (const auto* error = std::get_if<Error>(&read)) {
    co_return Refuse("", *error, std::nullopt);
  }
  co_return co_await Admit(std::move(request), std::get<CallerRequest>(read),
                           std::move(cancellation));
}

asio::awaitable<HttpResponse> OutboundProxy::Admit(
    HttpRequest request,
    CallerRequest caller,
    std::shared_ptr<CancellationToken> cancellation) {
  const TimePoint now = m_clock.Now();
  // Keeps the route and the account alive until the response is made.
  const MeshView::ConfigState config_state = m_view.CurrentConfigState();
  const EntryDecision decision = CheckEntry(
      now, config_state.entry_context, {caller.host, caller.path, caller.key});
  if (const auto* refusal = std::get_if<Rejected>(&decision)) {
    co_return Refuse(
        caller.request_id, Error{refusal->reason, ""},
        RetryAfterRejection(refusal->reason, m_view.RandomFraction()));
  }
  const Admitted& admitted = std::get<Admitted>(decision);
  RequestState state = BeginRequest(now, caller, admitted);
  if (!IsAccepted(CurrentStop(), OriginOf(request, admitted), state.deadline)) {
    co_return Refuse(caller.request_id, Error{ErrorId::kDraining, ""},
                     kDefaultRetryAfter);
  }
  state.config_version = config_state.config->version();
  if (admitted.account != nullptr) {
    auto refusal = co_await CheckAccount(state, admitted);
    if (refusal) {
      co_return std::move(*refusal);
    }
  }
  FillHopRequest(state, std::move(request));
  m_view.CountRequest(state.hop.service);
  if (state.hop.nested) {
    const Duration left =
        caller.time_left.value_or(admitted.route->spec.timeout);
    const ParentRequest parent =
        m_view.CountCall(state.hop.service, now + left);
    state.hop.calls_before = parent.calls_before;
    state.hop.entry_service = parent.entry.service;
    state.hop.entry_priority = parent.entry.priority;
  }
  co_await SendWithRetries(state, std::move(cancellation));
  co_return Finish(state);
}

void OutboundProxy::EnterPhase(const StopState& state) {
  std::scoped_lock lock(m_stop_mutex);
  m_stop = state;
}

StopState OutboundProxy::CurrentStop() const {
  std::scoped_lock lock(m_stop_mutex);
  return m_stop;
}

OutboundProxy::RequestState OutboundProxy::BeginRequest(
    TimePoint now,
    const CallerRequest& caller,
    const Admitted& admitted) {
  RequestState state;
  state.route = admitted.route;
  state.route_name = admitted.route->name;
  state.arrived = now;
  const Duration allowed = admitted.route->spec.timeout;
  state.deadline = now + std::min(allowed, caller.time_left.value_or(allowed));
  state.hop.service = m_view.ChooseService(*admitted.route);
  state.hop.priority = admitted.priority;
  state.hop.nested = admitted.account == nullptr;
  state.hop.kind = admitted.route->spec.kind;
  state.hop.request_id = caller.request_id;
  return state;
}

// Returns the refusal of a request that is shed, or exceeds its account's rate.
asio::awaitable<std::optional<HttpResponse>> OutboundProxy::CheckAccount(
    RequestState& state,
    const Admitted& admitted) {
  const std::string& service = state.hop.service;
  state.hop.account = admitted.account->name;
  const EntryClass entry{service, SheddingPriority(admitted)};
  state.hop.entry_service = entry.service;
  state.hop.entry_priority = entry.priority;
  const RootAdmission admission =
      m_view.root_admitter().Admit(entry, state.hop.account);
  if (!admission.admitted) {
    co_return Refuse(
        state.hop.request_id,
        Error{ErrorId::kOverloaded, admission.explanation},
        RetryAfterShedding(admission.fraction, m_view.RandomFraction()));
  }
  if (admitted.account->spec.rate <= 0) {
    co_return std::nullopt;
  }
  const auto wait = co_await m_view.TakeToken(state.hop.account);
  if (wait) {
    m_view.root_admitter().OnRateRefused(entry);
    co_return Refuse(state.hop.request_id,
                     Error{ErrorId::kRateExceeded, state.hop.account}, *wait);
  }
  co_return std::nullopt;
}

void OutboundProxy::FillHopRequest(RequestState& state,
                                   HttpRequest request) const {
  HopRequest& hop = state.hop;
  hop.headers = m_protocol.ForwardedHeaders(request);
  hop.method = std::move(request.method);
  hop.target = std::move(request.target);
  hop.body = std::move(request.body);
  hop.caller_service = m_local_service;
}

asio::awaitable<void> OutboundProxy::SendWithRetries(
    RequestState& state,
    std::shared_ptr<CancellationToken> cancellation) {
  state.last.outcome = HopOutcome::kNotRun;
  state.last.reason = ErrorId::kNoBackend;
  while (!cancellation->cancelled() && MaySend(CurrentStop().phase)) {
    const auto member = m_view.Choose(state.hop.service, state.excluded);
    if (!member) {
      co_return;
    }
    co_await SendAttempt(state, *member, cancellation);
    state.excluded.insert(member->node);
    if (!ShouldRetry(state)) {
      co_return;
    }
    const bool costs_retry = state.reached_count > 0 && !state.last.evacuated;
    if (costs_retry && !m_view.TryRetry(state.hop.service)) {
      co_return;
    }
  }
}

asio::awaitable<void> OutboundProxy::SendAttempt(
    RequestState& state,
    const Member& member,
    std::shared_ptr<CancellationToken> cancellation) {
  const TimePoint began = m_clock.Now();
  HopRequest hop = state.hop;
  hop.time_left = state.deadline - began;
  HopResponse response =
      co_await m_hops.Call(member, std::move(hop), std::move(cancellation));
  const Duration took = m_clock.Now() - began;
  m_view.FinishCall(state.hop.service, member.node, ResultOf(response), took);
  if (const auto pressure = PressureOf(response)) {
    RecordPressure(state, *pressure, response.pressure_below);
  }
  // The whole data centre refuses at once, so that these refusals would use up
  // the attempts of a request. At most one comes from each data centre, since
  // the router excludes it then.
  if (response.reached_backend) {
    ++state.reached_count;
  } else if (!response.evacuated) {
    ++state.rejected_count;
  }
  if (response.outcome != HopOutcome::kAnswered) {
    LogRequestEvent("send_failed",
                    {{"request", state.hop.request_id},
                     {"service", state.hop.service},
                     {"node", member.node},
                     {"outcome", std::string(NameOf(response.outcome))},
                     {"reason", std::string(NameOf(response.reason))},
                     {"reached", response.reached_backend ? "true" : "false"},
                     {"took_ms", std::to_string(took.ms)},
                     {"left_ms", std::to_string((state.deadline - began).ms)},
                     {"config", std::to_string(state.config_version)}});
  }
  state.last = std::move(response);
}

void OutboundProxy::RecordPressure(const RequestState& state,
                                   double pressure,
                                   const std::vector<ServicePressure>& below) {
  if (state.hop.nested) {
    m_view.RecordDependencyPressures(state.hop.service, pressure, below);
  } else {
    m_view.root_admitter().RecordPressure(
        state.hop.service, std::max(pressure, MaxPressure(below)));
  }
}

bool OutboundProxy::ShouldRetry(const RequestState& state) const {
  const HopResponse& last = state.last;
  const bool time_left = m_clock.Now() + kMinTimeToSend < state.deadline;
  const bool attempts_left =
      state.reached_count <
      std::max<uint32_t>(1, state.route->spec.max_attempts);
  if (!time_left || !attempts_left ||
      state.rejected_count >= kMaxRejectedAttempts) {
    return false;
  }
  if (last.outcome == HopOutcome::kNotRun) {
    return last.reason != ErrorId::kDeadlinePassed;
  }
  const bool retryable = state.hop.kind == RouteKind::kIdempotent;
  return retryable &&
         (last.outcome == HopOutcome::kUnknown || IsServerError(last));
}

HttpResponse OutboundProxy::Finish(const RequestState& state) {
  RequestSample sample;
  sample.account = state.hop.account;
  sample.total_ms = static_cast<double>((m_clock.Now() - state.arrived).ms);
  sample.refusal = state.last.outcome == HopOutcome::kAnswered
                       ? ErrorId::kNone
                       : state.last.reason;
  m_metrics.RecordRequest(sample);
  if (state.last.outcome != HopOutcome::kAnswered) {
    return WriteFailure(state);
  }
  HttpResponse response;
  response.status = static_cast<int>(state.last.status);
  for (const HeaderField& field : state.last.headers) {
    response.headers.Add(field.name, field.value);
  }
  response.body = state.last.body;
  return response;
}

HttpResponse OutboundProxy::WriteFailure(const RequestState& state) {
  const HopResponse& last = state.last;
  LogRequestEvent(
      "failed",
      {{"request", state.hop.request_id},
       {"route", state.route_name},
       {"reason", std::string(NameOf(last.reason))},
       {"reached", std::to_string(state.reached_count)},
       {"turned_away", std::to_string(state.rejected_count)},
       {"held_ms", std::to_string((m_clock.Now() - state.arrived).ms)}});
  // An idempotent request that was retried may have run in an earlier attempt,
  // whatever the last node reports. It certainly has not run only if it reached
  // no backend server, or a single one that reported so in the last attempt.
  const bool known_not_run =
      last.outcome == HopOutcome::kNotRun &&
      (state.reached_count == 0 ||
       (state.reached_count == 1 && last.reached_backend));
  Refusal refusal;
  refusal.request_id = state.hop.request_id;
  refusal.error = {last.reason, state.hop.service};
  if (known_not_run) {
    refusal.status = Error{ErrorId::kOverloaded, ""}.HttpStatus();
    refusal.retry_after = std::max(kDefaultRetryAfter, last.retry_after);
  } else if (last.reason == ErrorId::kDeadlinePassed) {
    refusal.status = kGatewayTimeout;
  } else {
    refusal.status = Error{ErrorId::kBackendFailed, ""}.HttpStatus();
  }
  return m_protocol.WriteRefusal(refusal);
}

HttpResponse OutboundProxy::Refuse(const std::string& request_id,
                                   Error error,
                                   std::optional<Duration> retry_after) {
  const TimePoint now = m_clock.Now();
  const MeshView::ConfigState config_state = m_view.CurrentConfigState();
  const uint64_t version =
      config_state.config ? config_state.config->version() : 0;
  LogRequestEvent(
      "refused",
      {{"request", request_id},
       {"reason", std::string(NameOf(error.id))},
       {"detail", error.detail},
       {"config", std::to_string(version)},
       {"config_age_ms",
        std::to_string((now - config_state.entry_context.confirmed).ms)},
       {"lease_left_ms",
        std::to_string((config_state.entry_context.lease_end - now).ms)}});
  Refusal refusal{request_id, std::move(error), std::nullopt, retry_after};
  return m_protocol.WriteRefusal(refusal);
}

}  // namespace rosemarywinch
