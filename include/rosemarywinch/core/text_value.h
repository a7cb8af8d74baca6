#ifndef ROSEMARYWINCH_CORE_TEXT_VALUE_H_
#define ROSEMARYWINCH_CORE_TEXT_VALUE_H_

#include <charconv>
#include <cmath>
#include <concepts>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

#include "rosemarywinch/core/error.h"
#include "rosemarywinch/core/schema_support.h"

namespace rosemarywinch {

/// 2^53: up to here a double represents every whole number exactly.
inline constexpr double kLargestExactWhole = 9007199254740992.0;

/// Parses an integer or a decimal fraction without exponent. Returns nothing
/// unless the whole text is a finite number.
std::optional<double> ParseNumber(std::string_view text);

/// Parses a whole number. Returns nothing unless the whole text is a number
/// that `T` can hold.
template <std::integral T>
std::optional<T> ParseWhole(std::string_view text) {
  T value{};
  const char* end = text.data() + text.size();
  const auto [rest, code] = std::from_chars(text.data(), end, value);
  if (code != std::errc() || rest != end) {
    return std::nullopt;
  }
  return value;
}

/// Parses a number of milliseconds and limits it to kMaxDuration in either
/// direction. Fractions of a millisecond are dropped.
std::optional<Duration> ParseMilliseconds(std::string_view text);

/// Returns `text` without the spaces and tabs at its ends.
std::string_view WithoutBlanks(std::string_view text);

/// Creates a kBadValue error for `field` that names its unit and range.
boost::leaf::error_id FailBadValue(const FieldInfo& field,
                                   std::string_view text);

/// Returns the element of `names` with the smallest edit distance to `name`, or
/// an empty string when `names` is empty.
std::string NearestName(std::string_view name,
                        const std::vector<std::string>& names);

/// Formats a number in the syntax that ParseNumber() reads: whole numbers up to
/// 2^53 exactly, others with up to ten significant digits.
std::string NumberText(double value);

namespace detail {

template <typename T>
Result<Done> AssignNumber(const FieldInfo& field,
                          T& value,
                          std::string_view text) {
  const std::optional<double> number = ParseNumber(text);
  const bool sized =
      number && std::abs(*number) <= kLargestExactWhole &&
      *number <= static_cast<double>(std::numeric_limits<T>::max()) &&
      *number >= static_cast<double>(std::numeric_limits<T>::lowest());
  const bool whole =
      std::is_floating_point_v<T> || (sized && *number == std::floor(*number));
  const bool in_range =
      number &&
      (!field.HasRange() || (*number >= field.min && *number <= field.max));
  if (!sized || !whole || !in_range) {
    return FailBadValue(field, text);
  }
  value = static_cast<T>(*number);
  return Done{};
}

}  // namespace detail

/// Parses `text` into a schema field and checks its range.
/// Errors: kBadValue, whose detail names unit and range.
template <typename T>
Result<Done> AssignFromText(const FieldInfo& field,
                            T& value,
                            std::string_view text) {
  if constexpr (std::is_same_v<T, std::string>) {
    value = std::string(text);
    return Done{};
  } else if constexpr (std::is_same_v<T, bool>) {
    if (text != "true" && text != "false") {
      return FailBadValue(field, text);
    }
    value = text == "true";
    return Done{};
  } else if constexpr (std::is_enum_v<T>) {
    const std::optional<T> named = EnumFromName<T>(text);
    if (!named) {
      return FailBadValue(field, text);
    }
    value = *named;
    return Done{};
  } else if constexpr (std::is_same_v<T, Duration>) {
    Duration parsed;
    BOOST_LEAF_CHECK(detail::AssignNumber(field, parsed.ms, text));
    if (parsed > kMaxDuration || parsed < kMaxDuration * -1) {
      return FailBadValue(field, text);
    }
    value = parsed;
    return Done{};
  } else {
    return detail::AssignNumber(field, value, text);
  }
}

template <typename T>
Result<Done> AssignFromText(const FieldInfo& field,
                            std::optional<T>& value,
                            std::string_view text) {
  T parsed{};
  BOOST_LEAF_CHECK(AssignFromText(field, parsed, text));
  value = std::move(parsed);
  return Done{};
}

/// Formats a schema field in the syntax that AssignFromText() reads.
template <typename T>
std::string ToText(const T& value) {
  if constexpr (std::is_same_v<T, std::string>) {
    return value;
  } else if constexpr (std::is_same_v<T, bool>) {
    return value ? "true" : "false";
  } else if constexpr (std::is_enum_v<T>) {
    return std::string(NameOf(value));
  } else if constexpr (std::is_same_v<T, Duration>) {
    return std::to_string(value.ms);
  } else {
    return NumberText(static_cast<double>(value));
  }
}

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_CORE_TEXT_VALUE_H_
