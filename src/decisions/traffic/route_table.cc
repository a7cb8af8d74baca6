#include "rosemarywinch/decisions/traffic/route_table.h"

#include <algorithm>

namespace rosemarywinch {

namespace {

// Prefix match on whole path segments: "/list" covers "/list" and "/list/x",
// but not "/listing".
bool Covers(std::string_view prefix, std::string_view path) {
  if (!path.starts_with(prefix)) {
    return false;
  }
  return prefix.ends_with('/') || path.size() == prefix.size() ||
         path[prefix.size()] == '/';
}

}  // namespace

RouteTable::RouteTable(const FleetState& state) {
  for (const auto& node : state.tree) {
    const Outcome<TreePath> parsed =
        Capture([&] { return TreePath::Parse(node.first); });
    const auto* path = std::get_if<TreePath>(&parsed);
    if (path == nullptr || path->Level() != TreeLevel::kRoute) {
      continue;
    }
    auto policy =
        std::make_shared<const EffectivePolicy>(EffectiveAt(state, *path));
    std::string prefix = *policy->settings.path_prefix;
    m_services[path->service].push_back(
        {path->route, std::move(prefix), std::move(policy)});
  }
  for (auto& [service, routes] : m_services) {
    std::sort(routes.begin(), routes.end(), [](const auto& a, const auto& b) {
      return a.prefix.size() > b.prefix.size();
    });
  }
}

Result<RouteMatch> RouteTable::Find(std::string_view path) const {
  const size_t end = std::min(path.find('/', 1), path.size());
  const std::string_view service = path.substr(1, end - 1);
  const auto found = m_services.find(service);
  if (found == m_services.end()) {
    return Fail(ErrorId::kUnknownRoute, std::string(path));
  }
  const std::string rest =
      end == path.size() ? "/" : std::string(path.substr(end));
  for (const Route& route : found->second) {
    if (Covers(route.prefix, rest)) {
      return RouteMatch{std::string(service), route.name, rest, route.policy};
    }
  }
  return Fail(ErrorId::kUnknownRoute, std::string(path));
}

}  // namespace rosemarywinch
