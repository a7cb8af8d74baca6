#ifndef ROSEMARYWINCH_DECISIONS_FLEET_TREE_PATH_H_
#define ROSEMARYWINCH_DECISIONS_FLEET_TREE_PATH_H_

#include <string>
#include <string_view>
#include <vector>

#include "rosemarywinch/core/error.h"
#include "rosemarywinch/schema/fleet.h"

namespace rosemarywinch {

/// A node of the settings tree: firm, service or route, and perhaps a client
/// account beneath it. Absent parts are empty.
struct TreePath {
  std::string service;
  std::string route;
  std::string account;

  /// Reads "/", "/service", "/service/route" or any of them with "/@account".
  /// Errors: kBadPath.
  static Result<TreePath> Parse(std::string_view text);

  /// Writes the path as Parse() reads it.
  std::string Text() const;

  TreeLevel Level() const;

  /// Returns the nodes that this one inherits from and itself, general first.
  /// Nodes of the client account come after those without it.
  std::vector<std::string> Chain() const;
};

/// Tells whether `name` may name a service, route or client account: letters,
/// digits, '-', '_' and '.', from 1 to 64 characters.
bool IsValidName(std::string_view name);

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_DECISIONS_FLEET_TREE_PATH_H_
