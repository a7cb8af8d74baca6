#ifndef ROSEMARYWINCH_DECISIONS_TRAFFIC_HEADERS_H_
#define ROSEMARYWINCH_DECISIONS_TRAFFIC_HEADERS_H_

#include <string>

namespace rosemarywinch::headers {

/// From callers: longest time to an answer, in milliseconds.
inline const std::string kTimeout = "X-Request-Timeout-Ms";
/// From callers: id of a request that runs at most once; also offered back.
inline const std::string kIdempotencyKey = "Idempotency-Key";
/// To backend servers, who pass it on with calls of their own.
inline const std::string kContext = "X-Request-Context";
/// To callers: id under which `status --why` finds the request.
inline const std::string kRequestId = "X-Request-Id";
/// To callers: "ran", "not-run" or "unknown".
inline const std::string kOutcome = "X-Request-Outcome";
/// To callers: stable number of the refusal.
inline const std::string kRefusalReason = "X-Refusal-Reason";
/// To callers: path of the settings tree that set the limit.
inline const std::string kRefusalLevel = "X-Refusal-Level";
inline const std::string kRetryAfter = "Retry-After";
/// Between nodes: the encoded HopEnvelope.
inline const std::string kHop = "X-Rosemarywinch-Hop";
/// Between nodes: unspent retries of the whole request.
inline const std::string kRetriesLeft = "X-Rosemarywinch-Retries-Left";

}  // namespace rosemarywinch::headers

#endif  // ROSEMARYWINCH_DECISIONS_TRAFFIC_HEADERS_H_
