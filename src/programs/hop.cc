#include "rosemarywinch/programs/hop.h"

#include <algorithm>
#include <utility>

#include "rosemarywinch/adapters/json_codec.h"
#include "rosemarywinch/core/text_value.h"
#include "rosemarywinch/decisions/consensus/replica.h"
#include "rosemarywinch/decisions/traffic/headers.h"

namespace rosemarywinch {

namespace {

constexpr std::string_view kRan = "ran";
constexpr std::string_view kNotRun = "not-run";
constexpr std::string_view kUnknown = "unknown";
constexpr int64_t kMsPerSecond = 1000;
// Upper bound of the numbers that nodes exchange in headers.
constexpr double kMaxHeaderNumber = 1e9;
const std::string kBackendTime = "X-Rosemarywinch-Backend-Ms";

uint64_t TakeNumber(HttpHeaders& headers, const std::string& name) {
  const std::string* text = headers.Find(name);
  const double value = text == nullptr ? 0 : ParseNumber(*text).value_or(0);
  headers.Remove(name);
  return static_cast<uint64_t>(std::clamp(value, 0.0, kMaxHeaderNumber));
}

ErrorId ReasonOf(const HttpResponse& response) {
  const std::string* text = response.headers.Find(headers::kRefusalReason);
  const bool numbered = text != nullptr && text->starts_with('E');
  const int number =
      numbered ? ParseWhole<int>(text->substr(1)).value_or(0) : 0;
  for (const auto& entry : kErrorIdTable) {
    const bool same = static_cast<int>(entry.value) == number;
    if (same && entry.value != ErrorId::kNone) {
      return entry.value;
    }
  }
  return ErrorId::kBackendFailed;
}

}  // namespace

HttpRequest EncodeHop(const HopEnvelope& envelope, HttpRequest request) {
  request.headers.Remove(headers::kHop);
  request.headers.Add(headers::kHop, WriteJson(ToJson(envelope)));
  return request;
}

Result<HopEnvelope> DecodeHop(HttpRequest& request) {
  const std::string* text = request.headers.Find(headers::kHop);
  if (text == nullptr) {
    return Fail(ErrorId::kMalformedMessage, headers::kHop + " is missing");
  }
  BOOST_LEAF_AUTO(json, ParseJson(*text));
  BOOST_LEAF_AUTO(envelope, FromJson<HopEnvelope>(json));
  if (envelope.protocol_version != consensus::kProtocolVersion) {
    return Fail(ErrorId::kProtocolVersion,
                std::to_string(envelope.protocol_version));
  }
  request.headers.Remove(headers::kHop);
  return envelope;
}

HttpResponse RefusalResponse(const Error& error,
                             std::string_view outcome,
                             Duration retry_after) {
  HttpResponse response;
  response.status = error.HttpStatus();
  response.headers.Add("Content-Type", "application/json");
  response.headers.Add(headers::kOutcome, std::string(outcome));
  response.headers.Add(headers::kRefusalReason,
                       "E" + std::to_string(static_cast<int>(error.id)));
  if (retry_after > Duration{0}) {
    const int64_t seconds = (retry_after.ms + kMsPerSecond - 1) / kMsPerSecond;
    response.headers.Add(headers::kRetryAfter, std::to_string(seconds));
  }
  const Json body = {{"error", error.Message()}, {"outcome", outcome}};
  response.body = WriteJson(body) + "\n";
  return response;
}

HttpResponse EncodeReport(const CallReport& report) {
  HttpResponse response = std::visit(
      Overloaded{[](const Ran& ran) {
                   HttpResponse answer = ran.response;
                   answer.headers.Remove(headers::kOutcome);
                   answer.headers.Add(headers::kOutcome, std::string(kRan));
                   return answer;
                 },
                 [](const NotRun& refused) {
                   return RefusalResponse(refused.error, kNotRun,
                                          refused.retry_after);
                 },
                 [](const UnknownOutcome& unknown) {
                   return RefusalResponse(unknown.error, kUnknown, {});
                 }},
      report.outcome);
  response.headers.Add(headers::kRetriesLeft,
                       std::to_string(report.retries_left));
  response.headers.Add(kBackendTime, std::to_string(report.backend_time.ms));
  return response;
}

CallReport DecodeReport(HttpResponse response) {
  CallReport report;
  report.retries_left = static_cast<uint32_t>(
      TakeNumber(response.headers, headers::kRetriesLeft));
  report.backend_time.ms =
      static_cast<int64_t>(TakeNumber(response.headers, kBackendTime));
  const std::string* found = response.headers.Find(headers::kOutcome);
  const std::string outcome = found == nullptr ? "" : *found;
  if (outcome == kRan) {
    report.outcome = Ran{std::move(response)};
  } else if (outcome == kNotRun) {
    const uint64_t seconds = TakeNumber(response.headers, headers::kRetryAfter);
    report.outcome =
        NotRun{{ReasonOf(response), {}},
               Duration{static_cast<int64_t>(seconds) * kMsPerSecond}};
  } else {
    report.outcome = UnknownOutcome{{ReasonOf(response), {}}};
  }
  return report;
}

}  // namespace rosemarywinch
