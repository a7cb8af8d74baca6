#include "rosemarywinch/programs/entry_handler.h"

#include <algorithm>
#include <functional>
#include <utility>

#include "rosemarywinch/core/text_value.h"
#include "rosemarywinch/decisions/traffic/client_key.h"
#include "rosemarywinch/decisions/traffic/headers.h"

namespace rosemarywinch {

namespace {

constexpr size_t kRequestIdBytes = 12;
constexpr int64_t kLongestTimeoutMs = 600'000;
constexpr Duration kRetryAfterCutOff{1000};

// Tells the calls apart that a backend server makes for one request.
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

HttpResponse EntryHandler::HandleCaller(const HttpRequest& request) {
  Visit visit;
  visit.start = m_parts.clock.Now();
  return Serve(visit, request, std::nullopt);
}

HttpResponse EntryHandler::HandleBackend(const HttpRequest& request) {
  Visit visit;
  visit.start = m_parts.clock.Now();
  const std::string* context = request.headers.Find(headers::kContext);
  if (context == nullptr) {
    return Serve(visit, request, std::nullopt);
  }
  RequestContexts& contexts = m_parts.gate.contexts();
  const std::string name = *context;
  const Outcome<NestedCall> begun = Capture([&] {
    return contexts.BeginNested(visit.start, name, CallFingerprint(request));
  });
  if (const auto* error = std::get_if<Error>(&begun)) {
    CallReport report;
    report.outcome = NotRun{*error, {}};
    Record(visit, report);
    return MakeResponse(visit, std::move(report));
  }
  HttpResponse response = Serve(visit, request, std::get<NestedCall>(begun));
  contexts.EndNested(name, visit.envelope.retries,
                     m_parts.clock.Now() - visit.start);
  return response;
}

HttpResponse EntryHandler::Serve(Visit& visit,
                                 const HttpRequest& request,
                                 const std::optional<NestedCall>& nested) {
  const Outcome<Done> prepared =
      Capture([&] { return Prepare(visit, request, nested); });
  CallReport report;
  report.retries_left = nested ? nested->retries : 0;
  if (const auto* error = std::get_if<Error>(&prepared)) {
    report.outcome = RefusedAtEntry(visit, request, *error);
  } else {
    HttpRequest forwarded = request;
    forwarded.path = visit.match->backend_path;
    forwarded.headers.RemoveConnectionHeaders();
    forwarded.headers.Remove(kKeyHeader);
    forwarded.headers.Remove(headers::kContext);
    report = m_parts.forwarder.Forward(visit.envelope, forwarded, visit.bound);
  }
  visit.envelope.retries = report.retries_left;
  Record(visit, report);
  return MakeResponse(visit, std::move(report));
}

CallOutcome EntryHandler::RefusedAtEntry(const Visit& visit,
                                         const HttpRequest& request,
                                         const Error& error) {
  // An earlier attempt under the same id may have run; only the node that the
  // id is bound to can rule that out.
  const std::string* id = request.headers.Find(headers::kIdempotencyKey);
  if (id != nullptr && !m_parts.forwarder.IsFresh(*id)) {
    return UnknownOutcome{error};
  }
  return NotRun{error, visit.retry_after};
}

Result<Done> EntryHandler::Prepare(Visit& visit,
                                   const HttpRequest& request,
                                   const std::optional<NestedCall>& nested) {
  visit.envelope.request_id = m_parts.random.Hex(kRequestIdBytes);
  if (m_draining && !nested) {
    return Fail(ErrorId::kDraining);
  }
  BOOST_LEAF_CHECK(FindRoute(visit, request));
  if (nested) {
    Inherit(visit, *nested);
  } else {
    BOOST_LEAF_CHECK(Authenticate(visit, request));
  }
  visit.policy = EffectiveAt(
      visit.config->state,
      {visit.match->service, visit.match->route, visit.envelope.account});
  const PolicySettings& settings = visit.policy.settings;
  visit.envelope.request_class = *settings.request_class;
  visit.envelope.at_most_once = visit.policy.RunsAtMostOnce();
  visit.envelope.weight = *settings.weight;
  BOOST_LEAF_CHECK(CheckBody(visit, request));
  BOOST_LEAF_CHECK(SetDeadline(visit, request));
  if (nested) {
    visit.envelope.timeout =
        std::min(visit.envelope.timeout, nested->deadline - visit.start);
    visit.envelope.retries = nested->retries;
    if (visit.envelope.at_most_once && !nested->at_most_once) {
      return Fail(ErrorId::kUnsafeNesting, visit.match->service);
    }
  } else {
    visit.envelope.retries = *settings.retries;
    visit.envelope.max_depth = *settings.max_depth;
  }
  if (visit.envelope.at_most_once) {
    BOOST_LEAF_CHECK(BindRequestId(visit, request));
  }
  return nested ? Result<Done>(Done{}) : TakeAllowance(visit);
}

Result<Done> EntryHandler::FindRoute(Visit& visit, const HttpRequest& request) {
  visit.config = m_parts.state.Config();
  if (visit.config == nullptr) {
    visit.retry_after = kRetryAfterCutOff;
    return Fail(ErrorId::kCutOff, "no settings yet");
  }
  BOOST_LEAF_AUTO(match, visit.config->routes.Find(request.path));
  visit.policy = *match.policy;
  visit.envelope.service = match.service;
  visit.envelope.route = match.route;
  visit.match = std::move(match);
  return Done{};
}

Result<Done> EntryHandler::Authenticate(Visit& visit,
                                        const HttpRequest& request) {
  BOOST_LEAF_AUTO(key, ExtractClientKey(request));
  const bool open = *visit.policy.settings.access == Access::kOpen;
  // Keys may have been withdrawn since the lease ended, so none is trusted.
  const bool lease_lives = m_parts.state.LeaseLives();
  if (!open && !lease_lives) {
    visit.retry_after = kRetryAfterCutOff;
    return Fail(ErrorId::kCutOff);
  }
  if (key && lease_lives) {
    BOOST_LEAF_ASSIGN(
        visit.envelope.account,
        AuthenticateKey(visit.config->state, *key, m_parts.hasher));
  } else if (!open) {
    return Fail(ErrorId::kNoKey);
  }
  return Done{};
}

void EntryHandler::Inherit(Visit& visit, const NestedCall& nested) const {
  visit.envelope.request_id = nested.request_id;
  visit.envelope.account = nested.account;
  visit.envelope.nested = true;
  visit.envelope.depth = nested.depth;
  visit.envelope.max_depth = nested.max_depth;
}

Result<Done> EntryHandler::CheckBody(Visit& visit,
                                     const HttpRequest& request) const {
  const uint64_t limit = *visit.policy.settings.max_body;
  if (request.body.size() > limit) {
    visit.refusal_level = LevelOf(visit.policy, "max_body");
    return Fail(ErrorId::kBodyTooLarge, NumberText(limit) + " bytes");
  }
  return Done{};
}

Result<Done> EntryHandler::SetDeadline(Visit& visit,
                                       const HttpRequest& request) const {
  visit.envelope.timeout = *visit.policy.settings.timeout;
  const std::string* text = request.headers.Find(headers::kTimeout);
  if (text == nullptr) {
    return Done{};
  }
  const std::optional<double> ms = ParseNumber(*text);
  const bool valid = ms && *ms >= 1 && *ms <= kLongestTimeoutMs &&
                     *ms == static_cast<double>(static_cast<int64_t>(*ms));
  if (!valid) {
    return Fail(ErrorId::kBadDeadline, *text);
  }
  visit.envelope.timeout =
      std::min(visit.envelope.timeout, Duration{static_cast<int64_t>(*ms)});
  return Done{};
}

Result<Done> EntryHandler::BindRequestId(Visit& visit,
                                         const HttpRequest& request) {
  HopEnvelope& envelope = visit.envelope;
  const std::string* id = request.headers.Find(headers::kIdempotencyKey);
  if (id == nullptr) {
    BOOST_LEAF_ASSIGN(
        visit.offered_id,
        m_parts.forwarder.OfferId(envelope.service, envelope.account));
    return Fail(ErrorId::kRequestIdRequired);
  }
  BOOST_LEAF_AUTO(parts, ParseRequestId(*id));
  if (parts.service != envelope.service || parts.account != envelope.account) {
    return Fail(ErrorId::kBadRequestId, *id);
  }
  envelope.request_id = *id;
  visit.bound = parts.node;
  return Done{};
}

Result<Done> EntryHandler::TakeAllowance(Visit& visit) {
  const std::string& account = visit.envelope.account;
  if (account.empty()) {
    return Done{};
  }
  const std::optional<Duration> wait = m_parts.state.TakeAllowance(account);
  if (wait) {
    visit.retry_after = *wait;
    visit.refusal_level = LevelOf(visit.policy, "rate");
    return Fail(ErrorId::kRateExceeded, account);
  }
  return Done{};
}

void EntryHandler::Record(const Visit& visit, const CallReport& report) {
  const Duration total = m_parts.clock.Now() - visit.start;
  const Error* error = ErrorOf(report.outcome);
  RequestSample sample;
  sample.account = visit.envelope.account;
  sample.request_class = visit.envelope.request_class;
  sample.refusal = error == nullptr ? ErrorId::kNone : error->id;
  sample.total_ms = static_cast<double>(total.ms);
  sample.added_ms = static_cast<double>((total - report.backend_time).ms);
  m_parts.metrics.RecordRequest(sample);
  JournalRecord record;
  record.request_id = visit.envelope.request_id;
  record.account = visit.envelope.account;
  record.service = visit.envelope.service;
  record.route = visit.envelope.route;
  record.request_class = visit.envelope.request_class;
  record.outcome = OutcomeName(report.outcome);
  record.reason = sample.refusal;
  record.detail = error == nullptr ? "" : error->detail;
  record.level = visit.refusal_level;
  record.config_version =
      visit.config == nullptr ? 0 : visit.config->state.version;
  record.total_ms = sample.total_ms;
  m_parts.journal.Add(std::move(record));
}

HttpResponse EntryHandler::MakeResponse(const Visit& visit,
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
  response.headers.Add(headers::kRequestId, visit.envelope.request_id);
  if (!visit.refusal_level.empty()) {
    response.headers.Add(headers::kRefusalLevel, visit.refusal_level);
  }
  if (!visit.offered_id.empty()) {
    response.headers.Add(headers::kIdempotencyKey, visit.offered_id);
  }
  return response;
}

}  // namespace rosemarywinch
