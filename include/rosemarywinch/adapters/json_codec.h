#ifndef ROSEMARYWINCH_ADAPTERS_JSON_CODEC_H_
#define ROSEMARYWINCH_ADAPTERS_JSON_CODEC_H_

#include <concepts>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <variant>
#include <vector>

#include "rosemarywinch/core/error.h"
#include "rosemarywinch/core/schema_support.h"

namespace rosemarywinch {

using Json = nlohmann::json;

/// Satisfied by the message types of the schema.
template <typename T>
concept SchemaMessage = std::is_class_v<T> && requires(T& message) {
  VisitFields(message, [](const FieldInfo&, auto&) {});
};

namespace detail {

template <typename T>
Json Encode(const T& value);
template <typename T>
void Decode(const Json& json, T& value);

template <typename T>
Json EncodeFields(const T& message) {
  Json json = Json::object();
  static const T kEmpty{};
  VisitFieldPairs(
      message, kEmpty,
      [&](const FieldInfo& field, const auto& value, const auto& empty) {
        if (value == empty) {
          return;
        }
        if constexpr (requires { value.index(); }) {
          const auto name = field.alternatives[value.index()];
          json[std::string(name)] =
              std::visit([](const auto& part) { return Encode(part); }, value);
        } else {
          json[std::string(field.name)] = Encode(value);
        }
      });
  return json;
}

template <size_t kIndex, typename... Parts>
void DecodeAlternative(const Json& json,
                       const FieldInfo& field,
                       std::variant<Parts...>& value) {
  if constexpr (kIndex < sizeof...(Parts)) {
    const auto found = json.find(std::string(field.alternatives[kIndex]));
    if (found != json.end()) {
      Decode(*found, value.template emplace<kIndex>());
      return;
    }
    DecodeAlternative<kIndex + 1>(json, field, value);
  }
}

template <typename T>
void DecodeFields(const Json& json, T& message) {
  if (!json.is_object()) {
    throw Json::type_error::create(302, "message is not a JSON object", &json);
  }
  VisitFields(message, [&](const FieldInfo& field, auto& value) {
    if constexpr (requires { value.index(); }) {
      DecodeAlternative<1>(json, field, value);
    } else {
      const auto found = json.find(std::string(field.name));
      if (found != json.end()) {
        Decode(*found, value);
      }
    }
  });
}

template <typename T>
struct IsVector : std::false_type {};
template <typename T>
struct IsVector<std::vector<T>> : std::true_type {};
template <typename T>
struct IsMap : std::false_type {};
template <typename T>
struct IsMap<std::map<std::string, T>> : std::true_type {};
template <typename T>
struct IsOptional : std::false_type {};
template <typename T>
struct IsOptional<std::optional<T>> : std::true_type {};

template <typename T>
Json Encode(const T& value) {
  if constexpr (std::is_same_v<T, std::monostate>) {
    return Json::object();
  } else if constexpr (std::is_same_v<T, Duration>) {
    return value.ms;
  } else if constexpr (std::is_enum_v<T>) {
    return static_cast<int>(value);
  } else if constexpr (IsOptional<T>::value) {
    return Encode(*value);
  } else if constexpr (IsVector<T>::value) {
    Json array = Json::array();
    for (const auto& element : value) {
      array.push_back(Encode(element));
    }
    return array;
  } else if constexpr (IsMap<T>::value) {
    Json object = Json::object();
    for (const auto& [key, element] : value) {
      object[key] = Encode(element);
    }
    return object;
  } else if constexpr (SchemaMessage<T>) {
    return EncodeFields(value);
  } else {
    return Json(value);
  }
}

inline void RequireType(const Json& json, bool holds, const char* message) {
  if (!holds) {
    throw Json::type_error::create(302, message, &json);
  }
}

template <typename T>
void DecodeEnum(const Json& json, T& value) {
  if (json.is_string()) {
    const auto named = EnumFromName<T>(json.get_ref<const std::string&>());
    if (!named) {
      throw Json::out_of_range::create(401, "unknown enum name", &json);
    }
    value = *named;
    return;
  }
  const int number = json.get<int>();
  for (const auto& entry : EnumTable(T{})) {
    if (static_cast<int>(entry.value) == number) {
      value = entry.value;
      return;
    }
  }
  throw Json::out_of_range::create(401, "unknown enum number", &json);
}

template <typename T>
void DecodeNumber(const Json& json, T& value) {
  const bool type_matches =
      std::is_floating_point_v<T>
          ? json.is_number()
          : json.is_number_unsigned() ||
                (std::is_signed_v<T> && json.is_number_integer());
  if (!type_matches) {
    throw Json::type_error::create(302, "number of the wrong type", &json);
  }
  value = json.get<T>();
}

template <typename T>
void Decode(const Json& json, T& value) {
  if constexpr (std::is_same_v<T, Duration>) {
    DecodeNumber(json, value.ms);
  } else if constexpr (std::is_enum_v<T>) {
    DecodeEnum(json, value);
  } else if constexpr (IsOptional<T>::value) {
    Decode(json, value.emplace());
  } else if constexpr (IsVector<T>::value) {
    RequireType(json, json.is_array(), "expected an array");
    for (const Json& element : json) {
      Decode(element, value.emplace_back());
    }
  } else if constexpr (IsMap<T>::value) {
    RequireType(json, json.is_object(), "expected an object");
    for (const auto& [key, element] : json.items()) {
      Decode(element, value[key]);
    }
  } else if constexpr (std::is_same_v<T, bool> ||
                       std::is_same_v<T, std::string>) {
    value = json.get<T>();
  } else if constexpr (SchemaMessage<T>) {
    DecodeFields(json, value);
  } else {
    DecodeNumber(json, value);
  }
}

}  // namespace detail

/// Converts a message of the schema to JSON; fields that hold their default
/// value are omitted.
template <SchemaMessage T>
Json ToJson(const T& message) {
  return detail::Encode(message);
}

/// Converts JSON to a message; unknown fields are ignored.
/// Errors: kMalformedMessage.
template <SchemaMessage T>
Result<T> FromJson(const Json& json) {
  T message;
  try {
    detail::DecodeFields(json, message);
  } catch (const Json::exception& error) {
    return Fail(ErrorId::kMalformedMessage, error.what());
  }
  return message;
}

/// Parses text as JSON. Errors: kMalformedMessage.
Result<Json> ParseJson(std::string_view text);

/// Encodes a message as CBOR, for storage and for frames between processes.
template <SchemaMessage T>
std::string ToBinary(const T& message) {
  std::string bytes;
  Json::to_cbor(ToJson(message), bytes);
  return bytes;
}

/// Decodes what ToBinary() encoded. Errors: kMalformedMessage.
template <SchemaMessage T>
Result<T> FromBinary(std::string_view bytes) {
  const Json json = Json::from_cbor(bytes, /*strict=*/true,
                                    /*allow_exceptions=*/false);
  if (json.is_discarded()) {
    return Fail(ErrorId::kMalformedMessage, "not valid CBOR");
  }
  return FromJson<T>(json);
}

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_ADAPTERS_JSON_CODEC_H_
