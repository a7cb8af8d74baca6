#include "rosemarywinch/programs/mesh/mesh_runtime.h"

#include <array>
#include <csignal>
#include <thread>
#include <utility>

namespace rosemarywinch {

namespace {

// Two threads, so that a slow step of one request does not block all others.
constexpr int kThreads = 2;

}  // namespace

MeshRuntime::MeshRuntime()
    : m_context(kThreads),
      m_work(m_context.get_executor()),
      m_signals(m_context, SIGTERM, SIGINT) {
  std::signal(SIGPIPE, SIG_IGN);
}

void MeshRuntime::Run(std::function<void()> on_stop_signal) {
  m_signals.async_wait([on_signal = std::move(on_stop_signal)](
                           boost::system::error_code error, int) {
    if (!error) {
      on_signal();
    }
  });
  std::array<std::thread, kThreads - 1> threads;
  for (std::thread& thread : threads) {
    thread = std::thread([this] { m_context.run(); });
  }
  m_context.run();
  for (std::thread& thread : threads) {
    thread.join();
  }
}

void MeshRuntime::Stop() {
  m_context.stop();
}

}  // namespace rosemarywinch
