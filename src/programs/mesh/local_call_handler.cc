#include "rosemarywinch/programs/mesh/local_call_handler.h"

#include <string>
#include <utility>

#include "rosemarywinch/adapters/log.h"

namespace rosemarywinch {

namespace {

constexpr int kBadRequest = 400;
// A backend server gives up a call after 1 s.
constexpr Duration kStoreTimeout{850};

HttpResponse Acknowledgement() {
  HttpResponse response;
  response.headers.Add("Content-Type", "application/json");
  response.body = "{}";
  return response;
}

}  // namespace

asio::awaitable<HttpResponse> LocalCallHandler::Handle(
    const HttpRequest& request) {
  return std::visit([this](auto call) { return Answer(std::move(call)); },
                    m_protocol.ReadLocalCall(request));
}

asio::awaitable<HttpResponse> LocalCallHandler::Answer(ReportCall report) {
  if (m_backend_proxy.OnReport(report) == ReportOutcome::kInvalid) {
    LogEvent(LogLevel::kInfo, "report_invalid",
             {{"backend", report.backend_id}});
    HttpResponse invalid = Acknowledgement();
    invalid.status = kBadRequest;
    co_return invalid;
  }
  const auto departure = DepartureIn(report.backend_id, report.report);
  if (!departure) {
    co_return Acknowledgement();
  }
  co_return co_await AcknowledgeDeparture(*departure);
}

asio::awaitable<HttpResponse> LocalCallHandler::Answer(WithdrawCall withdraw) {
  const auto departure = m_backend_proxy.OnWithdraw(withdraw);
  if (!departure) {
    LogEvent(LogLevel::kInfo, "notice_invalid",
             {{"backend", withdraw.backend_id}});
    co_return Refuse(
        Error{ErrorId::kBadValue, "born of " + withdraw.backend_id});
  }
  co_return co_await AcknowledgeDeparture(*departure);
}

asio::awaitable<HttpResponse> LocalCallHandler::Answer(UnknownCall unknown) {
  LogEvent(LogLevel::kInfo, "local_call_refused",
           {{"error", unknown.error.Message()}});
  co_return Refuse(std::move(unknown.error));
}

// An acknowledged departure binds later processes of this node too, so that
// control must have stored it.
asio::awaitable<HttpResponse> LocalCallHandler::AcknowledgeDeparture(
    Departure departure) {
  const std::string id = departure.backend_id;
  if (co_await m_backend_proxy.WaitUntilStored(std::move(departure),
                                               kStoreTimeout)) {
    co_return Acknowledgement();
  }
  LogEvent(LogLevel::kInfo, "departure_not_stored", {{"backend", id}});
  co_return Refuse(Error{ErrorId::kCutOff, "departure not stored"});
}

HttpResponse LocalCallHandler::Refuse(Error error) {
  Refusal refusal;
  refusal.error = std::move(error);
  if (refusal.error.id == ErrorId::kBadValue) {
    refusal.status = kBadRequest;
  }
  return m_protocol.WriteRefusal(refusal);
}

}  // namespace rosemarywinch
