#ifndef ROSEMARYWINCH_PROGRAMS_MESH_HOP_CLIENT_H_
#define ROSEMARYWINCH_PROGRAMS_MESH_HOP_CLIENT_H_

#include <string>

#include "rosemarywinch/adapters/async/link_client.h"
#include "rosemarywinch/interfaces/clock.h"
#include "rosemarywinch/interfaces/hop_channel.h"
#include "rosemarywinch/programs/mesh/backend_proxy.h"

namespace rosemarywinch {

/// Sends requests to other nodes over links, and to the local BackendProxy
/// directly. A request that found its link dead before it was sent is sent on a
/// new one. Thread-safe.
class HopClient : public HopChannel {
 public:
  HopClient(std::string node,
            std::string data_centre,
            BackendProxy& backend_proxy,
            LinkClient& links,
            Clock& clock)
      : m_node(std::move(node)),
        m_data_centre(std::move(data_centre)),
        m_backend_proxy(backend_proxy),
        m_links(links),
        m_clock(clock) {}

  asio::awaitable<HopResponse> Call(
      Member member,
      HopRequest request,
      std::shared_ptr<CancellationToken> cancellation) override;

 private:
  asio::awaitable<ExchangeResult> Exchange(
      const Member& member,
      const HopRequest& request,
      std::shared_ptr<CancellationToken> cancellation);

  PeerPlace PlaceOf(const Member& member) const;

  const std::string m_node;
  const std::string m_data_centre;
  BackendProxy& m_backend_proxy;
  LinkClient& m_links;
  Clock& m_clock;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_PROGRAMS_MESH_HOP_CLIENT_H_
