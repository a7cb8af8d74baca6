#ifndef ROSEMARYWINCH_PROGRAMS_HOP_H_
#define ROSEMARYWINCH_PROGRAMS_HOP_H_

#include <cstdint>
#include <string>
#include <variant>

#include "rosemarywinch/core/error.h"
#include "rosemarywinch/core/time.h"
#include "rosemarywinch/interfaces/http.h"
#include "rosemarywinch/schema/hop.h"

namespace rosemarywinch {

/// The backend server responded.
struct Ran {
  HttpResponse response;
};
/// The request was definitely not executed.
struct NotRun {
  Error error;
  Duration retry_after;
};
/// The request may have been executed.
struct UnknownOutcome {
  Error error;
};

/// Outcome of a request.
using CallOutcome = std::variant<Ran, NotRun, UnknownOutcome>;

struct CallReport {
  CallOutcome outcome;
  /// Unspent part of the retry allowance of the whole request.
  uint32_t retries_left = 0;
  /// Time spent in the backend server, including its nested calls.
  Duration backend_time;
};

/// Adds the envelope of a call between nodes to the request.
HttpRequest EncodeHop(const HopEnvelope& envelope, HttpRequest request);

/// Decodes the envelope of a call and removes it from the request.
/// Errors: kMalformedMessage, kProtocolVersion.
Result<HopEnvelope> DecodeHop(HttpRequest& request);

/// Encodes the outcome of a call for the node that made it.
HttpResponse EncodeReport(const CallReport& report);

/// Decodes a response written by EncodeReport().
CallReport DecodeReport(HttpResponse response);

/// Builds the response to a rejected request: status, reason, remedy and
/// outcome.
HttpResponse RefusalResponse(const Error& error,
                             std::string_view outcome,
                             Duration retry_after);

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_PROGRAMS_HOP_H_
