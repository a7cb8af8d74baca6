#include "rosemarywinch/programs/ingress_handler.h"

#include <algorithm>
#include <functional>
#include <utility>

#include "rosemarywinch/core/text_value.h"
#include "rosemarywinch/decisions/traffic/client_key.h"
#include "rosemarywinch/decisions/traffic/headers.h"

namespace rosemarywinch {

namespace {

constexpr size_t kRequestIdBytes = 12;
constexpr int64_t kMaxTimeoutMs = 600'000;
constexpr Duration kRetryAfterCutOff{1000};

// Distinguishes the nested calls that a backend server makes for one request.
std::string CallFingerprint(const HttpRequest& request) {
  const std::string* id = request.headers.Find(headers::kIdempotencyKey);
  return request.method + " " + request.path + "?" + request.query + " " +
         std::to_string(std::hash<std::string>{}(request.body)) + " " +
         (id == nullptr ? "" : *id);
}

std::string LevelOf(const EffectivePolicy& policy, const std::string& field) {
  const auto found = policy.origins.find(field);
  return found == policy.origins.end() ? std::string(kDefaultOrigin)
                                       : found->second;
}

std::string_view OutcomeName(const CallOutcome& outcome) {
  return std::visit(
      Overloaded{
          [](const Ran&) { return std::string_view("ran"); },
          [](const NotRun&) { return std::string_view("not-run"); },
          [](const UnknownOutcome&) { return std::string_view("unknown"); }},
      outcome);
}

const Error* ErrorOf(const CallOutcome& outcome) {
  return std::visit(
      Overloaded{
          [](const Ran&) -> const Error* { return nullptr; },
          [](const auto& failed) -> const Error* { return &failed.error; }},
      outcome);
}

}  // namespace

HttpResponse IngressHandler::HandleCaller(const HttpRequest& request) {
  RequestState state;
  state.start = m_dependencies.clock.Now();
  return Serve(state, request, std::nullopt);
}

HttpResponse IngressHandler::HandleBackend(const HttpRequest& request) {
  RequestState state;
  state.start = m_dependencies.clock.Now();
  const std::string* context = request.headers.Find(headers::kContext);
  if (context == nullptr) {
    return Serve(state, request, std::nullopt);
  }
  RequestContexts& contexts = m_dependencies.dispatcher.contexts();
  const std::string name = *context;
  const Outcome<NestedCall> begun = Capture([&] {
    return contexts.BeginNested(state.start, name, CallFingerprint(request));
  });
  if (const auto* error = std::get_if<Error>(&begun)) {
    CallReport report;
    report.outcome = NotRun{*error, {}};
    Record(state, report);
    return MakeResponse(state, std::move(report));
  }
  HttpResponse response = Serve(state, request, std::get<NestedCall>(begun));
  contexts.EndNested(name, state.envelope.retries,
                     m_dependencies.clock.Now() - state.start);
  return response;
}

HttpResponse IngressHandler::Serve(RequestState& state,
                                   const HttpRequest& request,
                                   const std::optional<NestedCall>& nested) {
  const Outcome<Done> prepared =
      Capture([&] { return Prepare(state, request, nested); });
  CallReport report;
  report.retries_left = nested ? nested->retries : 0;
  if (const auto* error = std::get_if<Error>(&prepared)) {
    report.outcome = RejectionOutcome(state, request, *error);
  } else {
    HttpRequest forwarded = request;
    forwarded.path = state.match->backend_path;
    forwarded.headers.RemoveConnectionHeaders();
    forwarded.headers.Remove(kKeyHeader);
    forwarded.headers.Remove(headers::kContext);
    report = m_dependencies.forwarder.Forward(state.envelope, forwarded,
                                              state.bound);
  }
  state.envelope.retries = report.retries_left;
  Record(state, report);
  return MakeResponse(state, std::move(report));
}

CallOutcome IngressHandler::RejectionOutcome(const RequestState& state,
                                             const HttpRequest& request,
                                             const Error& error) {
  // An earlier attempt with the same id may have run; only the node that the id
  // is bound to can rule that out.
  const std::string* id = request.headers.Find(headers::kIdempotencyKey);
  if (id != nullptr && !m_dependencies.forwarder.IsFresh(*id)) {
    return UnknownOutcome{error};
  }
  return NotRun{error, state.retry_after};
}

Result<Done> IngressHandler::Prepare(RequestState& state,
                                     const HttpRequest& request,
                                     const std::optional<NestedCall>& nested) {
  state.envelope.request_id = m_dependencies.random.Hex(kRequestIdBytes);
  if (m_draining && !nested) {
    return Fail(ErrorId::kDraining);
  }
  BOOST_LEAF_CHECK(FindRoute(state, request));
  if (nested) {
    Inherit(state, *nested);
  } else {
    BOOST_LEAF_CHECK(Authenticate(state, request));
  }
  state.policy = EffectiveAt(
      state.config->state,
      {state.match->service, state.match->route, state.envelope.account});
  const PolicySettings& settings = state.policy.settings;
  state.envelope.request_class = *settings.request_class;
  state.envelope.at_most_once = state.policy.RunsAtMostOnce();
  state.envelope.weight = *settings.weight;
  BOOST_LEAF_CHECK(CheckBody(state, request));
  BOOST_LEAF_CHECK(SetDeadline(state, request));
  if (nested) {
    state.envelope.timeout =
        std::min(state.envelope.timeout, nested->deadline - state.start);
    state.envelope.retries = nested->retries;
    if (state.envelope.at_most_once && !nested->at_most_once) {
      return Fail(ErrorId::kUnsafeNesting, state.match->service);
    }
  } else {
    state.envelope.retries = *settings.retries;
    state.envelope.max_depth = *settings.max_depth;
  }
  if (state.envelope.at_most_once) {
    BOOST_LEAF_CHECK(BindRequestId(state, request));
  }
  return nested ? Result<Done>(Done{}) : TakeAllowance(state);
}

Result<Done> IngressHandler::FindRoute(RequestState& state,
                                       const HttpRequest& request) {
  state.config = m_dependencies.state.Config();
  if (state.config == nullptr) {
    state.retry_after = kRetryAfterCutOff;
    return Fail(ErrorId::kCutOff, "no settings received from control yet");
  }
  BOOST_LEAF_AUTO(match, state.config->routes.Find(request.path));
  state.policy = *match.policy;
  state.envelope.service = match.service;
  state.envelope.route = match.route;
  state.match = std::move(match);
  return Done{};
}

Result<Done> IngressHandler::Authenticate(RequestState& state,
                                          const HttpRequest& request) {
  BOOST_LEAF_AUTO(key, ExtractClientKey(request));
  const bool open = *state.policy.settings.access == Access::kOpen;
  // A key may have been withdrawn since the lease expired, so none is trusted.
  const bool lease_valid = m_dependencies.state.IsLeaseValid();
  if (!open && !lease_valid) {
    state.retry_after = kRetryAfterCutOff;
    return Fail(ErrorId::kCutOff);
  }
  if (key && lease_valid) {
    BOOST_LEAF_ASSIGN(
        state.envelope.account,
        AuthenticateKey(state.config->state, *key, m_dependencies.hasher));
  } else if (!open) {
    return Fail(ErrorId::kNoKey);
  }
  return Done{};
}

void IngressHandler::Inherit(RequestState& state,
                             const NestedCall& nested) const {
  state.envelope.request_id = nested.request_id;
  state.envelope.account = nested.account;
  state.envelope.nested = true;
  state.envelope.depth = nested.depth;
  state.envelope.max_depth = nested.max_depth;
}

Result<Done> IngressHandler::CheckBody(RequestState& state,
                                       const HttpRequest& request) const {
  const uint64_t limit = *state.policy.settings.max_body;
  if (request.body.size() > limit) {
    state.refusal_level = LevelOf(state.policy, "max_body");
    return Fail(ErrorId::kBodyTooLarge, NumberText(limit) + " bytes");
  }
  return Done{};
}

Result<Done> IngressHandler::SetDeadline(RequestState& state,
                                         const HttpRequest& request) const {
  state.envelope.timeout = *state.policy.settings.timeout;
  const std::string* text = request.headers.Find(headers::kTimeout);
  if (text == nullptr) {
    return Done{};
  }
  const std::optional<double> ms = ParseNumber(*text);
  const bool valid = ms && *ms >= 1 && *ms <= kMaxTimeoutMs &&
                     *ms == static_cast<double>(static_cast<int64_t>(*ms));
  if (!valid) {
    return Fail(ErrorId::kBadDeadline, *text);
  }
  state.envelope.timeout =
      std::min(state.envelope.timeout, Duration{static_cast<int64_t>(*ms)});
  return Done{};
}

Result<Done> IngressHandler::BindRequestId(RequestState& state,
                                           const HttpRequest& request) {
  HopEnvelope& envelope = state.envelope;
  const std::string* id = request.headers.Find(headers::kIdempotencyKey);
  if (id == nullptr) {
    BOOST_LEAF_ASSIGN(state.issued_id, m_dependencies.forwarder.ObtainId(
                                           envelope.service, envelope.account));
    return Fail(ErrorId::kRequestIdRequired);
  }
  BOOST_LEAF_AUTO(parts, ParseRequestId(*id));
  if (parts.service != envelope.service || parts.account != envelope.account) {
    return Fail(ErrorId::kBadRequestId, *id);
  }
  envelope.request_id = *id;
  state.bound = parts.node;
  return Done{};
}

Result<Done> IngressHandler::TakeAllowance(RequestState& state) {
  const std::string& account = state.envelope.account;
  if (account.empty()) {
    return Done{};
  }
  const std::optional<Duration> wait =
      m_dependencies.state.TakeAllowance(account);
  if (wait) {
    state.retry_after = *wait;
    state.refusal_level = LevelOf(state.policy, "rate");
    return Fail(ErrorId::kRateExceeded, account);
  }
  return Done{};
}

void IngressHandler::Record(const RequestState& state,
                            const CallReport& report) {
  const Duration total = m_dependencies.clock.Now() - state.start;
  const Error* error = ErrorOf(report.outcome);
  RequestSample sample;
  sample.account = state.envelope.account;
  sample.request_class = state.envelope.request_class;
  sample.refusal = error == nullptr ? ErrorId::kNone : error->id;
  sample.total_ms = static_cast<double>(total.ms);
  sample.added_ms = static_cast<double>((total - report.backend_time).ms);
  m_dependencies.metrics.RecordRequest(sample);
  JournalRecord record;
  record.request_id = state.envelope.request_id;
  record.account = state.envelope.account;
  record.service = state.envelope.service;
  record.route = state.envelope.route;
  record.request_class = state.envelope.request_class;
  record.outcome = OutcomeName(report.outcome);
  record.reason = sample.refusal;
  record.detail = error == nullptr ? "" : error->detail;
  record.level = state.refusal_level;
  record.config_version =
      state.config == nullptr ? 0 : state.config->state.version;
  record.total_ms = sample.total_ms;
  m_dependencies.journal.Add(std::move(record));
}

HttpResponse IngressHandler::MakeResponse(const RequestState& state,
                                          CallReport report) const {
  const std::string outcome(OutcomeName(report.outcome));
  HttpResponse response = std::visit(
      Overloaded{[](Ran& ran) { return std::move(ran.response); },
                 [&](const NotRun& refused) {
                   return RefusalResponse(refused.error, outcome,
                                          refused.retry_after);
                 },
                 [&](const UnknownOutcome& unknown) {
                   return RefusalResponse(unknown.error, outcome, {});
                 }},
      report.outcome);
  for (const std::string& name :
       {headers::kOutcome, headers::kRequestId, headers::kContext}) {
    response.headers.Remove(name);
  }
  response.headers.Add(headers::kOutcome, outcome);
  response.headers.Add(headers::kRequestId, state.envelope.request_id);
  if (!state.refusal_level.empty()) {
    response.headers.Add(headers::kRefusalLevel, state.refusal_level);
  }
  if (!state.issued_id.empty()) {
    response.headers.Add(headers::kIdempotencyKey, state.issued_id);
  }
  return response;
}

}  // namespace rosemarywinch
