#include "rosemarywinch/programs/mesh/hop_client.h"

#include <utility>

#include "rosemarywinch/adapters/wire_codec.h"
#include "rosemarywinch/decisions/mesh/answer_check.h"

namespace rosemarywinch {

namespace {

// The other node ends a request at its deadline by itself and knows whether it
// ran; its response is awaited for this long after the deadline.
constexpr Duration kResponseGrace{150};

HopResponse FailedResponse(HopOutcome outcome, ErrorId reason) {
  HopResponse response;
  response.outcome = outcome;
  response.reason = reason;
  response.reached_backend = outcome == HopOutcome::kUnknown;
  return response;
}

// A node of an earlier version passes on answers that it has not checked. The
// request has run, but what it returned is not known.
HopResponse WithoutBrokenAnswer(HopResponse response) {
  if (response.outcome == HopOutcome::kAnswered && !IsSoundAnswer(response)) {
    response.outcome = HopOutcome::kUnknown;
    response.reason = ErrorId::kBackendFailed;
    response.headers.clear();
    response.body.clear();
  }
  return response;
}

// A node with another protocol version cannot read the request and refuses it.
HopResponse Decode(const std::string& payload) {
  Outcome<HopResponse> decoded =
      Capture([&] { return FromWire<HopResponse>(payload); });
  if (auto* response = std::get_if<HopResponse>(&decoded)) {
    return WithoutBrokenAnswer(std::move(*response));
  }
  if (std::get<Error>(decoded).id == ErrorId::kProtocolVersion) {
    return FailedResponse(HopOutcome::kNotRun, ErrorId::kProtocolVersion);
  }
  return FailedResponse(HopOutcome::kUnknown, ErrorId::kMalformedMessage);
}

}  // namespace

asio::awaitable<HopResponse> HopClient::Call(
    Member member,
    HopRequest request,
    std::shared_ptr<CancellationToken> cancellation) {
  if (member.node == m_node) {
    // A named object: GCC 12 destroys a braced one in a co_await expression
    // twice.
    CallSignals signals;
    signals.cancelled = std::move(cancellation);
    co_return co_await m_backend_proxy.Run(std::move(request),
                                           std::move(signals));
  }
  const TimePoint deadline = m_clock.Now() + request.time_left;
  ExchangeResult result = co_await Exchange(member, request, cancellation);
  if (result.status == ExchangeStatus::kStaleLink) {
    request.time_left = deadline - m_clock.Now();
    result = co_await Exchange(member, request, cancellation);
  }
  switch (result.status) {
    case ExchangeStatus::kReplied:
      co_return Decode(result.payload);
    case ExchangeStatus::kNotSent:
    case ExchangeStatus::kStaleLink:
      co_return FailedResponse(HopOutcome::kNotRun, ErrorId::kUnreachable);
    case ExchangeStatus::kTimedOut:
      co_return FailedResponse(HopOutcome::kUnknown, ErrorId::kDeadlinePassed);
    case ExchangeStatus::kLinkLost:
    case ExchangeStatus::kCallerGone:
      break;
  }
  co_return FailedResponse(HopOutcome::kUnknown, ErrorId::kBackendFailed);
}

asio::awaitable<ExchangeResult> HopClient::Exchange(
    const Member& member,
    const HopRequest& request,
    std::shared_ptr<CancellationToken> cancellation) {
  return m_links.Exchange(member.address, FrameType::kHopRequest,
                          ToWire(request), request.time_left + kResponseGrace,
                          std::move(cancellation), PlaceOf(member));
}

PeerPlace HopClient::PlaceOf(const Member& member) const {
  if (member.data_centre.empty()) {
    return PeerPlace::kUnknown;
  }
  return member.data_centre == m_data_centre ? PeerPlace::kSameDataCentre
                                             : PeerPlace::kOtherDataCentre;
}

}  // namespace rosemarywinch
