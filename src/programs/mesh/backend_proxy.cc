#include "rosemarywinch/programs/mesh/backend_proxy.h"

#include <algorithm>
#include <utility>

#include "rosemarywinch/adapters/log.h"
#include "rosemarywinch/decisions/mesh/answer_check.h"
#include "rosemarywinch/decisions/traffic/dependency_pressure.h"

namespace rosemarywinch {

namespace {

// The backend server stops at the deadline by itself; its response is awaited
// for this long after the deadline.
constexpr Duration kResponseGrace{100};
constexpr Duration kMinWorkTime{5};
// Queue wait at which the pressure is 1. Kept short because a request may wait
// this long at each of several sequential calls.
constexpr double kTargetQueueWaitMs = 40;
constexpr uint32_t kFirstServerError = 500;

HopResponse NotRun(ErrorId reason) {
  HopResponse response;
  response.outcome = HopOutcome::kNotRun;
  response.reason = reason;
  return response;
}

ErrorId ReasonOf(BackendCallStatus status) {
  switch (status) {
    case BackendCallStatus::kNotSent:
      return ErrorId::kNoBackend;
    case BackendCallStatus::kTimedOut:
      return ErrorId::kDeadlinePassed;
    case BackendCallStatus::kAnswered:
    case BackendCallStatus::kBroken:
    case BackendCallStatus::kCallerGone:
      break;
  }
  return ErrorId::kBackendFailed;
}

}  // namespace

BackendProxy::BackendProxy(const std::string& address,
                           Duration silence_timeout,
                           uint32_t queue_length,
                           MeshProtocol& protocol,
                           Clock& clock,
                           std::string service)
    : m_protocol(protocol),
      m_clock(clock),
      m_channel(address),
      m_presence(address, silence_timeout, std::move(service)),
      m_queue(StaticLimit{1}, queue_length) {}

ReportOutcome BackendProxy::OnReport(const ReportCall& call) {
  ReportOutcome outcome;
  {
    std::scoped_lock lock(m_mutex);
    const TimePoint now = m_clock.Now();
    const auto before = m_presence.Current(now);
    UpdateColdStart();
    outcome = m_presence.OnReport(now, m_clock.UnixTime(), call.backend_id,
                                  call.report);
    ApplyPresenceChange(before);
  }
  ReportStateChange("report");
  return outcome;
}

// Requires m_mutex to be held.
void BackendProxy::ApplyPresenceChange(
    const std::optional<LocalBackend>& before) {
  const TimePoint now = m_clock.Now();
  const auto after = m_presence.Current(now);
  UpdateColdLimit(now);
  if (after) {
    NotifyWaiters(m_queue.SetLimit(now, LimitWithHeadroom(after->slots)));
  }
  StartTimer();
  if (before && after && before->id != after->id) {
    m_channel.CloseIdle();
  }
  if (after && (!before || before->id != after->id)) {
    m_load.Restart(now);
  }
  if (after && after->state == BackendState::kLeaving) {
    RefuseWaiting(ErrorId::kNoBackend);
  }
}

std::optional<Departure> BackendProxy::OnWithdraw(const WithdrawCall& call) {
  std::optional<Departure> departure;
  {
    std::scoped_lock lock(m_mutex);
    const auto before = m_presence.Current(m_clock.Now());
    departure =
        m_presence.OnWithdraw(m_clock.UnixTime(), call.backend_id, call.born);
    ApplyPresenceChange(before);
  }
  ReportStateChange("withdrawn");
  return departure;
}

asio::awaitable<bool> BackendProxy::WaitUntilStored(Departure departure,
                                                    Duration limit) {
  const auto waiter =
      std::make_shared<OneShot<bool>>(co_await asio::this_coro::executor);
  {
    std::scoped_lock lock(m_mutex);
    if (m_presence.departures().IsStored(departure)) {
      co_return true;
    }
    m_store_waiters.push_back({departure, waiter});
  }
  m_on_change();
  const std::optional<bool> stored = co_await waiter->Wait(limit);
  std::scoped_lock lock(m_mutex);
  std::erase_if(m_store_waiters, [&](const StoreWaiter& other) {
    return other.stored == waiter;
  });
  co_return stored.value_or(false);
}

void BackendProxy::OnDeparturesStored(const std::vector<Departure>& stored) {
  {
    std::scoped_lock lock(m_mutex);
    const auto before = m_presence.Current(m_clock.Now());
    m_presence.OnDeparturesStored(stored);
    ApplyPresenceChange(before);
    for (const StoreWaiter& waiter : m_store_waiters) {
      if (m_presence.departures().IsStored(waiter.departure)) {
        waiter.stored->Set(true);
      }
    }
  }
  ReportStateChange("departures");
}

std::vector<Departure> BackendProxy::UnstoredDepartures() const {
  std::scoped_lock lock(m_mutex);
  return m_presence.departures().unstored();
}

bool BackendProxy::DeparturesRestored() const {
  std::scoped_lock lock(m_mutex);
  return m_presence.departures().restored();
}

void BackendProxy::BeginStop() {
  std::scoped_lock lock(m_mutex);
  m_stopping = true;
  RefuseWaiting(ErrorId::kDraining);
}

void BackendProxy::SetEvacuated(bool evacuated) {
  std::scoped_lock lock(m_mutex);
  if (std::exchange(m_evacuated, evacuated) != evacuated && evacuated) {
    RefuseWaiting(ErrorId::kNoBackend);
  }
}

// Requires m_mutex to be held. Callers of a request that waits can still go to
// another node.
void BackendProxy::RefuseWaiting(ErrorId reason) {
  NotifyWaiters(m_queue.RefuseWaiting(reason));
}

std::optional<LocalBackend> BackendProxy::Current() const {
  std::scoped_lock lock(m_mutex);
  std::optional<LocalBackend> current = m_presence.Current(m_clock.Now());
  if (current && m_stopping) {
    current->state = BackendState::kLeaving;
  }
  if (current) {
    current->cold_rate = ColdRateOf(*current);
  }
  return current;
}

void BackendProxy::ReportStateChange(const char* cause) {
  const std::optional<LocalBackend> current = Current();
  const std::string text =
      current ? current->id + " " + std::string(NameOf(current->state))
              : "none";
  {
    std::scoped_lock lock(m_mutex);
    if (text == std::exchange(m_reported_state, text)) {
      return;
    }
  }
  LogEvent(LogLevel::kInfo, "backend", {{"state", text}, {"cause", cause}});
  m_on_change();
}

std::optional<LocalBackend> BackendProxy::FindServing(
    const std::string& service) const {
  std::scoped_lock lock(m_mutex);
  const auto current = m_presence.Current(m_clock.Now());
  const bool serves = current && !m_stopping && !m_evacuated &&
                      current->service == service &&
                      current->state != BackendState::kLeaving;
  return serves ? current : std::nullopt;
}

asio::awaitable<HopResponse> BackendProxy::Run(HopRequest request,
                                               CallSignals signals) {
  const TimePoint deadline = m_clock.Now() + request.time_left;
  HopResponse response;
  if (!FindServing(request.service)) {
    response = NotRun(ErrorId::kNoBackend);
  } else if (const auto refused =
                 co_await WaitForAdmission(request, deadline, signals)) {
    response = NotRun(*refused);
    std::scoped_lock lock(m_mutex);
    response.retry_after = m_queue.TimeUntilStart(m_clock.Now());
  } else {
    const TimePoint began = m_clock.Now();
    BeginRequest(request, began, deadline);
    response = co_await SendToBackend(request, deadline, signals);
    const Duration took = m_clock.Now() - began;
    FinishRequest(request, {static_cast<double>(took.ms),
                            response.outcome != HopOutcome::kAnswered});
  }
  if (!signals.cancelled->cancelled()) {
    MeasureEnd(response);
  }
  AddLoad(response);
  MarkEvacuated(response);
  co_return response;
}

asio::awaitable<std::optional<ErrorId>> BackendProxy::WaitForAdmission(
    const HopRequest& request,
    TimePoint deadline,
    const CallSignals& signals) {
  const auto executor = co_await asio::this_coro::executor;
  const auto waiter = std::make_shared<Waiter>(executor);
  uint64_t id = 0;
  {
    std::scoped_lock lock(m_mutex);
    if (m_stopping) {
      co_return ErrorId::kDraining;
    }
    if (m_evacuated) {
      co_return ErrorId::kNoBackend;
    }
    id = ++m_next_ticket;
    Ticket ticket;
    ticket.id = id;
    ticket.account = request.account;
    ticket.nested = request.nested;
    ticket.priority = request.priority;
    ticket.calls_before = request.calls_before;
    if (!request.entry_service.empty()) {
      ticket.entry_priority = request.entry_priority;
    }
    ticket.deadline = deadline;
    m_waiters[id] = waiter;
    m_executor = executor;
    const TimePoint now = m_clock.Now();
    UpdateColdLimit(now);
    NotifyWaiters(m_queue.Offer(now, std::move(ticket)));
    StartTimer();
  }
  const auto end_wait = [waiter] { waiter->Cancel(); };
  const CancellationCallback watch_cancelled(signals.cancelled, end_wait);
  const CancellationCallback watch_start(signals.start_cancelled, end_wait);
  const auto verdict = co_await waiter->Wait(deadline - m_clock.Now());
  if (verdict == Verdict::kRun) {
    co_return std::nullopt;
  }
  std::scoped_lock lock(m_mutex);
  m_queue.Cancel(id);
  m_load.OnCalls(m_clock.Now(), m_queue.in_flight(), m_queue.waiting());
  // The request may have been admitted between the end of the wait and the
  // lock.
  if (m_waiters.erase(id) == 0 && !verdict) {
    const auto late_verdict = waiter->TryTake();
    if (late_verdict == Verdict::kRun) {
      NotifyWaiters(m_queue.Finish(m_clock.Now(), {0, true}));
    }
  }
  if (!verdict && signals.start_cancelled->cancelled()) {
    co_return ErrorId::kDraining;
  }
  co_return verdict ? ErrorId::kOverloaded : ErrorId::kDeadlinePassed;
}

asio::awaitable<HopResponse> BackendProxy::SendToBackend(
    HopRequest& request,
    TimePoint deadline,
    const CallSignals& signals) {
  const auto backend = FindServing(request.service);
  const Duration left = deadline - m_clock.Now();
  if (!backend || signals.cancelled->cancelled() ||
      signals.start_cancelled->cancelled()) {
    co_return NotRun(ErrorId::kNoBackend);
  }
  if (left < kMinWorkTime) {
    co_return NotRun(ErrorId::kDeadlinePassed);
  }
  const TimePoint sent = m_clock.Now();
  // The body is moved, because a large one would be held twice.
  std::string body = std::move(request.body);
  HttpRequest message =
      m_protocol.WriteBackendRequest(request, backend->id, left);
  message.body = std::move(body);
  BackendResult result = co_await m_channel.Send(
      std::move(message),
      [&](const HttpResponse& response, bool reused) {
        return IsAnswerToRequest(
            m_protocol.ReadBackendAnswer(request, response), reused);
      },
      left + kResponseGrace, signals.cancelled);
  const bool refused = result.refused;
  HopResponse response = ReadResult(request, std::move(result));
  const bool replaced = response.reached_backend &&
                        response.outcome == HopOutcome::kNotRun &&
                        response.reason == ErrorId::kNoBackend;
  if (refused || replaced) {
    {
      std::scoped_lock lock(m_mutex);
      m_presence.OnGone(refused ? m_clock.Now() : sent);
    }
    ReportStateChange(refused ? "refused" : "misdirected");
  }
  co_return response;
}

HopResponse BackendProxy::ReadResult(const HopRequest& request,
                                     BackendResult result) {
  if (result.status == BackendCallStatus::kNotSent) {
    return NotRun(ErrorId::kNoBackend);
  }
  HopResponse response;
  response.reached_backend = true;
  if (result.status != BackendCallStatus::kAnswered) {
    if (result.fault != ResponseFault::kNone) {
      LogRequestEvent("broken_response",
                      {{"request", request.request_id},
                       {"fault", std::string(NameOf(result.fault))}});
    }
    response.outcome = HopOutcome::kUnknown;
    response.reason = ReasonOf(result.status);
    return response;
  }
  const BackendAnswer answer =
      m_protocol.ReadBackendAnswer(request, result.response);
  if (answer.not_run) {
    response.outcome = HopOutcome::kNotRun;
    response.reason =
        answer.misdirected ? ErrorId::kNoBackend : ErrorId::kOverloaded;
    return response;
  }
  if (!answer.authentic) {
    response.outcome = HopOutcome::kUnknown;
    response.reason = ErrorId::kBackendFailed;
    return response;
  }
  response.outcome = HopOutcome::kAnswered;
  response.status = static_cast<uint32_t>(result.response.status);
  for (const HttpHeader& header : result.response.headers.all()) {
    response.headers.push_back({header.name, header.value});
  }
  response.body = std::move(result.response.body);
  return response;
}

void BackendProxy::BeginRequest(const HopRequest& request,
                                TimePoint now,
                                TimePoint deadline) {
  m_on_run({request.entry_service, request.entry_priority}, deadline);
  std::scoped_lock lock(m_mutex);
  m_usage.Begin(now, request.entry_service);
}

void BackendProxy::FinishRequest(const HopRequest& request,
                                 const CallSample& sample) {
  const TimePoint now = m_clock.Now();
  m_on_end({request.entry_service, request.entry_priority});
  std::scoped_lock lock(m_mutex);
  m_usage.End(now, request.entry_service);
  NotifyWaiters(m_queue.Finish(now, sample));
}

std::vector<EntryUsage> BackendProxy::TakeUsage() {
  std::scoped_lock lock(m_mutex);
  return m_usage.Take(m_clock.Now());
}

// Requires m_mutex to be held. Follows every change of the queue.
void BackendProxy::NotifyWaiters(const std::vector<Admission>& admissions) {
  m_load.OnCalls(m_clock.Now(), m_queue.in_flight(), m_queue.waiting());
  for (const Admission& admission : admissions) {
    const auto found = m_waiters.find(admission.ticket);
    if (found != m_waiters.end() && admission.verdict != Verdict::kWait) {
      found->second->Set(admission.verdict);
      m_waiters.erase(found);
    }
  }
}

void BackendProxy::MeasureEnd(const HopResponse& response) {
  CallEnd end = CallEnd::kFailed;
  if (response.outcome == HopOutcome::kNotRun) {
    end = CallEnd::kRefused;
  } else if (response.outcome == HopOutcome::kAnswered &&
             response.status < kFirstServerError) {
    end = CallEnd::kCompleted;
  }
  std::scoped_lock lock(m_mutex);
  m_load.OnEnd(end);
}

std::optional<BackendLoad> BackendProxy::TakeLoad() {
  std::scoped_lock lock(m_mutex);
  const TimePoint now = m_clock.Now();
  if (!m_presence.Current(now)) {
    return std::nullopt;
  }
  return m_load.Take(now, m_queue.UsableSlots());
}

// Requires m_mutex to be held.
double BackendProxy::QueuePressure() const {
  const double wait = m_queue.waiting() == 0
                          ? 0
                          : static_cast<double>(m_queue.ExpectedWait().ms);
  return wait / kTargetQueueWaitMs;
}

void BackendProxy::AddLoad(HopResponse& response) const {
  response.pressure_below = m_pressure_source();
  std::scoped_lock lock(m_mutex);
  response.pressure = QueuePressure();
  response.has_load = true;
}

// Tells the sender of a request that was refused for an evacuation to try
// another data centre. Nothing was sent to the backend server.
void BackendProxy::MarkEvacuated(HopResponse& response) {
  const bool refused = response.outcome == HopOutcome::kNotRun &&
                       !response.reached_backend &&
                       response.reason != ErrorId::kDeadlinePassed;
  std::scoped_lock lock(m_mutex);
  response.evacuated = m_evacuated && refused;
  if (response.evacuated) {
    response.reason = ErrorId::kNoBackend;
    ++m_evacuation_refusals;
  }
}

uint64_t BackendProxy::evacuation_refusals() const {
  std::scoped_lock lock(m_mutex);
  return m_evacuation_refusals;
}

size_t BackendProxy::open_requests() const {
  std::scoped_lock lock(m_mutex);
  return m_queue.in_flight() + m_queue.waiting();
}

}  // namespace rosemarywinch
