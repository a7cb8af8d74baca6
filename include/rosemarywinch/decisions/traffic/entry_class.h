#ifndef ROSEMARYWINCH_DECISIONS_TRAFFIC_ENTRY_CLASS_H_
#define ROSEMARYWINCH_DECISIONS_TRAFFIC_ENTRY_CLASS_H_

#include <compare>
#include <cstdint>
#include <string>

namespace rosemarywinch {

/// Class of a root request, by which it is admitted to the fleet. Its nested
/// calls inherit it.
struct EntryClass {
  /// Service that the request enters; empty if the class is unknown.
  std::string service;
  /// Shedding priority, 0 the most urgent.
  uint32_t priority = 0;
  auto operator<=>(const EntryClass&) const = default;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_DECISIONS_TRAFFIC_ENTRY_CLASS_H_
