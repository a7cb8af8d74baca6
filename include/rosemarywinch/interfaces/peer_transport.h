#ifndef ROSEMARYWINCH_INTERFACES_PEER_TRANSPORT_H_
#define ROSEMARYWINCH_INTERFACES_PEER_TRANSPORT_H_

#include "rosemarywinch/schema/consensus.h"

namespace rosemarywinch {

/// Sends messages between control replicas. Implementations are thread-safe.
class PeerTransport {
 public:
  virtual ~PeerTransport() = default;

  /// Sends without blocking. Messages may be lost, delayed or reordered.
  virtual void Send(const PeerMessage& message) = 0;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_INTERFACES_PEER_TRANSPORT_H_
