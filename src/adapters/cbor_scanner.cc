#include "rosemarywinch/adapters/cbor_scanner.h"

#include <cstdint>
#include <optional>
#include <vector>

#include "rosemarywinch/adapters/cbor_format.h"

namespace rosemarywinch {

namespace {

using cbor::MajorType;

class CborScanner {
 public:
  CborScanner(std::string_view bytes, const CborLimits& limits)
      : m_rest(bytes), m_limits(limits) {}

  bool Scan() {
    // Items that are still to come, for each open array or map.
    std::vector<uint64_t> open{1};
    while (!open.empty()) {
      if (open.back() == 0) {
        open.pop_back();
        continue;
      }
      --open.back();
      const std::optional<CborHead> head = ReadCborHead(m_rest);
      const bool bounded = head && ++m_values <= m_limits.values;
      if (!bounded || !SkipContent(*head)) {
        return false;
      }
      if (head->type == MajorType::kArray || head->type == MajorType::kMap) {
        open.push_back(head->items());
      }
      if (open.size() > m_limits.nesting + 1) {
        return false;
      }
    }
    return m_rest.empty();
  }

 private:
  // Skips the bytes of a text. Returns whether the type is supported and no
  // more is promised than the rest can hold: an item takes a byte at least.
  bool SkipContent(const CborHead& head) {
    switch (head.type) {
      case MajorType::kUnsigned:
      case MajorType::kNegative:
        return true;
      case MajorType::kText:
        if (head.argument > m_rest.size()) {
          return false;
        }
        m_rest.remove_prefix(head.argument);
        return true;
      case MajorType::kArray:
        return head.argument <= m_rest.size();
      case MajorType::kMap:
        return head.argument <= m_rest.size() / 2;
      case MajorType::kSimple:
        return (head.info >= cbor::kFalse && head.info <= cbor::kNull) ||
               head.info >= cbor::kHalfFloat;
      case MajorType::kBytes:
      case MajorType::kTag:
        break;
    }
    return false;
  }

  std::string_view m_rest;
  const CborLimits m_limits;
  size_t m_values = 0;
};

}  // namespace

std::optional<CborHead> ReadCborHead(std::string_view& rest) {
  if (rest.empty()) {
    return std::nullopt;
  }
  const auto first = static_cast<uint8_t>(rest.front());
  rest.remove_prefix(1);
  CborHead head;
  head.type = static_cast<MajorType>(first >> cbor::kMajorTypeShift);
  head.info = first & cbor::kInfoMask;
  if (head.info < cbor::kOneByteArgument) {
    head.argument = head.info;
    return head;
  }
  if (head.info > cbor::kEightByteArgument) {
    return std::nullopt;
  }
  const size_t length = size_t{1} << (head.info - cbor::kOneByteArgument);
  if (rest.size() < length) {
    return std::nullopt;
  }
  for (const char byte : rest.substr(0, length)) {
    head.argument =
        (head.argument << cbor::kBitsPerByte) | static_cast<uint8_t>(byte);
  }
  rest.remove_prefix(length);
  return head;
}

bool IsBoundedCbor(std::string_view bytes, const CborLimits& limits) {
  return CborScanner(bytes, limits).Scan();
}

}  // namespace rosemarywinch
