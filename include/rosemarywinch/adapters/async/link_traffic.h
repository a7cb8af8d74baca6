#ifndef ROSEMARYWINCH_ADAPTERS_ASYNC_LINK_TRAFFIC_H_
#define ROSEMARYWINCH_ADAPTERS_ASYNC_LINK_TRAFFIC_H_

#include <array>
#include <atomic>
#include <cstdint>
#include <string>

#include "rosemarywinch/schema/link.h"

namespace rosemarywinch {

/// Counts the bytes of the frames of all links of a process, headers of frames
/// included, by frame type and by the place of the peer. Thread-safe without a
/// lock.
class LinkTraffic {
 public:
  enum class Direction { kSent, kReceived };

  /// Counts a frame of `bytes` bytes. A type that is not in the schema is
  /// ignored.
  void Count(Direction direction,
             FrameType type,
             PeerPlace place,
             uint64_t bytes);

  /// Returns the counters that are not 0 in the Prometheus text format.
  std::string Text() const;

 private:
  struct Counts {
    std::atomic<uint64_t> bytes{0};
    std::atomic<uint64_t> frames{0};
  };
  static constexpr size_t kDirections = 2;
  static constexpr size_t kTypes = kFrameTypeTable.size();
  static constexpr size_t kPlaces = kPeerPlaceTable.size();

  std::array<std::array<std::array<Counts, kPlaces>, kTypes>, kDirections>
      m_counts;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_ADAPTERS_ASYNC_LINK_TRAFFIC_H_
