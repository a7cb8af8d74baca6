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

/// Runs the requests that other nodes send. A request whose link ends, or that
/// is cancelled, loses its caller. Thread-safe.
class HopServer {
 public:
  HopServer(asio::io_context& context,
            const std::string& address,
            BackendProxy& backend_proxy);

  /// Starts to accept. Errors: kBadValue, kPortInUse.
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
