#ifndef ROSEMARYWINCH_ADAPTERS_MESSAGE_CODEC_H_
#define ROSEMARYWINCH_ADAPTERS_MESSAGE_CODEC_H_

#include <cmath>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

#include "rosemarywinch/core/error.h"
#include "rosemarywinch/core/schema_support.h"
#include "rosemarywinch/core/text_value.h"

namespace rosemarywinch {

/// Largest nesting of objects and arrays in a message. Deeper ones are rejected
/// because encoders recurse.
inline constexpr size_t kMaxNesting = 32;

/// Largest number of values in a message, which bounds the memory of the
/// decoded form.
inline constexpr size_t kMaxValues = 400'000;

/// Longest path of a field in an error, in bytes. Names in it may come from
/// outside.
inline constexpr size_t kMaxPathBytes = 200;

/// Satisfied by the message types of the schema.
template <typename T>
concept SchemaMessage = std::is_class_v<T> && requires(T& message) {
  VisitFields(message, [](const FieldInfo&, auto&) {});
};

namespace detail {

/// Why a value cannot be decoded, and where it is in the message. Thrown within
/// the codec only.
struct DecodeError {
  std::string path;
  std::string problem;

  /// Returns the error as seen from the enclosing value.
  DecodeError Within(std::string_view name) && {
    const std::string rest = path.empty() ? "" : "." + path;
    return {std::string(name) + rest, std::move(problem)};
  }
};

inline void Require(bool holds, const char* problem) {
  if (!holds) {
    throw DecodeError{"", problem};
  }
}

template <typename Sink, typename T>
void Encode(Sink& sink, const T& value);

/// Counts the fields that do not hold their default value.
template <typename T>
size_t CountSetFields(const T& message, const T& defaults) {
  size_t count = 0;
  VisitFieldPairs(message, defaults,
                  [&](const FieldInfo&, const auto& value, const auto& other) {
                    count += value == other ? 0 : 1;
                  });
  return count;
}

template <typename Sink, typename T>
void EncodeFields(Sink& sink, const T& message) {
  static const T kDefaults{};
  sink.BeginObject(CountSetFields(message, kDefaults));
  VisitFieldPairs(
      message, kDefaults,
      [&](const FieldInfo& field, const auto& value, const auto& other) {
        if (value == other) {
          return;
        }
        if constexpr (requires { value.index(); }) {
          sink.Alternative(field, value.index());
          std::visit([&](const auto& part) { Encode(sink, part); }, value);
        } else {
          sink.Field(field);
          Encode(sink, value);
        }
      });
  sink.EndObject();
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

template <typename Sink, typename T>
void Encode(Sink& sink, const T& value) {
  if constexpr (std::is_same_v<T, std::monostate>) {
    sink.BeginObject(0);
    sink.EndObject();
  } else if constexpr (std::is_same_v<T, Duration>) {
    sink.Value(value.ms);
  } else if constexpr (std::is_enum_v<T>) {
    sink.Value(static_cast<int>(value));
  } else if constexpr (IsOptional<T>::value) {
    Encode(sink, *value);
  } else if constexpr (IsVector<T>::value) {
    sink.BeginArray(value.size());
    for (const auto& element : value) {
      Encode(sink, element);
    }
    sink.EndArray();
  } else if constexpr (IsMap<T>::value) {
    sink.BeginObject(value.size());
    for (const auto& [key, element] : value) {
      sink.Key(key);
      Encode(sink, element);
    }
    sink.EndObject();
  } else if constexpr (SchemaMessage<T>) {
    EncodeFields(sink, value);
  } else {
    sink.Value(value);
  }
}

/// Checks and stores a number. Throws DecodeError if it is out of range.
inline void StoreFraction(double number, double& value) {
  Require(std::abs(number) <= kLargestExactWhole, "number out of range");
  value = number;
}

/// Checks and stores a time span, as StoreFraction() does.
inline void StoreDuration(Duration span, Duration& value) {
  Require(span <= kMaxDuration && span >= kMaxDuration * -1,
          "time span out of range");
  value = span;
}

}  // namespace detail

/// Calls `decode` for a message of type T and returns the message.
/// Errors: kMalformedMessage, whose detail names the field, where `decode`
/// throws detail::DecodeError.
template <SchemaMessage T, typename Decode>
Result<T> DecodeMessage(Decode&& decode) {
  T message;
  try {
    decode(message);
  } catch (const detail::DecodeError& error) {
    const std::string path = error.path.substr(0, kMaxPathBytes);
    return Fail(ErrorId::kMalformedMessage,
                path.empty() ? error.problem : path + ": " + error.problem);
  }
  return message;
}

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_ADAPTERS_MESSAGE_CODEC_H_
