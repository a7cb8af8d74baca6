#ifndef ROSEMARYWINCH_DECISIONS_FLEET_TREE_PATH_H_
#define ROSEMARYWINCH_DECISIONS_FLEET_TREE_PATH_H_

#include <string>
#include <string_view>
#include <vector>

#include "rosemarywinch/core/error.h"
#include "rosemarywinch/schema/policy.h"

namespace rosemarywinch {

/// Path of a node in the settings tree: firm, service or route, optionally with
/// a client account beneath it. Absent parts are empty.
struct TreePath {
  std::string service;
  std::string route;
  std::string account;

  /// Parses "/", "/service", "/service/route" or any of them with "/@account".
  /// Errors: kBadPath.
  static Result<TreePath> Parse(std::string_view text);

  /// Formats the path as Parse() accepts it.
  std::string Text() const;

  TreeLevel Level() const;

  /// Returns the paths from which this node inherits, followed by its own, most
  /// general first. Paths with the client account follow those without it.
  std::vector<std::string> Chain() const;
};

/// Returns true if `name` is a valid name of a service, route or client
/// account: 1 to 64 letters, digits, '-', '_' or '.'.
bool IsValidName(std::string_view name);

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_DECISIONS_FLEET_TREE_PATH_H_
