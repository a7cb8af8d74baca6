#include "rosemarywinch/adapters/async/link_client.h"

#include <utility>
#include <vector>

namespace rosemarywinch {

namespace {

std::string ShardKey(uint64_t exchange) {
  return std::to_string(exchange);
}

FrameType ReplyTo(FrameType request) {
  return request == FrameType::kPollRequest ? FrameType::kPollReply
                                            : FrameType::kHopResponse;
}

// Returns what became of the open exchanges of a link that has closed.
ExchangeStatus LostStatus(const FrameLink& link) {
  if (!link.connected()) {
    return ExchangeStatus::kNotSent;
  }
  return link.holds_requests() ? ExchangeStatus::kStaleLink
                               : ExchangeStatus::kLinkLost;
}

}  // namespace

asio::awaitable<ExchangeResult> LinkClient::Exchange(
    std::string address,
    FrameType type,
    std::string payload,
    Duration limit,
    std::shared_ptr<CancellationToken> cancellation,
    PeerPlace place) {
  const uint64_t exchange = m_next_exchange++;
  const auto reply =
      std::make_shared<Reply>(co_await asio::this_coro::executor);
  const std::shared_ptr<FrameLink> link = GetOrConnect(address);
  if (place != PeerPlace::kUnknown) {
    link->SetPlace(place);
  }
  m_exchanges.With(ShardKey(exchange), [&](ExchangeShard& shard) {
    shard.open[exchange] = {reply, link, type};
  });
  const CancellationCallback watch(cancellation, [reply] {
    reply->Set({ExchangeStatus::kCallerGone, ""});
  });
  // A link that closed before the exchange was registered tells nobody.
  if (link->closed()) {
    reply->Set({ExchangeStatus::kStaleLink, ""});
  }
  const bool hop_request = type == FrameType::kHopRequest;
  if (hop_request && m_closed_to_hop_requests) {
    reply->Set({ExchangeStatus::kNotSent, ""});
  } else {
    link->Send({type, exchange, std::move(payload)});
    // The cancellation of all hop requests may have overtaken this one.
    if (hop_request && m_closed_to_hop_requests) {
      link->Send({FrameType::kCancelIfQueued, exchange, ""});
    }
  }
  std::optional<ExchangeResult> result = co_await reply->Wait(limit);
  m_exchanges.With(ShardKey(exchange),
                   [&](ExchangeShard& shard) { shard.open.erase(exchange); });
  if (!result) {
    result = ExchangeResult{ExchangeStatus::kTimedOut, ""};
  }
  const bool unanswered = result->status == ExchangeStatus::kTimedOut ||
                          result->status == ExchangeStatus::kCallerGone;
  if (unanswered) {
    link->Send({FrameType::kCancel, exchange, ""});
  }
  co_return std::move(*result);
}

void LinkClient::CancelQueuedHopRequests() {
  m_closed_to_hop_requests = true;
  m_exchanges.ForEach([&](ExchangeShard& shard) {
    for (const auto& [number, open] : shard.open) {
      if (open.type == FrameType::kHopRequest) {
        open.link->Send({FrameType::kCancelIfQueued, number, ""});
      }
    }
  });
}

void LinkClient::Post(const std::string& address,
                      FrameType type,
                      std::string payload) {
  GetOrConnect(address)->Send({type, 0, std::move(payload)});
}

std::shared_ptr<FrameLink> LinkClient::GetOrConnect(
    const std::string& address) {
  return m_links.With(address, [&](LinkShard& shard) {
    std::shared_ptr<FrameLink>& link = shard.links[address];
    if (link == nullptr) {
      link = std::make_shared<FrameLink>(
          m_context,
          [this](const std::shared_ptr<FrameLink>& from, Frame frame) {
            OnFrame(from, std::move(frame));
          },
          [this, address](const std::shared_ptr<FrameLink>& closed) {
            OnClosed(address, closed);
          },
          m_resources);
      link->Connect(address);
    }
    return link;
  });
}

// Only the peer that was asked may answer, with a reply to what it was asked.
void LinkClient::OnFrame(const std::shared_ptr<FrameLink>& from, Frame frame) {
  std::shared_ptr<Reply> reply;
  m_exchanges.With(ShardKey(frame.exchange), [&](ExchangeShard& shard) {
    const auto found = shard.open.find(frame.exchange);
    if (found != shard.open.end() && found->second.link == from &&
        ReplyTo(found->second.type) == frame.type) {
      reply = found->second.reply;
    }
  });
  if (reply != nullptr) {
    reply->Set({ExchangeStatus::kReplied, std::move(frame.payload)});
  }
}

void LinkClient::OnClosed(const std::string& address,
                          const std::shared_ptr<FrameLink>& link) {
  m_links.With(address, [&](LinkShard& shard) {
    const auto found = shard.links.find(address);
    if (found != shard.links.end() && found->second == link) {
      shard.links.erase(found);
    }
  });
  std::vector<std::shared_ptr<Reply>> orphaned;
  m_exchanges.ForEach([&](ExchangeShard& shard) {
    for (const auto& [number, open] : shard.open) {
      if (open.link == link) {
        orphaned.push_back(open.reply);
      }
    }
  });
  const ExchangeStatus status = LostStatus(*link);
  for (const auto& reply : orphaned) {
    reply->Set({status, ""});
  }
}

}  // namespace rosemarywinch
