#ifndef ROSEMARYWINCH_ADAPTERS_CBOR_SCANNER_H_
#define ROSEMARYWINCH_ADAPTERS_CBOR_SCANNER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

#include "rosemarywinch/adapters/cbor_format.h"

namespace rosemarywinch {

/// First byte of a CBOR item and the number that follows it.
struct CborHead {
  cbor::MajorType type = cbor::MajorType::kUnsigned;
  uint8_t info = 0;
  uint64_t argument = 0;

  /// Returns the number of items that an array or a map holds, keys included.
  uint64_t items() const {
    return type == cbor::MajorType::kMap ? 2 * argument : argument;
  }
};

/// Removes the head of an item from the front of `rest`. Returns nothing if it
/// is truncated, reserved or of indefinite length.
std::optional<CborHead> ReadCborHead(std::string_view& rest);

/// Limits of a CBOR document.
struct CborLimits {
  size_t nesting = 0;
  /// Values, with the names of members counted.
  size_t values = 0;
};

/// Returns whether `bytes` is one well-formed CBOR item within `limits` that
/// consists of numbers, texts, arrays, maps and simple values, each of definite
/// length. Does not recurse. Complexity: linear in the number of values.
bool IsBoundedCbor(std::string_view bytes, const CborLimits& limits);

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_ADAPTERS_CBOR_SCANNER_H_
