#ifndef ROSEMARYWINCH_CORE_ENUM_TABLE_H_
#define ROSEMARYWINCH_CORE_ENUM_TABLE_H_

#include <optional>
#include <string_view>

namespace rosemarywinch {

/// One row of the table that belongs to an enum of the schema.
template <typename Enum>
struct EnumEntry {
  Enum value;
  std::string_view name;
  std::string_view text;
  std::string_view remedy;
  int http_status;
};

/// Returns the table row of `value`, or of the first value when the number is
/// unknown. Complexity: linear in the number of values.
template <typename Enum>
constexpr const EnumEntry<Enum>& EntryOf(Enum value) {
  const auto& table = EnumTable(Enum{});
  for (const auto& entry : table) {
    if (entry.value == value) {
      return entry;
    }
  }
  return table.front();
}

/// Returns the name of `value`, in lower case with underscores.
template <typename Enum>
constexpr std::string_view NameOf(Enum value) {
  return EntryOf(value).name;
}

/// Returns the value named `name`, or nothing.
template <typename Enum>
constexpr std::optional<Enum> EnumFromName(std::string_view name) {
  for (const auto& entry : EnumTable(Enum{})) {
    if (entry.name == name) {
      return entry.value;
    }
  }
  return std::nullopt;
}

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_CORE_ENUM_TABLE_H_
