// The part of BackendProxy that limits the calls to a cold backend server.

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "rosemarywinch/adapters/log.h"
#include "rosemarywinch/programs/mesh/backend_proxy.h"

namespace rosemarywinch {

namespace {

// The longest cold period that a configuration can set for backend servers that
// do not report theirs.
constexpr double kMaxColdStartSeconds = 3600;
constexpr double kMsPerSecond = 1000;

std::chrono::milliseconds ToChrono(Duration length) {
  return std::chrono::milliseconds(length.ms);
}

}  // namespace

// Requires m_mutex to be held. Passes the configured cold period on to the
// presence of the backend server.
void BackendProxy::UpdateColdStart() {
  const ServiceSpec spec = m_service_source();
  const double seconds = std::min(spec.cold_start, kMaxColdStartSeconds);
  m_presence.SetColdStart(spec.cold_rate > 0 ? Duration{static_cast<int64_t>(
                                                   seconds * kMsPerSecond)}
                                             : Duration{0});
}

// Requires m_mutex to be held. Begins or ends the limit of a cold backend
// server. While none is present, no call starts, and nothing changes.
void BackendProxy::UpdateColdLimit(TimePoint now) {
  const auto current = m_presence.Current(now);
  if (!current) {
    return;
  }
  const double rate = ColdRateOf(*current);
  const double before = m_queue.cold_rate();
  if (rate == before) {
    return;
  }
  NotifyWaiters(m_queue.SetColdRate(now, rate));
  LogEvent(LogLevel::kInfo, "cold_limit",
           {{"state", rate > 0 ? "on" : "off"},
            {"backend", current->id},
            {"per_s", std::to_string(std::max(rate, before))},
            {"refused", std::to_string(m_queue.cold_refusals())}});
}

double BackendProxy::ColdRateOf(const LocalBackend& backend) const {
  return backend.state == BackendState::kStarting ? m_service_source().cold_rate
                                                  : 0;
}

// Requires m_mutex to be held. Calls that wait only for the time at which they
// may start are not woken by the end of another call.
void BackendProxy::StartTimer() {
  const TimePoint now = m_clock.Now();
  const auto next = m_queue.NextStart(now);
  if (!next || !m_executor || m_timer_runs) {
    return;
  }
  m_timer_runs = true;
  asio::co_spawn(*m_executor, StartWaitingCalls(*next - now), asio::detached);
}

asio::awaitable<void> BackendProxy::StartWaitingCalls(Duration first_wait) {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  Duration wait = first_wait;
  while (true) {
    timer.expires_after(ToChrono(std::max(wait, Duration{1})));
    co_await timer.async_wait(asio::use_awaitable);
    std::scoped_lock lock(m_mutex);
    const TimePoint now = m_clock.Now();
    UpdateColdLimit(now);
    NotifyWaiters(m_queue.Advance(now));
    const auto next = m_queue.NextStart(now);
    if (!next) {
      m_timer_runs = false;
      co_return;
    }
    wait = *next - now;
  }
}

uint64_t BackendProxy::ColdRefusals() const {
  std::scoped_lock lock(m_mutex);
  return m_queue.cold_refusals();
}

}  // namespace rosemarywinch
