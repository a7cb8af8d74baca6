#ifndef ROSEMARYWINCH_CORE_SCHEMA_SUPPORT_H_
#define ROSEMARYWINCH_CORE_SCHEMA_SUPPORT_H_

#include <concepts>
#include <cstdint>
#include <span>
#include <string_view>
#include <type_traits>

#include "rosemarywinch/core/enum_table.h"
#include "rosemarywinch/core/time.h"

namespace rosemarywinch {

/// Description of a message field, generated from the schema.
struct FieldInfo {
  std::string_view name;
  std::string_view unit;
  double min;
  double max;
  std::string_view default_value;
  std::string_view help;
  std::string_view levels;
  /// Names of the alternatives of a std::variant; empty for other fields.
  std::span<const std::string_view> alternatives;
  /// Number of the field in the schema; 0 for a std::variant.
  uint32_t number = 0;
  /// Field numbers of the alternatives of a std::variant, in their order.
  std::span<const uint32_t> alternative_numbers = {};

  /// Returns whether the field has a numeric range.
  constexpr bool HasRange() const { return min != 0 || max != 0; }
};

/// Satisfied by `Message` and `const Message`.
template <typename Self, typename Message>
concept SameType = std::same_as<std::remove_const_t<Self>, Message>;

/// Combines several lambdas into one visitor for std::visit.
template <typename... Handlers>
struct Overloaded : Handlers... {
  using Handlers::operator()...;
};
template <typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_CORE_SCHEMA_SUPPORT_H_
