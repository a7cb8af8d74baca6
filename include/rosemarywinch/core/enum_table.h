#ifndef ROSEMARYWINCH_CORE_ENUM_TABLE_H_
#define ROSEMARYWINCH_CORE_ENUM_TABLE_H_

#include <optional>
#include <string_view>

namespace rosemarywinch {

/// Row of the generated table of a schema enum.
template <typename Enum>
struct EnumEntry {
  Enum value;
  std::string_view name;
  std::string_view text;
  std::string_view remedy;
  int http_status;
};

/// Returns the table row of `value`, or the first row when the value is
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

/// Returns the value with the given name, or nothing when there is none.
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
