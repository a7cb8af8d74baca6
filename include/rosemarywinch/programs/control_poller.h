#ifndef ROSEMARYWINCH_PROGRAMS_CONTROL_POLLER_H_
#define ROSEMARYWINCH_PROGRAMS_CONTROL_POLLER_H_

#include <condition_variable>
#include <mutex>
#include <string>
#include <thread>

#include "rosemarywinch/adapters/metrics.h"
#include "rosemarywinch/interfaces/clock.h"
#include "rosemarywinch/programs/backend_dispatcher.h"
#include "rosemarywinch/programs/control_client.h"
#include "rosemarywinch/programs/node_state.h"

namespace rosemarywinch {

/// Polls control at a fixed interval, and earlier on request, but leaves at
/// least kMinPollDelay between polls.
class ControlPoller {
 public:
  struct Options {
    std::string node;
    std::string peer_address;
    std::string data_centre;
    Duration interval{1000};
  };

  ControlPoller(Options options,
                NodeState& state,
                BackendDispatcher& dispatcher,
                ControlClient& client,
                Clock& clock,
                Metrics& metrics);
  ~ControlPoller();
  ControlPoller(const ControlPoller&) = delete;
  ControlPoller& operator=(const ControlPoller&) = delete;

  void Start();
  void Stop();

  /// Requests a poll before the interval has elapsed.
  void RequestPoll(NodeState::PollReason reason);

  /// Reports in every poll from now on that the node is leaving. Returns
  /// whether control has confirmed it within `limit`; Stop() ends the wait
  /// early and makes it return true as well.
  bool Leave(Duration limit);

 private:
  void PollLoop();
  void WaitForNextPoll(std::unique_lock<std::mutex>& lock, Duration pause);
  void PollOnce(bool leaving);
  PollRequest MakeRequest(bool leaving);
  void LogReachability(bool reachable, const std::string& reason);

  const Options m_options;
  NodeState& m_state;
  BackendDispatcher& m_dispatcher;
  ControlClient& m_client;
  Clock& m_clock;
  Metrics& m_metrics;

  std::mutex m_mutex;
  std::condition_variable m_changed;
  bool m_urgent = false;
  bool m_out_of_tokens = false;
  bool m_stopping = false;
  bool m_leaving = false;
  bool m_leave_confirmed = false;
  bool m_reachable = false;
  uint64_t m_sequence = 0;
  std::thread m_thread;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_PROGRAMS_CONTROL_POLLER_H_
