#ifndef ROSEMARYWINCH_PROGRAMS_MESH_POLL_HANDLER_H_
#define ROSEMARYWINCH_PROGRAMS_MESH_POLL_HANDLER_H_

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <memory>

#include "rosemarywinch/adapters/async/frame_link.h"
#include "rosemarywinch/programs/control_service.h"
#include "rosemarywinch/schema/control.h"

namespace rosemarywinch {

/// Answers the polls that nodes send over links to a control replica.
/// Thread-safe.
class PollHandler {
 public:
  explicit PollHandler(ControlService& service) : m_service(service) {}

  /// Handles a poll request frame; the reply is sent on `link`.
  void Handle(const std::shared_ptr<FrameLink>& link, const Frame& frame);

 private:
  asio::awaitable<void> StoreAndAnswer(std::shared_ptr<FrameLink> link,
                                       uint64_t exchange,
                                       PollRequest request);
  void Answer(const std::shared_ptr<FrameLink>& link,
              uint64_t exchange,
              const PollRequest& request);

  ControlService& m_service;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_PROGRAMS_MESH_POLL_HANDLER_H_
