#ifndef ROSEMARYWINCH_INTERFACES_HOP_CHANNEL_H_
#define ROSEMARYWINCH_INTERFACES_HOP_CHANNEL_H_

#include <boost/asio/awaitable.hpp>
#include <memory>

#include "rosemarywinch/schema/members.h"
#include "rosemarywinch/schema/mesh.h"

namespace rosemarywinch {

class CancellationToken;

/// Sends requests to the node that serves a backend server.
class HopChannel {
 public:
  virtual ~HopChannel() = default;

  /// Sends `request` to `member` and waits for the response, at most for the
  /// time that the request has left.
  virtual boost::asio::awaitable<HopResponse> Call(
      Member member,
      HopRequest request,
      std::shared_ptr<CancellationToken> cancellation) = 0;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_INTERFACES_HOP_CHANNEL_H_
