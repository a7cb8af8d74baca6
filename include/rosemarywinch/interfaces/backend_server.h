#ifndef ROSEMARYWINCH_INTERFACES_BACKEND_SERVER_H_
#define ROSEMARYWINCH_INTERFACES_BACKEND_SERVER_H_

#include <string>

#include "rosemarywinch/core/time.h"
#include "rosemarywinch/interfaces/http.h"

namespace rosemarywinch {

/// What came of sending a request to the local backend server.
enum class BackendCallStatus {
  kAnswered,
  /// No byte of the request has left.
  kNotSent,
  /// The backend server broke the connection off, or sent what is no answer.
  kBroken,
  kTimedOut,
  /// Given up, because the caller has gone.
  kCallerGone,
};

struct BackendResult {
  BackendCallStatus status = BackendCallStatus::kNotSent;
  HttpResponse response;
  /// Nothing listens at the address.
  bool refused = false;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_INTERFACES_BACKEND_SERVER_H_
