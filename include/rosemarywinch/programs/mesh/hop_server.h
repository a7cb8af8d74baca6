#ifndef ROSEMARYWINCH_PROGRAMS_MESH_HOP_SERVER_H_
#define ROSEMARYWINCH_PROGRAMS_MESH_HOP_SERVER_H_

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "rosemarywinch/adapters/async/cancellation_token.h"
#include "rosemarywinch/adapters/async/frame_link.h"
#include "rosemarywinch/core/sharded.h"
#include "rosemarywinch/programs/mesh/backend_proxy.h"

namespace rosemarywinch {

/// Serves requests from other nodes. Cancels a request when its link closes or
/// a cancel frame arrives; its node may also cancel it only if it is queued.
/// Thread-safe.
class HopServer {
 public:
  HopServer(asio::io_context& context,
            const std::string& address,
            BackendProxy& backend_proxy,
            LinkResources resources = {});

  /// Starts accepting links. Errors: kBadValue, kPortInUse.
  Result<Done> Start() { return m_listener.Start(m_address); }

  /// Cancels all open requests, so that they are answered.
  void CancelOpenRequests();

  /// Number of requests whose response was not handed to their link yet.
  size_t open_requests() const { return m_open_requests; }

 private:
  using ExchangeKey = std::pair<const FrameLink*, uint64_t>;
  struct Shard {
    std::map<ExchangeKey, CallSignals> open;
  };

  void OnFrame(const std::shared_ptr<FrameLink>& link, Frame frame);
  void OnClosed(const std::shared_ptr<FrameLink>& link);
  void StartRequest(const std::shared_ptr<FrameLink>& link, Frame frame);
  asio::awaitable<void> Run(std::shared_ptr<FrameLink> link,
                            Frame frame,
                            CallSignals signals);
  void CancelOpen(const std::function<bool(const ExchangeKey&)>& applies);
  std::optional<CallSignals> FindOpen(const FrameLink* link, uint64_t exchange);

  const std::string m_address;
  BackendProxy& m_backend_proxy;
  Sharded<Shard> m_exchanges;
  std::atomic<size_t> m_open_requests{0};
  FrameListener m_listener;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_PROGRAMS_MESH_HOP_SERVER_H_
