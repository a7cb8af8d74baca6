#ifndef ROSEMARYWINCH_PROGRAMS_MESH_MESH_RUNTIME_H_
#define ROSEMARYWINCH_PROGRAMS_MESH_MESH_RUNTIME_H_

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <functional>

#include "rosemarywinch/core/time.h"

namespace rosemarywinch {

namespace asio = boost::asio;

/// The I/O context of a mesh process and the threads that run it. Idle threads
/// block in the kernel, waiting for sockets, timers and signals.
class MeshRuntime {
 public:
  /// Uses `threads` threads, at least one.
  explicit MeshRuntime(unsigned threads);

  asio::io_context& context() { return m_context; }

  /// Runs until Stop(). `on_stop_signal` is called on the first SIGTERM or
  /// SIGINT.
  void Run(std::function<void()> on_stop_signal);

  /// Makes Run() return. Thread-safe.
  void Stop();

 private:
  const unsigned m_threads;
  asio::io_context m_context;
  asio::executor_work_guard<asio::io_context::executor_type> m_work;
  asio::signal_set m_signals;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_PROGRAMS_MESH_MESH_RUNTIME_H_
