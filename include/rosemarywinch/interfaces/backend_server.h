#ifndef ROSEMARYWINCH_INTERFACES_BACKEND_SERVER_H_
#define ROSEMARYWINCH_INTERFACES_BACKEND_SERVER_H_

#include <string>

#include "rosemarywinch/core/time.h"
#include "rosemarywinch/interfaces/http.h"
#include "rosemarywinch/schema/response.h"

namespace rosemarywinch {

/// Outcome of sending a request to the local backend server.
enum class BackendCallStatus {
  kAnswered,
  /// No byte of the request was sent.
  kNotSent,
  /// The backend server closed the connection or sent an invalid response.
  kBroken,
  kTimedOut,
  /// Cancelled because the caller disconnected.
  kCallerGone,
};

struct BackendResult {
  BackendCallStatus status = BackendCallStatus::kNotSent;
  HttpResponse response;
  /// What is wrong with the response that was read last. kNone if none was
  /// broken, for instance if the time limit expired while it was read.
  ResponseFault fault = ResponseFault::kNone;
  /// The connection was refused: nothing listens at the address.
  bool refused = false;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_INTERFACES_BACKEND_SERVER_H_
