#ifndef ROSEMARYWINCH_ADAPTERS_WIRE_CODEC_H_
#define ROSEMARYWINCH_ADAPTERS_WIRE_CODEC_H_

#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <variant>

#include "rosemarywinch/adapters/json_codec.h"
#include "rosemarywinch/adapters/message_codec.h"
#include "rosemarywinch/adapters/message_sinks.h"
#include "rosemarywinch/adapters/wire_reader.h"

namespace rosemarywinch {

namespace detail {

template <typename T>
void Read(WireReader& reader, T& value);

/// Reads the field `name`, and names it in errors. A repeated field number
/// replaces the earlier value.
template <typename T>
void ReadMember(std::string_view name, WireReader& reader, T& value) {
  try {
    value = T{};
    Read(reader, value);
  } catch (DecodeError& error) {
    throw std::move(error).Within(name);
  }
}

/// Reads the alternative with this field number. Returns whether there is one.
template <size_t kIndex, typename... Parts>
bool ReadAlternative(WireReader& reader,
                     const FieldInfo& field,
                     uint64_t number,
                     std::variant<Parts...>& value) {
  if constexpr (kIndex < sizeof...(Parts)) {
    if (field.alternative_numbers[kIndex] != number) {
      return ReadAlternative<kIndex + 1>(reader, field, number, value);
    }
    ReadMember(field.alternatives[kIndex], reader,
               value.template emplace<kIndex>());
    return true;
  }
  return false;
}

template <typename T>
void ReadFields(WireReader& reader, T& message) {
  for (uint64_t left = reader.BeginMap(); left > 0; --left) {
    const uint64_t number = reader.FieldNumber();
    bool known = false;
    VisitFields(message, [&](const FieldInfo& field, auto& value) {
      if (known) {
        return;
      }
      if constexpr (requires { value.index(); }) {
        known = ReadAlternative<1>(reader, field, number, value);
      } else if (field.number == number) {
        known = true;
        ReadMember(field.name, reader, value);
      }
    });
    if (!known) {
      reader.Skip();
    }
  }
}

template <typename T>
void ReadWhole(WireReader& reader, T& value) {
  const CborHead head = reader.Whole();
  if (head.type == cbor::MajorType::kUnsigned) {
    Require(std::in_range<T>(head.argument), "number out of range");
    value = static_cast<T>(head.argument);
    return;
  }
  constexpr auto kLargest =
      static_cast<uint64_t>(std::numeric_limits<int64_t>::max());
  Require(head.argument <= kLargest, "number out of range");
  const int64_t number = -1 - static_cast<int64_t>(head.argument);
  Require(std::in_range<T>(number), "number out of range");
  value = static_cast<T>(number);
}

template <typename T>
void ReadEnum(WireReader& reader, T& value) {
  int64_t number = 0;
  ReadWhole(reader, number);
  for (const auto& entry : EnumTable(T{})) {
    if (static_cast<int64_t>(entry.value) == number) {
      value = entry.value;
      return;
    }
  }
  Require(false, "unknown number");
}

template <typename T>
void ReadMap(WireReader& reader, T& value) {
  for (uint64_t left = reader.BeginMap(); left > 0; --left) {
    const std::string_view key = reader.Text();
    ReadMember(key, reader, value[std::string(key)]);
  }
}

inline void ReadDuration(WireReader& reader, Duration& value) {
  Duration span;
  ReadWhole(reader, span.ms);
  StoreDuration(span, value);
}

template <typename T>
void Read(WireReader& reader, T& value) {
  if constexpr (std::is_same_v<T, Duration>) {
    ReadDuration(reader, value);
  } else if constexpr (std::is_enum_v<T>) {
    ReadEnum(reader, value);
  } else if constexpr (IsOptional<T>::value) {
    Read(reader, value.emplace());
  } else if constexpr (IsVector<T>::value) {
    for (uint64_t left = reader.BeginArray(); left > 0; --left) {
      Read(reader, value.emplace_back());
    }
  } else if constexpr (IsMap<T>::value) {
    ReadMap(reader, value);
  } else if constexpr (std::is_same_v<T, bool>) {
    value = reader.Bool();
  } else if constexpr (std::is_same_v<T, std::string>) {
    value = reader.Text();
  } else if constexpr (SchemaMessage<T>) {
    ReadFields(reader, value);
  } else if constexpr (std::is_floating_point_v<T>) {
    StoreFraction(reader.Fraction(), value);
  } else {
    ReadWhole(reader, value);
  }
}

}  // namespace detail

/// Encodes a message for another process: CBOR maps with the field numbers of
/// the schema as keys, without fields that hold their default value. Enums and
/// the alternatives of a oneof are numbers.
template <SchemaMessage T>
std::string ToWire(const T& message) {
  WireSink sink;
  detail::Encode(sink, message);
  return sink.Take();
}

/// Decodes what ToWire() encoded; unknown field numbers are ignored. The limits
/// are those of FromBinary().
/// Errors: kMalformedMessage, whose detail names the field; kProtocolVersion
/// for a message of a process that still writes names of fields.
template <SchemaMessage T>
Result<T> FromWire(std::string_view bytes) {
  BOOST_LEAF_CHECK(CheckWire(bytes));
  return DecodeMessage<T>([&](T& message) {
    WireReader reader(bytes);
    detail::ReadFields(reader, message);
  });
}

/// Encodes the reply to `request` for the process that sent it. A process of
/// protocol version 1 cannot read ToWire(), but must learn why it is refused.
template <SchemaMessage T>
std::string EncodeReply(std::string_view request, const T& reply) {
  return HasNamedFields(request) ? ToBinary(reply) : ToWire(reply);
}

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_ADAPTERS_WIRE_CODEC_H_
