#include "rosemarywinch/programs/forwarder.h"

#include <algorithm>
#include <utility>

#include "rosemarywinch/decisions/consensus/replica.h"
#include "rosemarywinch/decisions/traffic/headers.h"
#include "rosemarywinch/interfaces/http_request_builder.h"

namespace rosemarywinch {

namespace {

constexpr size_t kAttemptBytes = 8;
constexpr Duration kPeerQueryTimeout{500};
// Time without a response after which the other node is asked whether it knows
// of the attempt.
constexpr Duration kAttemptCheckDelay{1500};
constexpr int kQueryAnswered = 200;
constexpr const char* kYes = "yes";
constexpr const char* kNo = "no";

bool IsTransient(ErrorId id) {
  switch (id) {
    case ErrorId::kOverloaded:
    case ErrorId::kDraining:
    case ErrorId::kNoBackend:
    case ErrorId::kUnreachable:
    case ErrorId::kEvacuated:
      return true;
    default:
      return false;
  }
}

// Number of retries that are not passed on with a call. The unspent ones come
// back with the response, so a lost response loses them all; one is reserved
// for a retry in that case. Only the first hop reserves one: further down,
// retries are best spent as close to the failure as possible.
uint32_t ReservedRetries(const HopEnvelope& envelope, uint32_t retries) {
  const bool first_hop = envelope.depth == 0 && !envelope.at_most_once;
  return first_hop && retries > 0 ? 1 : 0;
}

// Turns "not run" into an unknown outcome: this attempt did not run, but only
// the node that cannot be asked knows whether an earlier one with the same id
// did.
CallReport AsUnknownOutcome(CallReport report) {
  const auto& refused = std::get<NotRun>(report.outcome);
  const Error error{ErrorId::kOutcomeUnknown, refused.error.Message()};
  report.outcome = UnknownOutcome{error};
  return report;
}

// All members of an evacuated data centre refuse at once, so that a refusal for
// this reason costs no retry. The router then excludes the data centre.
bool IsEvacuated(const CallOutcome& outcome) {
  const auto* refused = std::get_if<NotRun>(&outcome);
  return refused != nullptr && refused->error.id == ErrorId::kEvacuated;
}

CallResult ResultOf(const CallOutcome& outcome) {
  if (IsEvacuated(outcome)) {
    return CallResult::kEvacuated;
  }
  return std::visit(
      Overloaded{[](const Ran&) { return CallResult::kAnswered; },
                 [](const NotRun& refused) {
                   return refused.error.id == ErrorId::kUnreachable
                              ? CallResult::kFailed
                              : CallResult::kRefused;
                 },
                 [](const UnknownOutcome&) { return CallResult::kFailed; }},
      outcome);
}

}  // namespace

Forwarder::Forwarder(std::string node,
                     NodeState& state,
                     BackendDispatcher& dispatcher,
                     Clock& clock,
                     Random& random,
                     HttpChannel& channel)
    : m_node(std::move(node)),
      m_state(state),
      m_dispatcher(dispatcher),
      m_clock(clock),
      m_random(random),
      m_channel(channel) {}

CallReport Forwarder::Forward(HopEnvelope envelope,
                              const HttpRequest& request,
                              const std::optional<std::string>& bound) {
  const TimePoint deadline = m_clock.Now() + envelope.timeout;
  {
    std::scoped_lock lock(m_budget_mutex);
    m_budget.OnCall();
  }
  std::set<std::string> tried;
  CallReport report;
  report.retries_left = envelope.retries;
  report.outcome = NotRun{{ErrorId::kNoBackend, envelope.service}, {}};
  while (true) {
    const std::optional<Member> member =
        bound ? m_state.ChooseBound(envelope.service, *bound)
              : m_state.Choose(envelope.service, tried);
    if (!member) {
      return bound ? AsUnknownOutcome(std::move(report)) : report;
    }
    const uint32_t reserved = ReservedRetries(envelope, report.retries_left);
    envelope.timeout = deadline - m_clock.Now();
    envelope.retries = report.retries_left - reserved;
    report = Attempt(envelope, request, *member);
    report.retries_left += reserved;
    tried.insert(member->node);
    const bool may_retry = !bound && MayRetry(envelope, report.outcome) &&
                           m_clock.Now() < deadline;
    if (may_retry && IsEvacuated(report.outcome)) {
      continue;
    }
    if (!may_retry || report.retries_left == 0 || !TakeRetry()) {
      return report;
    }
    --report.retries_left;
  }
}

Result<std::string> Forwarder::ObtainId(const std::string& service,
                                        const std::string& account) {
  std::set<std::string> tried;
  while (const auto member = m_state.Choose(service, tried)) {
    tried.insert(member->node);
    std::optional<std::string> id;
    if (member->node == m_node) {
      id = m_dispatcher.IssueId(service, account);
    } else {
      id = QueryPeer(*member, kOfferPath, service + "~" + account);
    }
    m_state.FinishCall(service, member->node,
                       id ? CallResult::kAnswered : CallResult::kFailed, {});
    if (id && !id->empty()) {
      return *id;
    }
  }
  return Fail(ErrorId::kNoBackend, service);
}

bool Forwarder::IsFresh(const std::string& id) {
  const Outcome<RequestIdParts> parsed =
      Capture([&] { return ParseRequestId(id); });
  const auto* parts = std::get_if<RequestIdParts>(&parsed);
  if (parts == nullptr) {
    // No node issued this id, so nothing can have run under it.
    return true;
  }
  if (parts->node == m_node) {
    return m_dispatcher.IsFresh(id);
  }
  const std::optional<Member> member =
      m_state.ChooseBound(parts->service, parts->node);
  if (!member) {
    return false;
  }
  const bool fresh = QueryPeer(*member, kFreshPath, id) == kYes;
  m_state.FinishCall(parts->service, parts->node, CallResult::kAnswered, {});
  return fresh;
}

CallReport Forwarder::Attempt(const HopEnvelope& envelope,
                              const HttpRequest& request,
                              const Member& member) {
  HopEnvelope hop = envelope;
  hop.protocol_version = consensus::kProtocolVersion;
  hop.attempt = m_random.Hex(kAttemptBytes);
  const TimePoint start = m_clock.Now();
  CallReport report = member.node == m_node ? m_dispatcher.Run(hop, request)
                                            : SendHop(hop, request, member);
  m_state.FinishCall(envelope.service, member.node, ResultOf(report.outcome),
                     m_clock.Now() - start);
  return report;
}

CallReport Forwarder::SendHop(const HopEnvelope& envelope,
                              const HttpRequest& request,
                              const Member& member) {
  const TimePoint start = m_clock.Now();
  HttpSendOptions options;
  options.timeout = std::max(envelope.timeout, Duration{1});
  options.keep_waiting = [&] {
    if (m_clock.Now() < start + kAttemptCheckDelay) {
      return true;
    }
    // A node that is merely slow knows of the attempt. One that does not know
    // of it, or cannot be reached on a new connection, will never answer it.
    return QueryPeer(member, kAttemptPath, envelope.attempt) == kYes;
  };
  HttpResult result =
      m_channel.Send(member.address, EncodeHop(envelope, request), options);
  if (auto* response = std::get_if<HttpResponse>(&result)) {
    return DecodeReport(std::move(*response));
  }
  if (auto* unsent = std::get_if<NotSent>(&result)) {
    CallReport report;
    report.outcome = NotRun{std::move(unsent->error), {}};
    report.retries_left = envelope.retries;
    return envelope.at_most_once ? AsUnknownOutcome(std::move(report)) : report;
  }
  return ResolveLostResponse(envelope, member,
                             std::get<ResponseLost>(result).error);
}

CallReport Forwarder::ResolveLostResponse(const HopEnvelope& envelope,
                                          const Member& member,
                                          Error error) {
  CallReport report;
  // The retries passed on with the call may have been spent. Counting any of
  // them as left could exceed the allowance of the request.
  report.retries_left = 0;
  report.outcome = UnknownOutcome{{ErrorId::kOutcomeUnknown, error.detail}};
  if (!envelope.at_most_once) {
    return report;
  }
  if (QueryPeer(member, kFencePath, envelope.request_id) == kYes) {
    report.outcome = NotRun{
        {ErrorId::kUnreachable, "the request did not reach the node"}, {}};
  }
  return report;
}

bool Forwarder::MayRetry(const HopEnvelope& envelope,
                         const CallOutcome& outcome) const {
  return std::visit(
      Overloaded{
          [](const Ran&) { return false; },
          [](const NotRun& refused) { return IsTransient(refused.error.id); },
          [&](const UnknownOutcome&) { return !envelope.at_most_once; }},
      outcome);
}

bool Forwarder::TakeRetry() {
  std::scoped_lock lock(m_budget_mutex);
  return m_budget.TryRetry();
}

std::optional<std::string> Forwarder::QueryPeer(const Member& member,
                                                const std::string& path,
                                                const std::string& argument) {
  const HttpResult result = m_channel.Send(
      member.address, HttpRequestBuilder("GET", path).Query(argument).Build(),
      HttpSendOptionsBuilder(kPeerQueryTimeout).FreshConnection().Build());
  const auto* response = std::get_if<HttpResponse>(&result);
  if (response == nullptr || response->status != kQueryAnswered ||
      response->body == kNo) {
    return std::nullopt;
  }
  return response->body;
}

}  // namespace rosemarywinch
