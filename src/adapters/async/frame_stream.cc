#include "rosemarywinch/adapters/async/frame_stream.h"

#include <algorithm>
#include <cstring>
#include <tuple>

namespace rosemarywinch {

namespace {

// Larger than the largest body with its headers.
constexpr uint32_t kMaxPayload = 80u << 20;
// Payloads above this size are moved, smaller ones are copied.
constexpr size_t kMaxCopied = 16'384;

// Payload length, frame type and exchange number, in host byte order.
std::string SerializeHeader(const Frame& frame) {
  std::string text(kFrameHeaderBytes, '\0');
  const auto length = static_cast<uint32_t>(frame.payload.size());
  std::memcpy(text.data(), &length, sizeof(length));
  text[sizeof(length)] = static_cast<char>(frame.type);
  std::memcpy(text.data() + sizeof(length) + 1, &frame.exchange,
              sizeof(frame.exchange));
  return text;
}

// Returns a frame without its payload, and the length of that.
std::pair<Frame, uint32_t> ParseHeader(const char* at) {
  Frame frame;
  uint32_t length = 0;
  std::memcpy(&length, at, sizeof(length));
  frame.type = static_cast<FrameType>(at[sizeof(length)]);
  std::memcpy(&frame.exchange, at + sizeof(length) + 1, sizeof(frame.exchange));
  return {std::move(frame), length};
}

}  // namespace

void FrameQueue::Add(Frame frame) {
  // Many small frames are written at once.
  if (m_parts.empty() || m_parts.back().size() > kMaxCopied) {
    m_parts.emplace_back();
  }
  m_parts.back() += SerializeHeader(frame);
  if (frame.payload.size() > kMaxCopied) {
    m_parts.push_back(std::move(frame.payload));
  } else {
    m_parts.back() += frame.payload;
  }
}

std::optional<Frame> FrameReader::Next() {
  if (ReadHeader() && ReadPayload()) {
    return std::exchange(m_incoming, std::nullopt);
  }
  m_buffer.erase(0, std::exchange(m_used, 0));
  // A buffer that grows by doubling would hold up to twice the payload.
  if (m_incoming && !m_incoming->skipped && !m_failed) {
    m_buffer.reserve(m_length + kMaxCopied);
  }
  return std::nullopt;
}

// Returns whether the header of the incoming frame has arrived and is valid.
bool FrameReader::ReadHeader() {
  if (m_incoming || m_failed) {
    return !m_failed;
  }
  if (m_buffer.size() - m_used < kFrameHeaderBytes) {
    return false;
  }
  std::tie(m_incoming, m_length) = ParseHeader(m_buffer.data() + m_used);
  m_used += kFrameHeaderBytes;
  m_failed = m_length > kMaxPayload;
  CheckMemory();
  return !m_failed;
}

// Only requests can be refused; other frames are always received.
void FrameReader::CheckMemory() {
  if (m_incoming->type != FrameType::kHopRequest) {
    return;
  }
  m_incoming->memory = MemoryShare(m_memory);
  m_incoming->skipped = !m_incoming->memory.GrowTo(m_length);
  m_skip_bytes = m_incoming->skipped ? m_length : 0;
}

// Returns whether the payload of the incoming frame has arrived.
bool FrameReader::ReadPayload() {
  const size_t available = m_buffer.size() - m_used;
  if (m_incoming->skipped) {
    const size_t skipped = std::min<size_t>(m_skip_bytes, available);
    m_used += skipped;
    m_skip_bytes -= static_cast<uint32_t>(skipped);
    return m_skip_bytes == 0;
  }
  if (available < m_length) {
    return false;
  }
  TakePayload();
  return true;
}

// A large payload keeps the memory of the buffer.
void FrameReader::TakePayload() {
  if (m_length <= kMaxCopied) {
    m_incoming->payload = m_buffer.substr(m_used, m_length);
    m_used += m_length;
    return;
  }
  std::string rest = m_buffer.substr(m_used + m_length);
  m_buffer.resize(m_used + m_length);
  m_buffer.erase(0, std::exchange(m_used, 0));
  m_incoming->payload = std::exchange(m_buffer, std::move(rest));
}

}  // namespace rosemarywinch
