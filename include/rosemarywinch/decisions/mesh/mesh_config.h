#ifndef ROSEMARYWINCH_DECISIONS_MESH_MESH_CONFIG_H_
#define ROSEMARYWINCH_DECISIONS_MESH_MESH_CONFIG_H_

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "rosemarywinch/core/error.h"
#include "rosemarywinch/schema/mesh.h"

namespace rosemarywinch {

/// A route and the services that its requests go to.
struct MeshRoute {
  std::string name;
  RouteSpec spec;
  /// At least one part; the weights sum to more than zero.
  std::vector<SplitPart> parts;

  /// Selects a service by weight; `point` is in [0, 1).
  const std::string& SelectService(double point) const;
};

/// Returns the client accounts of a configuration; none if it has no table of
/// them.
const std::map<std::string, AccountSpec>& AccountsOf(
    const Configuration& configuration);

/// The client account of a key.
struct MeshAccount {
  std::string name;
  AccountSpec spec;
};

/// A validated configuration, indexed for lookups. Immutable.
class MeshConfig {
 public:
  /// Validates and indexes a configuration. Errors: kBadValue, with the invalid
  /// field, route, service or account in its detail.
  static Result<std::shared_ptr<const MeshConfig>> Build(
      Configuration configuration);

  /// Returns the route of `host` with the longest prefix of `path`, or null.
  /// Complexity: linear in the number of slashes of the path.
  const MeshRoute* FindRoute(std::string_view host,
                             std::string_view path) const;

  /// Returns the account that holds `key`, or null.
  const MeshAccount* FindAccountByKey(const std::string& key) const;

  /// Returns the account named `name`, or null.
  const AccountSpec* FindAccount(const std::string& name) const;

  bool HasService(const std::string& name) const;
  /// Returns the settings of a service; the defaults if it is unknown.
  ServiceSpec SettingsOf(const std::string& service) const;
  /// Returns whether requests on routes that are not open need a key: they do
  /// if the configuration has a table of accounts. An empty one admits no key.
  bool RequiresKeys() const { return m_configuration.accounts.has_value(); }
  uint64_t version() const { return m_configuration.version; }
  const CallerLimits& limits() const { return m_configuration.limits; }
  const std::map<std::string, ServiceSpec>& services() const {
    return m_configuration.services;
  }

 private:
  explicit MeshConfig(Configuration configuration);
  Result<Done> CheckServices() const;
  Result<Done> AddRoutes();
  Result<Done> AddKeys();

  Configuration m_configuration;
  std::vector<MeshRoute> m_routes;
  /// Index in m_routes by host name and path prefix.
  std::map<std::string, std::map<std::string, size_t, std::less<>>, std::less<>>
      m_hosts;
  std::unordered_map<std::string, MeshAccount> m_keys;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_DECISIONS_MESH_MESH_CONFIG_H_
