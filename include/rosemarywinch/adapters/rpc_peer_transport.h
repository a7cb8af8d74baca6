#ifndef ROSEMARYWINCH_ADAPTERS_RPC_PEER_TRANSPORT_H_
#define ROSEMARYWINCH_ADAPTERS_RPC_PEER_TRANSPORT_H_

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "rosemarywinch/interfaces/http.h"
#include "rosemarywinch/interfaces/peer_transport.h"

namespace rosemarywinch {

/// Sends messages between control replicas as JSON-RPC calls, with one thread
/// and one bounded queue per peer. Each queue has its own lock.
class RpcPeerTransport : public PeerTransport {
 public:
  /// `addresses` maps replica ids to HOST:PORT.
  RpcPeerTransport(const std::map<uint32_t, std::string>& addresses,
                   HttpChannel& channel);
  ~RpcPeerTransport() override;

  void Send(const PeerMessage& message) override;

 private:
  struct Peer {
    std::string address;
    std::mutex mutex;
    std::condition_variable not_empty;
    std::deque<PeerMessage> queue;
    bool stopping = false;
    std::thread thread;
  };

  void SendLoop(Peer& peer);

  HttpChannel& m_channel;
  std::map<uint32_t, std::unique_ptr<Peer>> m_peers;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_ADAPTERS_RPC_PEER_TRANSPORT_H_
