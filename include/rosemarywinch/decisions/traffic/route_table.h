#ifndef ROSEMARYWINCH_DECISIONS_TRAFFIC_ROUTE_TABLE_H_
#define ROSEMARYWINCH_DECISIONS_TRAFFIC_ROUTE_TABLE_H_

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "rosemarywinch/core/error.h"
#include "rosemarywinch/decisions/fleet/policy.h"
#include "rosemarywinch/schema/fleet.h"

namespace rosemarywinch {

/// A route and where its requests go.
struct RouteMatch {
  std::string service;
  std::string route;
  /// Path as the backend server sees it: the service's name is cut off.
  std::string backend_path;
  /// Settings before those of the client account.
  std::shared_ptr<const EffectivePolicy> policy;
};

/// Finds the route of a request path `/SERVICE/REST`. Immutable.
class RouteTable {
 public:
  explicit RouteTable(const FleetState& state);

  /// Returns the route with the longest prefix of `path`.
  /// Complexity: linear in the routes of one service.
  /// Errors: kUnknownRoute.
  Result<RouteMatch> Find(std::string_view path) const;

 private:
  struct Route {
    std::string name;
    std::string prefix;
    std::shared_ptr<const EffectivePolicy> policy;
  };

  std::map<std::string, std::vector<Route>, std::less<>> m_services;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_DECISIONS_TRAFFIC_ROUTE_TABLE_H_
