#ifndef ROSEMARYWINCH_DECISIONS_MESH_ANSWER_CHECK_H_
#define ROSEMARYWINCH_DECISIONS_MESH_ANSWER_CHECK_H_

#include <algorithm>

#include "rosemarywinch/decisions/traffic/response_head.h"
#include "rosemarywinch/interfaces/mesh_protocol.h"

namespace rosemarywinch {

/// Returns whether `answer` was made for the request that was sent, and is not
/// a late copy of the answer to an earlier one. `reused` tells that the
/// connection has served earlier requests.
///
/// A refusal without an id is accepted on a new connection only: elsewhere it
/// could be a copy, and the request that it seems to refuse could run.
inline bool IsAnswerToRequest(const BackendAnswer& answer, bool reused) {
  return answer.belongs || (answer.not_run && answer.anonymous && !reused);
}

/// Returns whether the answer that another node passes on could have been sent
/// by a backend server: its status is final and its fields are sound.
inline bool IsSoundAnswer(const HopResponse& response) {
  return IsFinalStatus(static_cast<int>(response.status)) &&
         std::all_of(response.headers.begin(), response.headers.end(),
                     [](const HeaderField& field) {
                       return CheckField(field.name, field.value) ==
                              ResponseFault::kNone;
                     });
}

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_DECISIONS_MESH_ANSWER_CHECK_H_
