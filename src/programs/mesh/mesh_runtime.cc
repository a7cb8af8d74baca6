#include "rosemarywinch/programs/mesh/mesh_runtime.h"

#include <algorithm>
#include <csignal>
#include <thread>
#include <utility>
#include <vector>

namespace rosemarywinch {

MeshRuntime::MeshRuntime(unsigned threads)
    : m_threads(std::max(threads, 1u)),
      m_context(static_cast<int>(m_threads)),
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
  std::vector<std::thread> threads(m_threads - 1);
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
