#include "rosemarywinch/programs/mesh/hop_server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <vector>

#include "rosemarywinch/adapters/json_codec.h"
#include "rosemarywinch/adapters/log.h"

namespace rosemarywinch {

namespace {

std::string ShardKey(uint64_t exchange) {
  return std::to_string(exchange);
}

}  // namespace

HopServer::HopServer(asio::io_context& context,
                     const std::string& address,
                     BackendProxy& backend_proxy)
    : m_address(address),
      m_backend_proxy(backend_proxy),
      m_listener(
          context,
          [this](const std::shared_ptr<FrameLink>& link, Frame frame) {
            OnFrame(link, std::move(frame));
          },
          [this](const std::shared_ptr<FrameLink>& link) { OnClosed(link); }) {}

void HopServer::OnFrame(const std::shared_ptr<FrameLink>& link, Frame frame) {
  if (frame.type == FrameType::kHopRequest) {
    StartRequest(link, std::move(frame));
    return;
  }
  if (frame.type == FrameType::kCancel) {
    std::shared_ptr<CancellationToken> cancellation;
    m_exchanges.With(ShardKey(frame.exchange), [&](Shard& shard) {
      const auto found = shard.open.find({link.get(), frame.exchange});
      if (found != shard.open.end()) {
        cancellation = found->second;
      }
    });
    if (cancellation != nullptr) {
      cancellation->Cancel();
    }
  }
}

void HopServer::OnClosed(const std::shared_ptr<FrameLink>& link) {
  std::vector<std::shared_ptr<CancellationToken>> cancelled;
  m_exchanges.ForEach([&](Shard& shard) {
    for (const auto& [key, cancellation] : shard.open) {
      if (key.first == link.get()) {
        cancelled.push_back(cancellation);
      }
    }
  });
  for (const auto& cancellation : cancelled) {
    cancellation->Cancel();
  }
}

void HopServer::StartRequest(const std::shared_ptr<FrameLink>& link,
                             Frame frame) {
  const auto cancellation = std::make_shared<CancellationToken>();
  m_exchanges.With(ShardKey(frame.exchange), [&](Shard& shard) {
    shard.open[{link.get(), frame.exchange}] = cancellation;
  });
  asio::co_spawn(
      link->strand(),
      [this, link, cancellation, frame = std::move(frame)]() mutable {
        return Run(link, std::move(frame), cancellation);
      },
      asio::detached);
}

asio::awaitable<void> HopServer::Run(
    std::shared_ptr<FrameLink> link,
    Frame frame,
    std::shared_ptr<CancellationToken> cancellation) {
  const uint64_t exchange = frame.exchange;
  const Outcome<HopRequest> decoded =
      Capture([&] { return FromBinary<HopRequest>(frame.payload); });
  HopResponse response;
  if (const auto* request = std::get_if<HopRequest>(&decoded)) {
    response = co_await m_backend_proxy.Run(*request, cancellation);
  } else {
    response.outcome = HopOutcome::kNotRun;
    response.reason = ErrorId::kMalformedMessage;
    LogEvent(LogLevel::kError, "hop_malformed",
             {{"error", std::get<Error>(decoded).Message()}});
  }
  m_exchanges.With(ShardKey(exchange), [&](Shard& shard) {
    shard.open.erase({link.get(), exchange});
  });
  link->Send({FrameType::kHopResponse, exchange, ToBinary(response)});
}

}  // namespace rosemarywinch
