#ifndef ROSEMARYWINCH_ADAPTERS_CBOR_FORMAT_H_
#define ROSEMARYWINCH_ADAPTERS_CBOR_FORMAT_H_

#include <cstdint>

namespace rosemarywinch::cbor {

/// Upper three bits of the first byte of an item (RFC 8949).
enum class MajorType : uint8_t {
  kUnsigned = 0,
  kNegative = 1,
  kBytes = 2,
  kText = 3,
  kArray = 4,
  kMap = 5,
  kTag = 6,
  kSimple = 7,
};

inline constexpr int kMajorTypeShift = 5;
/// Lower five bits of the first byte: a small argument, or the length of one.
inline constexpr uint8_t kInfoMask = 0x1f;
/// Smaller arguments stand in the first byte itself.
inline constexpr uint8_t kOneByteArgument = 24;
inline constexpr uint8_t kFourByteArgument = 26;
inline constexpr uint8_t kEightByteArgument = 27;
/// Values of the info of a simple item.
inline constexpr uint8_t kFalse = 20;
inline constexpr uint8_t kTrue = 21;
inline constexpr uint8_t kNull = 22;
inline constexpr uint8_t kHalfFloat = 25;
inline constexpr int kBitsPerByte = 8;

}  // namespace rosemarywinch::cbor

#endif  // ROSEMARYWINCH_ADAPTERS_CBOR_FORMAT_H_
