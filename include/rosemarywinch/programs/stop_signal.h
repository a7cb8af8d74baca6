#ifndef ROSEMARYWINCH_PROGRAMS_STOP_SIGNAL_H_
#define ROSEMARYWINCH_PROGRAMS_STOP_SIGNAL_H_

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

#include "rosemarywinch/core/time.h"

namespace rosemarywinch {

/// Handles SIGTERM and SIGINT. The first signal requests a graceful shutdown;
/// the second ends the process immediately. Must be constructed before any
/// other thread is started.
class StopSignal {
 public:
  StopSignal();
  ~StopSignal();
  StopSignal(const StopSignal&) = delete;
  StopSignal& operator=(const StopSignal&) = delete;

  /// Waits for the first signal.
  void Wait();

  /// Sets the callback that runs before a second signal ends the process.
  void OnSecondSignal(std::function<void()> report);

 private:
  void Receive();

  std::mutex m_mutex;
  std::condition_variable m_changed;
  int m_received = 0;
  bool m_closing = false;
  std::function<void()> m_report;
  std::thread m_thread;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_PROGRAMS_STOP_SIGNAL_H_
