#include "rosemarywinch/adapters/async/link_traffic.h"

namespace rosemarywinch {

namespace {

void AppendCounter(std::string& text,
                   const std::string& name,
                   const std::string& labels,
                   uint64_t count) {
  text += "rosemarywinch_" + name + "{" + labels + "} " +
          std::to_string(count) + "\n";
}

}  // namespace

void LinkTraffic::Count(Direction direction,
                        FrameType type,
                        PeerPlace place,
                        uint64_t bytes) {
  const auto index = static_cast<size_t>(type);
  if (index >= kTypes) {
    return;
  }
  Counts& counts = m_counts[static_cast<size_t>(direction)][index]
                           [static_cast<size_t>(place)];
  counts.bytes.fetch_add(bytes, std::memory_order_relaxed);
  counts.frames.fetch_add(1, std::memory_order_relaxed);
}

std::string LinkTraffic::Text() const {
  std::string text;
  for (size_t direction = 0; direction < kDirections; ++direction) {
    const std::string verb = direction == 0 ? "sent" : "received";
    for (const auto& type : kFrameTypeTable) {
      for (const auto& place : kPeerPlaceTable) {
        const Counts& counts =
            m_counts[direction][static_cast<size_t>(type.value)]
                    [static_cast<size_t>(place.value)];
        if (counts.frames == 0) {
          continue;
        }
        const std::string labels = "type=\"" + std::string(type.name) +
                                   "\",peer=\"" + std::string(place.name) +
                                   "\"";
        AppendCounter(text, "link_bytes_" + verb + "_total", labels,
                      counts.bytes);
        AppendCounter(text, "link_frames_" + verb + "_total", labels,
                      counts.frames);
      }
    }
  }
  return text;
}

}  // namespace rosemarywinch
