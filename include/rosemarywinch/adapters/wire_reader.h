#ifndef ROSEMARYWINCH_ADAPTERS_WIRE_READER_H_
#define ROSEMARYWINCH_ADAPTERS_WIRE_READER_H_

#include <cstdint>
#include <string_view>

#include "rosemarywinch/adapters/cbor_scanner.h"
#include "rosemarywinch/core/error.h"

namespace rosemarywinch {

/// Reads the items of a CBOR document one after the other. Each function throws
/// detail::DecodeError if the next item is of another type. Does not recurse.
class WireReader {
 public:
  explicit WireReader(std::string_view bytes) : m_rest(bytes) {}

  /// Opens a map and returns the number of its members.
  uint64_t BeginMap();

  /// Opens an array and returns the number of its elements.
  uint64_t BeginArray();

  /// Reads the key of a member of a message: the number of a field.
  uint64_t FieldNumber();

  /// Reads a whole number. A negative one has type MajorType::kNegative and is
  /// -1 minus the argument.
  CborHead Whole();

  double Fraction();
  bool Bool();

  /// Returns a text within the document.
  std::string_view Text();

  /// Skips the next item and all that it holds.
  void Skip();

 private:
  CborHead Head();

  std::string_view m_rest;
};

/// Returns whether a message has a name as its first key, as those of protocol
/// version 1.
bool HasNamedFields(std::string_view bytes);

/// Returns whether `bytes` can be read as a message of the current protocol
/// version within the limits of the codec. Errors: kMalformedMessage;
/// kProtocolVersion if it has the names of its fields as keys, as version 1.
Result<Done> CheckWire(std::string_view bytes);

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_ADAPTERS_WIRE_READER_H_
