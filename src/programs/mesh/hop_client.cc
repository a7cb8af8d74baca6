#include "rosemarywinch/programs/mesh/hop_client.h"

#include <utility>

#include "rosemarywinch/adapters/json_codec.h"

namespace rosemarywinch {

namespace {

// The other node ends a request at its deadline by itself and knows whether it
// ran; its word is awaited for this much longer.
constexpr Duration kAnswerGrace{150};

HopResponse NoAnswer(HopOutcome outcome, ErrorId reason) {
  HopResponse response;
  response.outcome = outcome;
  response.reason = reason;
  response.reached_backend = outcome == HopOutcome::kUnknown;
  return response;
}

HopResponse Decode(const std::string& payload) {
  const Outcome<HopResponse> decoded =
      Capture([&] { return FromBinary<HopResponse>(payload); });
  if (const auto* response = std::get_if<HopResponse>(&decoded)) {
    return *response;
  }
  return NoAnswer(HopOutcome::kUnknown, ErrorId::kMalformedMessage);
}

}  // namespace

asio::awaitable<HopResponse> HopClient::Call(
    Member member,
    HopRequest request,
    std::shared_ptr<RequestScope> scope) {
  if (member.node == m_node) {
    co_return co_await m_door.Run(std::move(request), std::move(scope));
  }
  const Duration limit = request.time_left + kAnswerGrace;
  ExchangeResult result =
      co_await m_links.Exchange(member.address, FrameType::kHopRequest,
                                ToBinary(request), limit, std::move(scope));
  switch (result.end) {
    case ExchangeEnd::kReplied:
      co_return Decode(result.payload);
    case ExchangeEnd::kNotSent:
      co_return NoAnswer(HopOutcome::kNotRun, ErrorId::kUnreachable);
    case ExchangeEnd::kTimedOut:
      co_return NoAnswer(HopOutcome::kUnknown, ErrorId::kDeadlinePassed);
    case ExchangeEnd::kLinkLost:
    case ExchangeEnd::kCallerGone:
      break;
  }
  co_return NoAnswer(HopOutcome::kUnknown, ErrorId::kBackendFailed);
}

}  // namespace rosemarywinch
