#include "rosemarywinch/programs/backend_dispatcher.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "rosemarywinch/adapters/log.h"
#include "rosemarywinch/decisions/traffic/client_key.h"
#include "rosemarywinch/decisions/traffic/headers.h"

namespace rosemarywinch {

namespace {

constexpr size_t kContextBytes = 16;
constexpr size_t kNonceBytes = 12;
constexpr int kServiceUnavailable = 503;

// Removes the headers that only nodes and callers exchange, so that the backend
// server does not see them.
void StripHeaders(HttpHeaders& headers) {
  headers.RemoveConnectionHeaders();
  for (const std::string& name : {headers::kContext, headers::kTimeout,
                                  headers::kHop, headers::kRequestId}) {
    headers.Remove(name);
  }
  headers.Remove(kKeyHeader);
}

std::string Fingerprint(const HttpRequest& request) {
  const size_t body = std::hash<std::string>{}(request.body);
  return request.method + " " + request.path + "?" + request.query + " " +
         std::to_string(body);
}

// RAII guard that lists an attempt as in progress.
class AttemptGuard {
 public:
  AttemptGuard(Sharded<std::set<std::string>>& attempts, std::string attempt)
      : m_attempts(attempts), m_attempt(std::move(attempt)) {
    m_attempts.With(m_attempt, [&](auto& set) { set.insert(m_attempt); });
  }
  ~AttemptGuard() {
    m_attempts.With(m_attempt, [&](auto& set) { set.erase(m_attempt); });
  }
  AttemptGuard(const AttemptGuard&) = delete;
  AttemptGuard& operator=(const AttemptGuard&) = delete;

 private:
  Sharded<std::set<std::string>>& m_attempts;
  const std::string m_attempt;
};

}  // namespace

BackendDispatcher::BackendDispatcher(std::string node,
                                     const NodeSettings& settings,
                                     Clock& clock,
                                     Random& random,
                                     HttpChannel& channel)
    : m_node(node),
      m_settings(settings),
      m_clock(clock),
      m_random(random),
      m_channel(channel),
      m_queue(MakeLimit(settings.limit_policy, 1), settings.queue_length),
      m_idempotency_store(std::move(node), settings.record_window) {}

CallReport BackendDispatcher::Run(const HopEnvelope& envelope,
                                  HttpRequest request) {
  const AttemptGuard guard(m_attempts, envelope.attempt);
  const TimePoint deadline = m_clock.Now() + envelope.timeout;
  return envelope.at_most_once
             ? RunAtMostOnce(envelope, std::move(request), deadline)
             : RunIfReady(envelope, std::move(request), deadline);
}

void BackendDispatcher::SetEvacuated(bool evacuated) {
  if (m_evacuated.exchange(evacuated) != evacuated && evacuated) {
    std::scoped_lock lock(m_queue_mutex);
    NotifyWaiters(m_queue.RefuseWaiting(ErrorId::kEvacuated));
  }
}

bool BackendDispatcher::Announce(const Announcement& announcement) {
  bool changed = false;
  bool resized = false;
  {
    std::scoped_lock lock(m_backend_mutex);
    const Announcement before = m_backend ? m_backend->last : Announcement{};
    changed = before.service != announcement.service ||
              before.address != announcement.address ||
              before.state != announcement.state;
    resized = before.slots != announcement.slots;
    m_backend = {announcement, m_clock.Now()};
  }
  if (resized) {
    std::scoped_lock lock(m_queue_mutex);
    NotifyWaiters(m_queue.SetLimit(
        m_clock.Now(), MakeLimit(m_settings.limit_policy, announcement.slots)));
  }
  if (changed) {
    LogEvent(LogLevel::kInfo, "backend_state",
             {{"service", announcement.service},
              {"address", announcement.address},
              {"state", std::string(NameOf(announcement.state))}});
  }
  return changed;
}

Announcement BackendDispatcher::Backend() {
  std::scoped_lock lock(m_backend_mutex);
  if (!m_backend) {
    return {};
  }
  Announcement announcement = m_backend->last;
  if (m_clock.Now() >= m_backend->received_at + m_settings.announce_timeout) {
    announcement.state = BackendState::kSilent;
  }
  return announcement;
}

std::optional<std::string> BackendDispatcher::IssueId(
    const std::string& service,
    const std::string& account) {
  if (m_draining || Backend().service != service) {
    return std::nullopt;
  }
  return m_idempotency_store.Issue(m_clock.Now(), service, account,
                                   m_random.Hex(kNonceBytes));
}

bool BackendDispatcher::Fence(const std::string& id) {
  return m_idempotency_store.Fence(m_clock.Now(), id);
}

bool BackendDispatcher::IsFresh(const std::string& id) {
  return m_idempotency_store.IsFresh(m_clock.Now(), id);
}

bool BackendDispatcher::IsRunning(const std::string& attempt) {
  return m_attempts.With(attempt, [&](const auto& attempts) {
    return attempts.contains(attempt);
  });
}

uint32_t BackendDispatcher::InFlight() {
  std::scoped_lock lock(m_queue_mutex);
  return m_queue.in_flight();
}

uint32_t BackendDispatcher::Limit() {
  std::scoped_lock lock(m_queue_mutex);
  return m_queue.limit();
}

size_t BackendDispatcher::Waiting() {
  std::scoped_lock lock(m_queue_mutex);
  return m_queue.waiting();
}

CallReport BackendDispatcher::Refuse(const HopEnvelope& envelope,
                                     Error error,
                                     Duration retry_after) const {
  CallReport report;
  report.outcome = NotRun{std::move(error), retry_after};
  report.retries_left = envelope.retries;
  return report;
}

std::optional<Error> BackendDispatcher::CheckBackend(
    const HopEnvelope& envelope) {
  if (m_draining) {
    return Error{ErrorId::kDraining, m_node};
  }
  if (m_evacuated) {
    return Error{ErrorId::kEvacuated, m_node};
  }
  const Announcement backend = Backend();
  const bool serves = backend.service == envelope.service &&
                      (backend.state == BackendState::kReady ||
                       backend.state == BackendState::kStarting);
  if (!serves) {
    return Error{ErrorId::kNoBackend, envelope.service + " at " + m_node};
  }
  return std::nullopt;
}

CallReport BackendDispatcher::RunAtMostOnce(const HopEnvelope& envelope,
                                            HttpRequest request,
                                            TimePoint deadline) {
  const std::string& id = envelope.request_id;
  AttemptResult answer =
      m_idempotency_store.Begin(m_clock.Now(), id, Fingerprint(request));
  if (auto* before = std::get_if<AlreadyExecuted>(&answer)) {
    CallReport report;
    report.outcome = Ran{std::move(before->answer)};
    report.retries_left = envelope.retries;
    return report;
  }
  if (auto* refused = std::get_if<NotRunnable>(&answer)) {
    const bool unknown = refused->error.id == ErrorId::kOutcomeUnknown ||
                         refused->error.id == ErrorId::kStillRunning;
    CallReport report = Refuse(envelope, refused->error);
    if (unknown) {
      report.outcome = UnknownOutcome{refused->error};
    }
    return report;
  }
  CallReport report = RunIfReady(envelope, std::move(request), deadline);
  std::visit(
      Overloaded{
          [&](const Ran& ran) { m_idempotency_store.Finish(id, ran.response); },
          [&](const NotRun&) { m_idempotency_store.Forget(id); },
          [&](const UnknownOutcome&) { m_idempotency_store.MarkUnknown(id); }},
      report.outcome);
  return report;
}

CallReport BackendDispatcher::RunIfReady(const HopEnvelope& envelope,
                                         HttpRequest request,
                                         TimePoint deadline) {
  if (auto error = CheckBackend(envelope)) {
    return Refuse(envelope, std::move(*error));
  }
  return RunAdmitted(envelope, std::move(request), deadline);
}

CallReport BackendDispatcher::RunAdmitted(const HopEnvelope& envelope,
                                          HttpRequest request,
                                          TimePoint deadline) {
  const Admission admission = Admit(envelope, deadline);
  if (admission.verdict != Verdict::kRun) {
    std::scoped_lock lock(m_queue_mutex);
    return Refuse(envelope, {admission.reason, envelope.service},
                  m_queue.ExpectedWait());
  }
  // The evacuation may have begun between the first check and the admission.
  if (m_evacuated) {
    FinishCall({0, true});
    return Refuse(envelope, {ErrorId::kEvacuated, m_node});
  }
  CallSample sample;
  CallReport report =
      CallBackend(envelope, std::move(request), deadline, sample);
  FinishCall(sample);
  return report;
}

CallReport BackendDispatcher::CallBackend(const HopEnvelope& envelope,
                                          HttpRequest request,
                                          TimePoint deadline,
                                          CallSample& sample) {
  const TimePoint start = m_clock.Now();
  const std::string context = m_random.Hex(kContextBytes);
  m_contexts.Open(context, envelope, deadline);
  HttpSendOptions options;
  options.timeout = std::max(deadline - start, Duration{1});
  options.fresh_connection = envelope.at_most_once;
  StripHeaders(request.headers);
  request.headers.Add(headers::kContext, context);
  request.headers.Add(headers::kTimeout, std::to_string(options.timeout.ms));
  request.headers.Add(headers::kRequestId, envelope.request_id);
  HttpResult result = m_channel.Send(Backend().address, request, options);
  const RequestContexts::Closed closed = m_contexts.Close(context);
  CallReport report;
  report.backend_time = m_clock.Now() - start;
  report.retries_left = closed.retries_left;
  sample.service_ms =
      static_cast<double>((report.backend_time - closed.nested_time).ms);
  std::visit(Overloaded{[&](HttpResponse& response) {
                          sample.failed =
                              response.status == kServiceUnavailable;
                          report.outcome = Ran{std::move(response)};
                        },
                        [&](const NotSent& unsent) {
                          sample.failed = true;
                          report.outcome = NotRun{unsent.error, {}};
                        },
                        [&](const ResponseLost& lost) {
                          sample.failed = true;
                          report.outcome = UnknownOutcome{
                              {ErrorId::kBackendFailed, lost.error.detail}};
                        }},
             result);
  return report;
}

Admission BackendDispatcher::Admit(const HopEnvelope& envelope,
                                   TimePoint deadline) {
  std::unique_lock lock(m_queue_mutex);
  Ticket ticket;
  ticket.id = ++m_next_ticket;
  ticket.request_class = envelope.request_class;
  ticket.account = envelope.account;
  ticket.weight = envelope.weight;
  ticket.nested = envelope.nested;
  ticket.deadline = deadline;
  Waiter waiter;
  const uint64_t id = ticket.id;
  m_waiters[id] = &waiter;
  const TimePoint now = m_clock.Now();
  NotifyWaiters(m_queue.Offer(now, std::move(ticket)));
  waiter.decided.wait_for(lock, std::chrono::milliseconds((deadline - now).ms),
                          [&] { return waiter.admission.has_value(); });
  m_waiters.erase(id);
  if (!waiter.admission) {
    m_queue.Cancel(id);
    return {id, Verdict::kRefuse, ErrorId::kDeadlinePassed};
  }
  return *waiter.admission;
}

void BackendDispatcher::NotifyWaiters(
    const std::vector<Admission>& admissions) {
  for (const Admission& admission : admissions) {
    const auto found = m_waiters.find(admission.ticket);
    if (admission.verdict != Verdict::kWait && found != m_waiters.end()) {
      found->second->admission = admission;
      found->second->decided.notify_one();
    }
  }
}

void BackendDispatcher::FinishCall(const CallSample& sample) {
  std::scoped_lock lock(m_queue_mutex);
  NotifyWaiters(m_queue.Finish(m_clock.Now(), sample));
}

}  // namespace rosemarywinch
