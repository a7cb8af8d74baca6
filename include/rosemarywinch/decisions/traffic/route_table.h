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

/// Result of a route lookup.
struct RouteMatch {
  std::string service;
  std::string route;
  /// Path that the backend server receives, without the service name.
  std::string backend_path;
  /// Effective settings of the route, before those of the client account apply.
  std::shared_ptr<const EffectivePolicy> policy;
};

/// Maps request paths `/SERVICE/REST` to routes. Immutable.
class RouteTable {
 public:
  explicit RouteTable(const FleetState& state);

  /// Returns the route with the longest prefix of `path`.
  /// Complexity: linear in the number of routes of the service.
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
