#ifndef ROSEMARYWINCH_ADAPTERS_ASYNC_FRAME_STREAM_H_
#define ROSEMARYWINCH_ADAPTERS_ASYNC_FRAME_STREAM_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "rosemarywinch/decisions/traffic/memory_budget.h"
#include "rosemarywinch/schema/link.h"

namespace rosemarywinch {

/// Bytes of a frame before its payload.
inline constexpr size_t kFrameHeaderBytes =
    sizeof(uint32_t) + sizeof(uint8_t) + sizeof(uint64_t);

/// One message on a link. Frames of one exchange carry its number.
struct Frame {
  FrameType type = FrameType::kPing;
  uint64_t exchange = 0;
  std::string payload;
  /// The payload did not fit in the memory of this process and was skipped. Set
  /// for received hop requests only.
  bool skipped = false;
  /// Memory of a received frame, counted for as long as the frame exists.
  MemoryShare memory = {};
};

/// Serialized frames that wait to be written. Large payloads are not copied.
class FrameQueue {
 public:
  void Add(Frame frame);
  bool empty() const { return m_parts.empty(); }
  /// Returns and removes all parts, in the order in which to write them.
  std::vector<std::string> Take() { return std::exchange(m_parts, {}); }

 private:
  std::vector<std::string> m_parts;
};

/// Takes frames out of the bytes of a connection. A large payload is not copied
/// again once it has arrived.
class FrameReader {
 public:
  /// `memory` bounds the payloads of hop requests, null: unbounded. Those that
  /// do not fit are skipped.
  explicit FrameReader(MemoryBudget* memory) : m_memory(memory) {}

  void Append(std::string_view bytes) { m_buffer += bytes; }

  /// Returns the next frame that has arrived completely.
  std::optional<Frame> Next();

  /// Size of the frame that Next() returned last, header included.
  uint64_t frame_bytes() const { return kFrameHeaderBytes + m_length; }

  /// Returns whether a frame was longer than any that is sent.
  bool failed() const { return m_failed; }

 private:
  bool ReadHeader();
  bool ReadPayload();
  void CheckMemory();
  void TakePayload();

  MemoryBudget* const m_memory;
  std::string m_buffer;
  /// Bytes at the start of `m_buffer` that are done with.
  size_t m_used = 0;
  /// The frame that is being received, if its header has arrived.
  std::optional<Frame> m_incoming;
  uint32_t m_length = 0;
  uint32_t m_skip_bytes = 0;
  bool m_failed = false;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_ADAPTERS_ASYNC_FRAME_STREAM_H_
