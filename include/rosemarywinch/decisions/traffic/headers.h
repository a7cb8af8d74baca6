#ifndef ROSEMARYWINCH_DECISIONS_TRAFFIC_HEADERS_H_
#define ROSEMARYWINCH_DECISIONS_TRAFFIC_HEADERS_H_

#include <string>

namespace rosemarywinch::headers {

/// From callers: maximum time to a response, in milliseconds.
inline const std::string kTimeout = "X-Request-Timeout-Ms";
/// From callers: id of a request that runs at most once. Also sent to callers,
/// to offer an id.
inline const std::string kIdempotencyKey = "Idempotency-Key";
/// To backend servers, which copy it to their own nested calls.
inline const std::string kContext = "X-Request-Context";
/// To callers: id to look the request up with `status --why`.
inline const std::string kRequestId = "X-Request-Id";
/// To callers: "ran", "not-run" or "unknown".
inline const std::string kOutcome = "X-Request-Outcome";
/// To callers: stable error number of a refusal.
inline const std::string kRefusalReason = "X-Refusal-Reason";
/// To callers: path in the settings tree at which the exceeded limit is set.
inline const std::string kRefusalLevel = "X-Refusal-Level";
inline const std::string kRetryAfter = "Retry-After";
/// Between nodes: the encoded HopEnvelope.
inline const std::string kHop = "X-Rosemarywinch-Hop";
/// Between nodes: retries that the whole request has left.
inline const std::string kRetriesLeft = "X-Rosemarywinch-Retries-Left";

}  // namespace rosemarywinch::headers

#endif  // ROSEMARYWINCH_DECISIONS_TRAFFIC_HEADERS_H_
