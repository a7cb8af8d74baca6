#ifndef ROSEMARYWINCH_PROGRAMS_MESH_HOP_SERVER_H_
#define ROSEMARYWINCH_PROGRAMS_MESH_HOP_SERVER_H_

#include <map>
#include <memory>
#include <string>
#include <utility>

#include "rosemarywinch/adapters/async/cancellation_token.h"
#include "rosemarywinch/adapters/async/frame_link.h"
#include "rosemarywinch/core/sharded.h"
#include "rosemarywinch/programs/mesh/backend_proxy.h"

namespace rosemarywinch {

/// Serves requests from other nodes. Cancels a request when its link closes or
/// a cancel frame arrives. Thread-safe.
class HopServer {
 public:
  HopServer(asio::io_context& context,
            const std::string& address,
            BackendProxy& backend_proxy);

  /// Starts accepting links. Errors: kBadValue, kPortInUse.
  Result<Done> Start() { return m_listener.Start(m_address); }

 private:
  using ExchangeKey = std::pair<const FrameLink*, uint64_t>;
  struct Shard {
    std::map<ExchangeKey, std::shared_ptr<CancellationToken>> open;
  };

  void OnFrame(const std::shared_ptr<FrameLink>& link, Frame frame);
  void OnClosed(const std::shared_ptr<FrameLink>& link);
  void StartRequest(const std::shared_ptr<FrameLink>& link, Frame frame);
  asio::awaitable<void> Run(std::shared_ptr<FrameLink> link,
                            Frame frame,
                            std::shared_ptr<CancellationToken> cancellation);

  const std::string m_address;
  BackendProxy& m_backend_proxy;
  Sharded<Shard> m_exchanges;
  FrameListener m_listener;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_PROGRAMS_MESH_HOP_SERVER_H_
