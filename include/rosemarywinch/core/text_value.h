#ifndef ROSEMARYWINCH_CORE_TEXT_VALUE_H_
#define ROSEMARYWINCH_CORE_TEXT_VALUE_H_

#include <cmath>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

#include "rosemarywinch/core/error.h"
#include "rosemarywinch/core/schema_support.h"

namespace rosemarywinch {

/// Parses an integer or a decimal fraction without exponent. Returns nothing
/// unless the whole text is a finite number.
std::optional<double> ParseNumber(std::string_view text);

/// Creates a kBadValue error for `field` that names its unit and range.
boost::leaf::error_id FailBadValue(const FieldInfo& field,
                                   std::string_view text);

/// Returns the element of `names` with the smallest edit distance to `name`, or
/// an empty string when `names` is empty.
std::string NearestName(std::string_view name,
                        const std::vector<std::string>& names);

/// Formats a number with up to ten significant digits, without trailing zeros.
std::string NumberText(double value);

namespace detail {

template <typename T>
Result<Done> AssignNumber(const FieldInfo& field,
                          T& value,
                          std::string_view text) {
  // 2^53: up to here a double represents every integer exactly.
  constexpr double kLargestWhole = 9007199254740992.0;
  const std::optional<double> number = ParseNumber(text);
  const bool sized = number && std::abs(*number) <= kLargestWhole;
  const bool whole =
      std::is_floating_point_v<T> || (sized && *number == std::floor(*number));
  const bool in_range =
      number &&
      (!field.HasRange() || (*number >= field.min && *number <= field.max));
  const bool signed_ok = std::is_signed_v<T> || (number && *number >= 0);
  if (!sized || !whole || !in_range || !signed_ok) {
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
    return detail::AssignNumber(field, value.ms, text);
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
