#ifndef ROSEMARYWINCH_PROGRAMS_MESH_HOP_CLIENT_H_
#define ROSEMARYWINCH_PROGRAMS_MESH_HOP_CLIENT_H_

#include <string>

#include "rosemarywinch/adapters/async/link_client.h"
#include "rosemarywinch/interfaces/hop_channel.h"
#include "rosemarywinch/programs/mesh/backend_proxy.h"

namespace rosemarywinch {

/// Sends requests to other nodes over links, and to the local BackendProxy
/// directly. Thread-safe.
class HopClient : public HopChannel {
 public:
  HopClient(std::string node, BackendProxy& backend_proxy, LinkClient& links)
      : m_node(std::move(node)),
        m_backend_proxy(backend_proxy),
        m_links(links) {}

  asio::awaitable<HopResponse> Call(
      Member member,
      HopRequest request,
      std::shared_ptr<CancellationToken> cancellation) override;

 private:
  const std::string m_node;
  BackendProxy& m_backend_proxy;
  LinkClient& m_links;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_PROGRAMS_MESH_HOP_CLIENT_H_
