#ifndef ROSEMARYWINCH_ADAPTERS_JSON_CODEC_H_
#define ROSEMARYWINCH_ADAPTERS_JSON_CODEC_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <variant>

#include "rosemarywinch/adapters/message_codec.h"
#include "rosemarywinch/adapters/message_sinks.h"

namespace rosemarywinch {

using Json = nlohmann::json;

namespace detail {

template <typename T>
void Decode(const Json& json, T& value);

/// Decodes the member `name` of an object, and names it in errors.
template <typename T>
void DecodeMember(std::string_view name, const Json& json, T& value) {
  try {
    Decode(json, value);
  } catch (DecodeError& error) {
    throw std::move(error).Within(name);
  }
}

template <size_t kIndex, typename... Parts>
void DecodeAlternative(const Json& json,
                       const FieldInfo& field,
                       std::variant<Parts...>& value) {
  if constexpr (kIndex < sizeof...(Parts)) {
    const auto found = json.find(std::string(field.alternatives[kIndex]));
    if (found != json.end()) {
      DecodeMember(field.alternatives[kIndex], *found,
                   value.template emplace<kIndex>());
      return;
    }
    DecodeAlternative<kIndex + 1>(json, field, value);
  }
}

template <typename T>
void DecodeFields(const Json& json, T& message) {
  Require(json.is_object(), "expected an object");
  VisitFields(message, [&](const FieldInfo& field, auto& value) {
    if constexpr (requires { value.index(); }) {
      DecodeAlternative<1>(json, field, value);
    } else {
      const auto found = json.find(std::string(field.name));
      if (found != json.end()) {
        DecodeMember(field.name, *found, value);
      }
    }
  });
}

template <typename T>
void DecodeEnum(const Json& json, T& value) {
  if (json.is_string()) {
    const auto named = EnumFromName<T>(json.get_ref<const std::string&>());
    Require(named.has_value(), "unknown name");
    value = *named;
    return;
  }
  Require(json.is_number_integer(), "expected a name or a number");
  for (const auto& entry : EnumTable(T{})) {
    if (json == static_cast<int>(entry.value)) {
      value = entry.value;
      return;
    }
  }
  Require(false, "unknown number");
}

template <typename T>
void DecodeWhole(const Json& json, T& value) {
  Require(json.is_number_integer(), "expected a whole number");
  const bool in_range = json.is_number_unsigned()
                            ? std::in_range<T>(json.get<uint64_t>())
                            : std::in_range<T>(json.get<int64_t>());
  Require(in_range, "number out of range");
  value = json.get<T>();
}

inline void DecodeFraction(const Json& json, double& value) {
  Require(json.is_number(), "expected a number");
  StoreFraction(json.get<double>(), value);
}

inline void DecodeDuration(const Json& json, Duration& value) {
  Duration span;
  DecodeWhole(json, span.ms);
  StoreDuration(span, value);
}

template <typename T>
void Decode(const Json& json, T& value) {
  if constexpr (std::is_same_v<T, Duration>) {
    DecodeDuration(json, value);
  } else if constexpr (std::is_enum_v<T>) {
    DecodeEnum(json, value);
  } else if constexpr (IsOptional<T>::value) {
    Decode(json, value.emplace());
  } else if constexpr (IsVector<T>::value) {
    Require(json.is_array(), "expected an array");
    for (const Json& element : json) {
      Decode(element, value.emplace_back());
    }
  } else if constexpr (IsMap<T>::value) {
    Require(json.is_object(), "expected an object");
    for (const auto& [key, element] : json.items()) {
      DecodeMember(key, element, value[key]);
    }
  } else if constexpr (std::is_same_v<T, bool>) {
    Require(json.is_boolean(), "expected true or false");
    value = json.get<bool>();
  } else if constexpr (std::is_same_v<T, std::string>) {
    Require(json.is_string(), "expected a text");
    value = json.get_ref<const std::string&>();
  } else if constexpr (SchemaMessage<T>) {
    DecodeFields(json, value);
  } else if constexpr (std::is_floating_point_v<T>) {
    DecodeFraction(json, value);
  } else {
    DecodeWhole(json, value);
  }
}

}  // namespace detail

/// Converts a message of the schema to JSON; fields that hold their default
/// value are omitted.
template <SchemaMessage T>
Json ToJson(const T& message) {
  JsonSink sink;
  detail::Encode(sink, message);
  return sink.Take();
}

/// Converts JSON to a message; unknown fields are ignored. Numbers that the
/// type of their field cannot hold are rejected.
/// Errors: kMalformedMessage, whose detail names the field.
template <SchemaMessage T>
Result<T> FromJson(const Json& json) {
  return DecodeMessage<T>(
      [&](T& message) { detail::DecodeFields(json, message); });
}

/// Parses text as JSON of at most kMaxNesting levels and kMaxValues values. The
/// member `skipped` of the outermost object is read and left out; an empty name
/// stands for none. Errors: kMalformedMessage.
Result<Json> ParseJson(std::string_view text, std::string_view skipped = {});

/// Parses CBOR as ToBinary() writes it, within the limits of ParseJson().
/// Errors: kMalformedMessage.
Result<Json> ParseCbor(std::string_view bytes);

/// Writes JSON as compact text. Invalid UTF-8 is replaced.
std::string WriteJson(const Json& json);

/// Encodes a message as CBOR with the names of the fields, for storage.
template <SchemaMessage T>
std::string ToBinary(const T& message) {
  CborSink sink;
  detail::Encode(sink, message);
  return sink.Take();
}

/// Decodes what ToBinary() encoded. Errors: kMalformedMessage.
template <SchemaMessage T>
Result<T> FromBinary(std::string_view bytes) {
  BOOST_LEAF_AUTO(json, ParseCbor(bytes));
  return FromJson<T>(json);
}

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_ADAPTERS_JSON_CODEC_H_
