#ifndef ROSEMARYWINCH_ADAPTERS_TEXT_PACKER_H_
#define ROSEMARYWINCH_ADAPTERS_TEXT_PACKER_H_

#include <cstddef>
#include <string>

#include "rosemarywinch/core/error.h"

namespace rosemarywinch {

/// Largest text that Unpack() returns, in bytes.
inline constexpr size_t kMaxUnpackedBytes = 64u << 20;

/// Compresses `text`. What it shares with `reference` costs almost nothing, so
/// a receiver that holds an earlier version gets little more than the changes.
/// `reference` may be empty. Errors: kMalformedMessage if the text is larger
/// than kMaxUnpackedBytes.
Result<std::string> Pack(const std::string& text, const std::string& reference);

/// Restores the text from what Pack() returned for the same reference. Errors:
/// kMalformedMessage if `packed` is damaged, was made with another reference,
/// or holds a text larger than kMaxUnpackedBytes.
Result<std::string> Unpack(const std::string& packed,
                           const std::string& reference);

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_ADAPTERS_TEXT_PACKER_H_
