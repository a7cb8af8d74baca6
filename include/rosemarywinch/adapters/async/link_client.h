#ifndef ROSEMARYWINCH_ADAPTERS_ASYNC_LINK_CLIENT_H_
#define ROSEMARYWINCH_ADAPTERS_ASYNC_LINK_CLIENT_H_

#include <atomic>
#include <map>
#include <memory>
#include <string>

#include "rosemarywinch/adapters/async/cancellation_token.h"
#include "rosemarywinch/adapters/async/frame_link.h"
#include "rosemarywinch/adapters/async/one_shot.h"
#include "rosemarywinch/core/sharded.h"

namespace rosemarywinch {

/// Result status of an exchange over a link.
enum class ExchangeStatus {
  kReplied,
  /// The link never opened, so the peer cannot have received the frame.
  kNotSent,
  /// The link had died while it was idle, before the frame was sent on it. A
  /// new attempt uses a new connection.
  kStaleLink,
  /// The link closed before a reply; the peer may have received the frame.
  kLinkLost,
  kTimedOut,
  /// The caller disconnected.
  kCallerGone,
};

struct ExchangeResult {
  ExchangeStatus status = ExchangeStatus::kNotSent;
  std::string payload;
};

/// Sends frames to other processes over one link per address. Thread-safe;
/// links and open exchanges are sharded, each shard under its own lock.
class LinkClient {
 public:
  explicit LinkClient(asio::io_context& context, LinkResources resources = {})
      : m_context(context), m_resources(resources) {}

  /// Sends a frame and waits for the reply, for `limit` at most. After a
  /// timeout or a cancellation it sends a cancel frame to the peer. `place` is
  /// where the peer is, if it is known.
  asio::awaitable<ExchangeResult> Exchange(
      std::string address,
      FrameType type,
      std::string payload,
      Duration limit,
      std::shared_ptr<CancellationToken> cancellation,
      PeerPlace place = PeerPlace::kUnknown);

  /// Cancels the hop requests that are queued at their nodes, which answer them
  /// as not run; those that run are not affected. Later ones are not sent.
  void CancelQueuedHopRequests();

  /// Sends a frame without waiting for a reply; it may be lost.
  void Post(const std::string& address, FrameType type, std::string payload);

 private:
  using Reply = OneShot<ExchangeResult>;
  struct OpenExchange {
    std::shared_ptr<Reply> reply;
    std::shared_ptr<FrameLink> link;
    FrameType type = FrameType::kPing;
  };
  struct LinkShard {
    std::map<std::string, std::shared_ptr<FrameLink>> links;
  };
  struct ExchangeShard {
    std::map<uint64_t, OpenExchange> open;
  };

  std::shared_ptr<FrameLink> GetOrConnect(const std::string& address);
  void OnFrame(const std::shared_ptr<FrameLink>& from, Frame frame);
  void OnClosed(const std::string& address,
                const std::shared_ptr<FrameLink>& link);

  asio::io_context& m_context;
  const LinkResources m_resources;
  std::atomic<uint64_t> m_next_exchange{1};
  std::atomic<bool> m_closed_to_hop_requests{false};
  Sharded<LinkShard> m_links;
  Sharded<ExchangeShard> m_exchanges;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_ADAPTERS_ASYNC_LINK_CLIENT_H_
