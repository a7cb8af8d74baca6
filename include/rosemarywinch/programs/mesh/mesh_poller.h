#ifndef ROSEMARYWINCH_PROGRAMS_MESH_MESH_POLLER_H_
#define ROSEMARYWINCH_PROGRAMS_MESH_MESH_POLLER_H_

#include <atomic>
#include <boost/asio/strand.hpp>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "rosemarywinch/adapters/async/link_client.h"
#include "rosemarywinch/adapters/metrics.h"
#include "rosemarywinch/decisions/control/replica_search.h"
#include "rosemarywinch/interfaces/clock.h"
#include "rosemarywinch/programs/mesh/backend_proxy.h"
#include "rosemarywinch/programs/mesh/mesh_view.h"

namespace rosemarywinch {

/// Finds the leader of the control replicas and polls it at a fixed interval,
/// or earlier on request. Polls never overlap, so that a report of tokens never
/// crosses a grant. Thread-safe.
class MeshPoller {
 public:
  struct Options {
    std::string node;
    std::string data_centre;
    std::string peer_address;
    uint16_t control_port = 0;
    Duration interval{500};
  };

  MeshPoller(asio::io_context& context,
             Options options,
             MeshView& view,
             BackendProxy& backend_proxy,
             LinkClient& links,
             Clock& clock,
             Metrics& metrics);

  void Start();

  /// Sets the addresses of the control replicas listed in the settings.
  void SetSeeds(const std::vector<std::string>& addresses);

  /// Requests a poll before the interval is over. Thread-safe.
  void RequestPoll();

  /// Requests a poll for tokens only, which is far smaller. Thread-safe.
  void RequestTokens();

  /// Reports this node as leaving in all further polls.
  void BeginLeaving();

 private:
  asio::awaitable<void> PollLoop();
  Duration PauseAfterPoll() const;
  asio::awaitable<bool> PollAnyReplica();
  asio::awaitable<bool> PollOnce(uint32_t replica, PollRequest request);
  Result<Done> ApplyReply(uint32_t replica,
                          TimePoint sent,
                          bool tokens_only,
                          const ExchangeResult& result);
  void Wake();
  PollRequest MakeRequest();
  PollRequest MakeSmallRequest();
  uint32_t Leader();
  ReplicaSearch BeginSearch();
  void LogReachability(bool reachable, const std::string& reason);

  const Options m_options;
  MeshView& m_view;
  BackendProxy& m_backend_proxy;
  LinkClient& m_links;
  Clock& m_clock;
  Metrics& m_metrics;
  Strand m_strand;
  asio::steady_timer m_timer;
  std::atomic<bool> m_poll_requested{false};
  std::atomic<bool> m_tokens_requested{false};
  /// Control hasn't been told yet that this node acts on a new configuration.
  std::atomic<bool> m_confirmation_due{false};
  std::atomic<bool> m_leaving{false};
  std::mutex m_mutex;
  std::set<uint32_t> m_seeds;
  std::set<uint32_t> m_replicas;
  uint32_t m_leader = 0;
  uint64_t m_sequence = 0;
  bool m_reachable = false;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_PROGRAMS_MESH_MESH_POLLER_H_
