#include "rosemarywinch/programs/stop_signal.h"

#include <pthread.h>
#include <signal.h>

#include <cstdlib>
#include <utility>

namespace rosemarywinch {

namespace {

constexpr int kForcedStopExitCode = 75;

sigset_t HandledSignals() {
  sigset_t set;
  sigemptyset(&set);
  sigaddset(&set, SIGTERM);
  sigaddset(&set, SIGINT);
  sigaddset(&set, SIGUSR2);
  return set;
}

}  // namespace

StopSignal::StopSignal() {
  // Threads started later inherit the mask, so only Receive() gets the signals.
  const sigset_t set = HandledSignals();
  pthread_sigmask(SIG_BLOCK, &set, nullptr);
  signal(SIGPIPE, SIG_IGN);
  m_thread = std::thread([this] { Receive(); });
}

StopSignal::~StopSignal() {
  {
    std::scoped_lock lock(m_mutex);
    m_closing = true;
  }
  pthread_kill(m_thread.native_handle(), SIGUSR2);
  m_thread.join();
}

void StopSignal::Wait() {
  std::unique_lock lock(m_mutex);
  m_changed.wait(lock, [this] { return m_received > 0; });
}

void StopSignal::OnSecondSignal(std::function<void()> report) {
  std::scoped_lock lock(m_mutex);
  m_report = std::move(report);
}

void StopSignal::Receive() {
  const sigset_t set = HandledSignals();
  while (true) {
    int number = 0;
    sigwait(&set, &number);
    std::scoped_lock lock(m_mutex);
    if (m_closing) {
      return;
    }
    if (number == SIGUSR2) {
      continue;
    }
    if (++m_received > 1) {
      if (m_report) {
        m_report();
      }
      std::_Exit(kForcedStopExitCode);
    }
    m_changed.notify_all();
  }
}

}  // namespace rosemarywinch
