#include "rosemarywinch/programs/mesh/hop_server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <vector>

#include "rosemarywinch/adapters/log.h"
#include "rosemarywinch/adapters/wire_codec.h"

namespace rosemarywinch {

namespace {

std::string ShardKey(uint64_t exchange) {
  return std::to_string(exchange);
}

Outcome<HopRequest> Decode(const Frame& frame) {
  return Capture([&]() -> Result<HopRequest> {
    if (frame.skipped) {
      return Fail(ErrorId::kOverloaded, "no memory for the request");
    }
    return FromWire<HopRequest>(frame.payload);
  });
}

}  // namespace

HopServer::HopServer(asio::io_context& context,
                     const std::string& address,
                     BackendProxy& backend_proxy,
                     LinkResources resources)
    : m_address(address),
      m_backend_proxy(backend_proxy),
      m_listener(
          context,
          [this](const std::shared_ptr<FrameLink>& link, Frame frame) {
            OnFrame(link, std::move(frame));
          },
          [this](const std::shared_ptr<FrameLink>& link) { OnClosed(link); },
          resources) {}

void HopServer::OnFrame(const std::shared_ptr<FrameLink>& link, Frame frame) {
  if (frame.type == FrameType::kHopRequest) {
    StartRequest(link, std::move(frame));
    return;
  }
  const std::optional<CallSignals> signals =
      FindOpen(link.get(), frame.exchange);
  if (!signals) {
    return;
  }
  if (frame.type == FrameType::kCancel) {
    signals->cancelled->Cancel();
  } else if (frame.type == FrameType::kCancelIfQueued) {
    signals->start_cancelled->Cancel();
  }
}

std::optional<CallSignals> HopServer::FindOpen(const FrameLink* link,
                                               uint64_t exchange) {
  std::optional<CallSignals> signals;
  m_exchanges.With(ShardKey(exchange), [&](Shard& shard) {
    const auto found = shard.open.find({link, exchange});
    if (found != shard.open.end()) {
      signals = found->second;
    }
  });
  return signals;
}

void HopServer::OnClosed(const std::shared_ptr<FrameLink>& link) {
  CancelOpen([&](const ExchangeKey& key) { return key.first == link.get(); });
}

void HopServer::CancelOpenRequests() {
  CancelOpen([](const ExchangeKey&) { return true; });
}

// Callbacks of the tokens run without a lock.
void HopServer::CancelOpen(
    const std::function<bool(const ExchangeKey&)>& applies) {
  std::vector<CallSignals> open;
  m_exchanges.ForEach([&](Shard& shard) {
    for (const auto& [key, signals] : shard.open) {
      if (applies(key)) {
        open.push_back(signals);
      }
    }
  });
  for (const CallSignals& signals : open) {
    signals.cancelled->Cancel();
  }
}

void HopServer::StartRequest(const std::shared_ptr<FrameLink>& link,
                             Frame frame) {
  const CallSignals signals;
  ++m_open_requests;
  m_exchanges.With(ShardKey(frame.exchange), [&](Shard& shard) {
    shard.open[{link.get(), frame.exchange}] = signals;
  });
  asio::co_spawn(
      link->strand(),
      [this, link, signals, frame = std::move(frame)]() mutable {
        return Run(link, std::move(frame), signals);
      },
      asio::detached);
}

asio::awaitable<void> HopServer::Run(std::shared_ptr<FrameLink> link,
                                     Frame frame,
                                     CallSignals signals) {
  const uint64_t exchange = frame.exchange;
  Outcome<HopRequest> decoded = Decode(frame);
  HopResponse response;
  if (auto* request = std::get_if<HopRequest>(&decoded)) {
    response = co_await m_backend_proxy.Run(std::move(*request), signals);
  } else {
    const Error& error = std::get<Error>(decoded);
    response.outcome = HopOutcome::kNotRun;
    response.reason = error.id;
    LogEvent(LogLevel::kError, "hop_rejected", {{"error", error.Message()}});
  }
  m_exchanges.With(ShardKey(exchange), [&](Shard& shard) {
    shard.open.erase({link.get(), exchange});
  });
  link->Send({FrameType::kHopResponse, exchange,
              EncodeReply(frame.payload, response)});
  --m_open_requests;
}

}  // namespace rosemarywinch
