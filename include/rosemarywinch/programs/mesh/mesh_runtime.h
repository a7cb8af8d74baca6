#ifndef ROSEMARYWINCH_PROGRAMS_MESH_MESH_RUNTIME_H_
#define ROSEMARYWINCH_PROGRAMS_MESH_MESH_RUNTIME_H_

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <functional>

#include "rosemarywinch/core/time.h"

namespace rosemarywinch {

namespace asio = boost::asio;

/// The threads of a process of the mesh. They wait in the kernel for sockets,
/// timers and signals.
class MeshRuntime {
 public:
  MeshRuntime();

  asio::io_context& context() { return m_context; }

  /// Runs until Stop(). `on_stop_signal` is called at the first SIGTERM or
  /// SIGINT.
  void Run(std::function<void()> on_stop_signal);

  /// Ends Run(); thread-safe.
  void Stop();

 private:
  asio::io_context m_context;
  asio::executor_work_guard<asio::io_context::executor_type> m_work;
  asio::signal_set m_signals;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_PROGRAMS_MESH_MESH_RUNTIME_H_
