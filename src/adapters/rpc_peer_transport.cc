#include "rosemarywinch/adapters/rpc_peer_transport.h"

#include <utility>

#include "rosemarywinch/adapters/json_rpc.h"

namespace rosemarywinch {

namespace {

// On overflow the oldest messages are dropped: newer ones supersede them.
constexpr size_t kMaxQueuedMessages = 64;
constexpr Duration kSendTimeout{1000};

}  // namespace

RpcPeerTransport::RpcPeerTransport(
    const std::map<uint32_t, std::string>& addresses,
    HttpChannel& channel)
    : m_channel(channel) {
  for (const auto& [id, address] : addresses) {
    auto peer = std::make_unique<Peer>();
    peer->address = address;
    peer->thread = std::thread([this, p = peer.get()] { SendLoop(*p); });
    m_peers[id] = std::move(peer);
  }
}

RpcPeerTransport::~RpcPeerTransport() {
  for (auto& [id, peer] : m_peers) {
    {
      std::scoped_lock lock(peer->mutex);
      peer->stopping = true;
    }
    peer->not_empty.notify_all();
    peer->thread.join();
  }
}

void RpcPeerTransport::Send(const PeerMessage& message) {
  const auto found = m_peers.find(message.to_replica);
  if (found == m_peers.end()) {
    return;
  }
  Peer& peer = *found->second;
  std::scoped_lock lock(peer.mutex);
  peer.queue.push_back(message);
  if (peer.queue.size() > kMaxQueuedMessages) {
    peer.queue.pop_front();
  }
  peer.not_empty.notify_one();
}

void RpcPeerTransport::SendLoop(Peer& peer) {
  std::unique_lock lock(peer.mutex);
  while (!peer.stopping) {
    if (peer.queue.empty()) {
      peer.not_empty.wait(lock);
      continue;
    }
    const PeerMessage message = std::move(peer.queue.front());
    peer.queue.pop_front();
    lock.unlock();
    // Errors are ignored: the next heartbeat makes up for a lost message.
    static_cast<void>(Capture([&] {
      return CallJsonRpc(m_channel, peer.address, "peer.message",
                         ToJson(message), kSendTimeout);
    }));
    lock.lock();
  }
}

}  // namespace rosemarywinch
