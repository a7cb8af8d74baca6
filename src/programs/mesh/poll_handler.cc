#include "rosemarywinch/programs/mesh/poll_handler.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <utility>

#include "rosemarywinch/adapters/async/one_shot.h"
#include "rosemarywinch/adapters/wire_codec.h"

namespace rosemarywinch {

namespace {

// Well below the time after which a node takes a replica for unreachable.
constexpr Duration kMaxStoreWait{200};

void SendReply(const std::shared_ptr<FrameLink>& link,
               uint64_t exchange,
               const Outcome<PollResponse>& outcome) {
  PollReply reply;
  if (const auto* error = std::get_if<Error>(&outcome)) {
    reply.error = error->id;
    reply.detail = error->detail;
  } else {
    reply.response = std::get<PollResponse>(outcome);
  }
  link->Send({FrameType::kPollReply, exchange, ToWire(reply)});
}

}  // namespace

void PollHandler::Handle(const std::shared_ptr<FrameLink>& link,
                         const Frame& frame) {
  Outcome<PollRequest> decoded =
      Capture([&] { return FromWire<PollRequest>(frame.payload); });
  if (const auto* error = std::get_if<Error>(&decoded)) {
    PollReply reply;
    reply.error = error->id;
    reply.detail = error->detail;
    link->Send({FrameType::kPollReply, frame.exchange,
                EncodeReply(frame.payload, reply)});
    return;
  }
  auto& request = std::get<PollRequest>(decoded);
  if (request.departures.empty()) {
    Answer(link, frame.exchange, request);
    return;
  }
  asio::co_spawn(
      link->strand(),
      [this, link, exchange = frame.exchange, request = std::move(request)] {
        return StoreAndAnswer(link, exchange, request);
      },
      asio::detached);
}

// The backend server that leaves waits for its acknowledgement, so that the
// answer to the poll says at once that the departure is stored.
asio::awaitable<void> PollHandler::StoreAndAnswer(
    std::shared_ptr<FrameLink> link,
    uint64_t exchange,
    PollRequest request) {
  const auto stored = std::make_shared<OneShot<bool>>(link->strand());
  if (m_service.StoreDepartures(request, [stored] { stored->Set(true); })) {
    co_await stored->Wait(kMaxStoreWait);
  }
  Answer(link, exchange, request);
}

void PollHandler::Answer(const std::shared_ptr<FrameLink>& link,
                         uint64_t exchange,
                         const PollRequest& request) {
  SendReply(link, exchange, Capture([&] { return m_service.Poll(request); }));
}

}  // namespace rosemarywinch
