#include "rosemarywinch/programs/control_poller.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "rosemarywinch/adapters/log.h"

namespace rosemarywinch {

namespace {

// Minimum delay between polls. For accounts that are out of tokens it doubles
// with each consecutive poll, up to the regular interval, so that an account
// over its rate causes few more polls than others.
constexpr Duration kMinPollDelay{100};
constexpr std::chrono::milliseconds kReleaseCheckInterval{100};
constexpr Duration kPollTimeout{1500};

}  // namespace

ControlPoller::ControlPoller(Options options,
                             NodeState& state,
                             BackendDispatcher& dispatcher,
                             ControlClient& client,
                             Clock& clock,
                             Metrics& metrics)
    : m_options(std::move(options)),
      m_state(state),
      m_dispatcher(dispatcher),
      m_client(client),
      m_clock(clock),
      m_metrics(metrics) {}

ControlPoller::~ControlPoller() {
  Stop();
}

void ControlPoller::Start() {
  m_thread = std::thread([this] { PollLoop(); });
}

void ControlPoller::Stop() {
  {
    std::scoped_lock lock(m_mutex);
    m_stopping = true;
    m_changed.notify_all();
  }
  if (m_thread.joinable()) {
    m_thread.join();
  }
}

void ControlPoller::RequestPoll(NodeState::PollReason reason) {
  std::scoped_lock lock(m_mutex);
  if (reason == NodeState::PollReason::kOutOfTokens) {
    m_out_of_tokens = true;
    return;
  }
  m_urgent = true;
  m_changed.notify_all();
}

bool ControlPoller::Leave(Duration limit) {
  std::unique_lock lock(m_mutex);
  m_leaving = true;
  m_urgent = true;
  m_changed.notify_all();
  return m_changed.wait_for(lock, std::chrono::milliseconds(limit.ms),
                            [this] { return m_leave_confirmed || m_stopping; });
}

void ControlPoller::PollLoop() {
  Duration pause = kMinPollDelay;
  std::unique_lock lock(m_mutex);
  while (!m_stopping) {
    const bool leaving = m_leaving;
    m_urgent = false;
    m_out_of_tokens = false;
    lock.unlock();
    PollOnce(leaving);
    lock.lock();
    m_leave_confirmed = m_leave_confirmed || (leaving && m_reachable);
    m_changed.notify_all();
    WaitForNextPoll(lock, pause);
    pause = m_out_of_tokens ? std::min(pause * 2, m_options.interval)
                            : kMinPollDelay;
  }
}

void ControlPoller::WaitForNextPoll(std::unique_lock<std::mutex>& lock,
                                    Duration pause) {
  using std::chrono::milliseconds;
  const auto polled = std::chrono::steady_clock::now();
  const auto due = polled + milliseconds(m_options.interval.ms);
  const auto backed_off = polled + milliseconds(pause.ms);
  m_changed.wait_until(lock, polled + milliseconds(kMinPollDelay.ms),
                       [this] { return m_stopping; });
  while (!m_stopping && !m_urgent) {
    const auto now = std::chrono::steady_clock::now();
    const bool early =
        now >= backed_off && (m_out_of_tokens || m_state.ShouldPollSoon());
    if (early || now >= due) {
      return;
    }
    m_changed.wait_until(lock, std::min(now + kReleaseCheckInterval, due),
                         [this] { return m_stopping || m_urgent; });
  }
}

void ControlPoller::PollOnce(bool leaving) {
  const TimePoint sent = m_clock.Now();
  const PollRequest request = MakeRequest(leaving);
  const Outcome<PollResponse> outcome = Capture([&] {
    return m_client.Call<PollResponse>("node.poll", request, kPollTimeout);
  });
  m_metrics.Add("control_polls_total");
  if (const auto* error = std::get_if<Error>(&outcome)) {
    m_metrics.Add("control_poll_failures_total");
    LogReachability(false, error->Message());
    return;
  }
  const auto& response = std::get<PollResponse>(outcome);
  const bool applied = response.sequence == request.sequence &&
                       m_state.ApplyPoll(sent, response);
  m_dispatcher.SetEvacuated(m_state.IsLocalEvacuated());
  LogReachability(
      applied, applied ? "" : "stale poll response, or one of another cluster");
}

PollRequest ControlPoller::MakeRequest(bool leaving) {
  const Announcement backend = m_dispatcher.Backend();
  PollRequest request;
  m_state.FillPoll(request);
  request.node = m_options.node;
  request.sequence = ++m_sequence;
  request.leaving = leaving;
  request.member.node = m_options.node;
  request.member.address = m_options.peer_address;
  request.member.data_centre = m_options.data_centre;
  request.member.service = backend.service;
  request.member.state = backend.state;
  request.member.slots = backend.slots;
  return request;
}

void ControlPoller::LogReachability(bool reachable, const std::string& reason) {
  std::scoped_lock lock(m_mutex);
  if (std::exchange(m_reachable, reachable) != reachable) {
    LogEvent(LogLevel::kInfo, reachable ? "control_reached" : "control_lost",
             {{"why", reason}});
  }
}

}  // namespace rosemarywinch
