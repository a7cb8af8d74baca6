#ifndef ROSEMARYWINCH_PROGRAMS_HOP_H_
#define ROSEMARYWINCH_PROGRAMS_HOP_H_

#include <cstdint>
#include <string>
#include <variant>

#include "rosemarywinch/core/error.h"
#include "rosemarywinch/core/time.h"
#include "rosemarywinch/interfaces/http.h"
#include "rosemarywinch/schema/control.h"

namespace rosemarywinch {

/// The backend server answered.
struct Ran {
  HttpResponse response;
};
/// The request certainly did not run.
struct NotRun {
  Error error;
  Duration retry_after;
};
/// The request may have run.
struct UnknownOutcome {
  Error error;
};

/// What became of a request.
using CallOutcome = std::variant<Ran, NotRun, UnknownOutcome>;

struct CallReport {
  CallOutcome outcome;
  /// Unspent part of the retry allowance of the whole request.
  uint32_t retries_left = 0;
  /// Time that the backend server took, with the calls that it made.
  Duration backend_time;
};

/// Encodes a call from one node to another.
HttpRequest EncodeHop(const HopEnvelope& envelope, HttpRequest request);

/// Reads the envelope of a call and removes it from the request.
/// Errors: kMalformedMessage, kProtocolVersion.
Result<HopEnvelope> DecodeHop(HttpRequest& request);

/// Encodes what became of a call, for the node that made it.
HttpResponse EncodeReport(const CallReport& report);

/// Reads what EncodeReport() wrote.
CallReport DecodeReport(HttpResponse response);

/// Writes a refusal for callers: status, reason, remedy and outcome.
HttpResponse RefusalResponse(const Error& error,
                             std::string_view outcome,
                             Duration retry_after);

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_PROGRAMS_HOP_H_
