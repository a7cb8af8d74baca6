#include "rosemarywinch/programs/mesh/caller_entry.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "rosemarywinch/adapters/log.h"

namespace rosemarywinch {

namespace {

constexpr int kFirstServerError = 500;
constexpr int kGatewayTimeout = 504;
// Nodes that are asked after others turned a request away unsent.
constexpr uint32_t kMostTurnedAway = 3;
// With less time left than this, another send is of no use.
constexpr Duration kLeastTimeToSend{20};
constexpr Duration kRetrySoon{300};
// Ranks of routes within one priority of an account.
constexpr uint32_t kRoutePriorities = 16;

bool IsServerError(const HopResponse& response) {
  return response.outcome == HopOutcome::kAnswered &&
         response.status >= kFirstServerError;
}

CallResult ResultOf(const HopResponse& response) {
  if (response.outcome == HopOutcome::kNotRun) {
    return response.reason == ErrorId::kUnreachable ? CallResult::kFailed
                                                    : CallResult::kRefused;
  }
  const bool failed =
      response.outcome == HopOutcome::kUnknown || IsServerError(response);
  return failed ? CallResult::kFailed : CallResult::kAnswered;
}

std::optional<LoadReport> LoadOf(const HopResponse& response) {
  if (!response.has_load) {
    return std::nullopt;
  }
  return LoadReport{response.in_flight, response.waiting};
}

// Pressure of the member itself that an answer tells of. A member that has not
// answered by the deadline counts as short of room; one that could not be
// reached says nothing.
std::optional<double> PressureOf(const HopResponse& response) {
  if (response.has_load) {
    return response.pressure;
  }
  const bool timed_out = response.outcome == HopOutcome::kUnknown &&
                         response.reason == ErrorId::kDeadlinePassed;
  return timed_out ? std::optional(kTimeoutPressure) : std::nullopt;
}

}  // namespace

CallerEntry::CallerEntry(std::string own_service,
                         MeshView& view,
                         HopChannel& hops,
                         MeshProtocol& protocol,
                         Clock& clock,
                         Metrics& metrics)
    : m_own_service(std::move(own_service)),
      m_view(view),
      m_hops(hops),
      m_protocol(protocol),
      m_clock(clock),
      m_metrics(metrics) {}

asio::awaitable<HttpResponse> CallerEntry::Handle(
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

asio::awaitable<HttpResponse> CallerEntry::Admit(
    HttpRequest request,
    CallerRequest caller,
    std::shared_ptr<CancellationToken> cancellation) {
  const TimePoint now = m_clock.Now();
  const MeshView::Facts facts = m_view.CurrentFacts();
  const EntryDecision decision =
      CheckEntry(now, facts.facts, {caller.host, caller.path, caller.key});
  if (const auto* refusal = std::get_if<Rejected>(&decision)) {
    co_return Refuse(caller.request_id, Error{refusal->reason, ""}, kRetrySoon);
  }
  const Admitted& let_in = std::get<Admitted>(decision);
  Passage passage;
  passage.route = let_in.route;
  passage.route_name = let_in.route->name;
  passage.config_version = facts.config->version();
  passage.arrived = now;
  const Duration allowed = let_in.route->spec.timeout;
  passage.deadline =
      now + std::min(allowed, caller.time_left.value_or(allowed));
  passage.hop.service = m_view.ServiceOf(*let_in.route);
  if (let_in.account != nullptr) {
    passage.hop.account = let_in.account->name;
    const uint32_t priority =
        let_in.priority * kRoutePriorities +
        std::min(let_in.route->spec.priority, kRoutePriorities - 1);
    if (!m_view.AdmitFresh(passage.hop.service, priority)) {
      co_return Refuse(
          caller.request_id,
          Error{ErrorId::kOverloaded,
                m_view.ExplainShedding(passage.hop.service, priority)},
          kRetrySoon * 3);
    }
    if (let_in.account->spec.rate > 0) {
      const auto wait = co_await m_view.TakeToken(let_in.account->name);
      if (wait) {
        co_return Refuse(caller.request_id,
                         Error{ErrorId::kRateExceeded, passage.hop.account},
                         *wait);
      }
    }
  }
  passage.hop.request_id = std::move(caller.request_id);
  passage.hop.method = std::move(request.method);
  passage.hop.target = std::move(request.target);
  passage.hop.headers = m_protocol.ForwardedHeaders(request);
  passage.hop.body = std::move(request.body);
  passage.hop.caller_service = m_own_service;
  passage.hop.priority = let_in.priority;
  passage.hop.nested = let_in.account == nullptr;
  passage.hop.kind = let_in.route->spec.kind;
  m_view.CountRequest(passage.hop.service);
  if (passage.hop.nested) {
    const Duration left = caller.time_left.value_or(allowed);
    passage.hop.calls_before =
        m_view.CountCall(passage.hop.service, now + left);
  }
  co_await SendUntilDone(passage, std::move(cancellation));
  co_return Finish(passage);
}

asio::awaitable<void> CallerEntry::SendUntilDone(
    Passage& passage,
    std::shared_ptr<CancellationToken> cancellation) {
  passage.last.outcome = HopOutcome::kNotRun;
  passage.last.reason = ErrorId::kNoBackend;
  while (!cancellation->cancelled()) {
    const auto member = m_view.Choose(passage.hop.service, passage.excluded);
    if (!member) {
      co_return;
    }
    co_await SendOnce(passage, *member, cancellation);
    passage.excluded.insert(member->node);
    if (!MaySendAgain(passage)) {
      co_return;
    }
    const bool costs_retry = passage.reached > 0;
    if (costs_retry && !m_view.TryRetry(passage.hop.service)) {
      co_return;
    }
  }
}

asio::awaitable<void> CallerEntry::SendOnce(
    Passage& passage,
    const Member& member,
    std::shared_ptr<CancellationToken> cancellation) {
  const TimePoint began = m_clock.Now();
  HopRequest hop = passage.hop;
  hop.time_left = passage.deadline - began;
  HopResponse response =
      co_await m_hops.Call(member, std::move(hop), std::move(cancellation));
  const Duration took = m_clock.Now() - began;
  m_view.FinishCall(passage.hop.service, member.node, ResultOf(response), took,
                    LoadOf(response));
  if (const auto pressure = PressureOf(response)) {
    NotePressure(passage, *pressure, response.pressure_below);
  }
  if (response.reached_backend) {
    ++passage.reached;
  } else {
    ++passage.turned_away;
  }
  if (response.outcome != HopOutcome::kAnswered) {
    LogRequestEvent("send_failed",
                    {{"request", passage.hop.request_id},
                     {"service", passage.hop.service},
                     {"node", member.node},
                     {"outcome", std::string(NameOf(response.outcome))},
                     {"reason", std::string(NameOf(response.reason))},
                     {"reached", response.reached_backend ? "true" : "false"},
                     {"took_ms", std::to_string(took.ms)},
                     {"left_ms", std::to_string((passage.deadline - began).ms)},
                     {"config", std::to_string(passage.config_version)}});
  }
  passage.last = std::move(response);
}

void CallerEntry::NotePressure(const Passage& passage,
                               double pressure,
                               const std::vector<ServicePressure>& below) {
  if (passage.hop.nested) {
    m_view.NotePressureBelow(passage.hop.service, pressure, below);
  } else {
    m_view.NotePressure(passage.hop.service,
                        std::max(pressure, MaxPressure(below)));
  }
}

bool CallerEntry::MaySendAgain(const Passage& passage) const {
  const HopResponse& last = passage.last;
  const bool time_left = m_clock.Now() + kLeastTimeToSend < passage.deadline;
  const bool attempts_left =
      passage.reached < std::max<uint32_t>(1, passage.route->spec.max_attempts);
  if (!time_left || !attempts_left || passage.turned_away >= kMostTurnedAway) {
    return false;
  }
  if (last.outcome == HopOutcome::kNotRun) {
    return last.reason != ErrorId::kDeadlinePassed;
  }
  const bool repeatable = passage.hop.kind == RouteKind::kIdempotent;
  return repeatable &&
         (last.outcome == HopOutcome::kUnknown || IsServerError(last));
}

HttpResponse CallerEntry::Finish(const Passage& passage) {
  RequestSample sample;
  sample.account = passage.hop.account;
  sample.total_ms = static_cast<double>((m_clock.Now() - passage.arrived).ms);
  sample.refusal = passage.last.outcome == HopOutcome::kAnswered
                       ? ErrorId::kNone
                       : passage.last.reason;
  m_metrics.RecordRequest(sample);
  if (passage.last.outcome != HopOutcome::kAnswered) {
    return FailedAnswer(passage);
  }
  HttpResponse response;
  response.status = static_cast<int>(passage.last.status);
  for (const HeaderField& field : passage.last.headers) {
    response.headers.Add(field.name, field.value);
  }
  response.body = passage.last.body;
  return response;
}

HttpResponse CallerEntry::FailedAnswer(const Passage& passage) {
  const HopResponse& last = passage.last;
  LogRequestEvent(
      "failed",
      {{"request", passage.hop.request_id},
       {"route", passage.route_name},
       {"reason", std::string(NameOf(last.reason))},
       {"reached", std::to_string(passage.reached)},
       {"turned_away", std::to_string(passage.turned_away)},
       {"held_ms", std::to_string((m_clock.Now() - passage.arrived).ms)}});
  // An idempotent request that was sent before may have run, whatever the last
  // node says; only one that never left is certain.
  const bool certain =
      last.outcome == HopOutcome::kNotRun &&
      (passage.reached == 0 || (passage.reached == 1 && last.reached_backend));
  Refusal refusal;
  refusal.request_id = passage.hop.request_id;
  refusal.error = {last.reason, passage.hop.service};
  if (certain) {
    refusal.status = Error{ErrorId::kOverloaded, ""}.HttpStatus();
    refusal.retry_after = std::max(kRetrySoon, last.retry_after);
  } else if (last.reason == ErrorId::kDeadlinePassed) {
    refusal.status = kGatewayTimeout;
  } else {
    refusal.status = Error{ErrorId::kBackendFailed, ""}.HttpStatus();
  }
  return m_protocol.WriteRefusal(refusal);
}

HttpResponse CallerEntry::Refuse(const std::string& request_id,
                                 Error error,
                                 std::optional<Duration> retry_after) {
  const TimePoint now = m_clock.Now();
  const MeshView::Facts known = m_view.CurrentFacts();
  const uint64_t version = known.config ? known.config->version() : 0;
  LogRequestEvent(
      "refused",
      {{"request", request_id},
       {"reason", std::string(NameOf(error.id))},
       {"detail", error.detail},
       {"config", std::to_string(version)},
       {"config_age_ms", std::to_string((now - known.facts.confirmed).ms)},
       {"lease_left_ms", std::to_string((known.facts.lease_end - now).ms)}});
  Refusal refusal{request_id, std::move(error), std::nullopt, retry_after};
  return m_protocol.WriteRefusal(refusal);
}

}  // namespace rosemarywinch
