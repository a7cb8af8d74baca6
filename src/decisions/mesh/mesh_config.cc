#include "rosemarywinch/decisions/mesh/mesh_config.h"

#include <algorithm>
#include <cctype>
#include <cmath>
#include <utility>

namespace rosemarywinch {

namespace {

// A target latency this far above the timeout is rejected as a typing error.
constexpr Duration kMaxTargetAboveTimeout{60'000};

Result<Done> CheckTimes(const std::string& name, const RouteSpec& spec) {
  if (spec.timeout.ms <= 0) {
    return Fail(ErrorId::kBadValue,
                "route " + name + ": timeout must be above 0");
  }
  if (spec.target_latency - spec.timeout >= kMaxTargetAboveTimeout) {
    return Fail(
        ErrorId::kBadValue,
        "route " + name + ": target_latency is too far above the timeout");
  }
  return Done{};
}

Result<Done> CheckColdStart(const std::string& service,
                            const char* field,
                            double value) {
  if (!std::isfinite(value) || value < 0) {
    return Fail(ErrorId::kBadValue, "service " + service + ": " + field +
                                        " must be a number not below 0");
  }
  return Done{};
}

Result<std::vector<SplitPart>> PartsOf(const std::string& name,
                                       const RouteSpec& spec) {
  std::vector<SplitPart> parts = spec.split;
  if (spec.service) {
    parts = {SplitPart{*spec.service, 1}};
  }
  double total = 0;
  for (const SplitPart& part : parts) {
    if (part.weight < 0) {
      return Fail(ErrorId::kBadValue,
                  "route " + name + ": a weight is below 0");
    }
    total += part.weight;
  }
  if (total <= 0) {
    return Fail(ErrorId::kBadValue,
                "route " + name + ": the weights add up to 0");
  }
  return parts;
}

std::string LowerHost(std::string_view host) {
  std::string lower(host.substr(0, host.find(':')));
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return lower;
}

}  // namespace

const std::map<std::string, AccountSpec>& AccountsOf(
    const Configuration& configuration) {
  static const std::map<std::string, AccountSpec> kNone;
  return configuration.accounts ? *configuration.accounts : kNone;
}

const std::string& MeshRoute::SelectService(double point) const {
  double total = 0;
  for (const SplitPart& part : parts) {
    total += part.weight;
  }
  double remaining = point * total;
  for (const SplitPart& part : parts) {
    if (remaining < part.weight) {
      return part.service;
    }
    remaining -= part.weight;
  }
  return parts.back().service;
}

MeshConfig::MeshConfig(Configuration configuration)
    : m_configuration(std::move(configuration)) {}

Result<std::shared_ptr<const MeshConfig>> MeshConfig::Build(
    Configuration configuration) {
  if (configuration.version == 0) {
    return Fail(ErrorId::kBadValue, "version must be above 0");
  }
  std::shared_ptr<MeshConfig> config(new MeshConfig(std::move(configuration)));
  BOOST_LEAF_CHECK(config->CheckServices());
  BOOST_LEAF_CHECK(config->AddRoutes());
  BOOST_LEAF_CHECK(config->AddKeys());
  return std::shared_ptr<const MeshConfig>(std::move(config));
}

Result<Done> MeshConfig::CheckServices() const {
  for (const auto& [name, spec] : m_configuration.services) {
    BOOST_LEAF_CHECK(CheckColdStart(name, "cold_start", spec.cold_start));
    BOOST_LEAF_CHECK(CheckColdStart(name, "cold_rate", spec.cold_rate));
  }
  return Done{};
}

Result<Done> MeshConfig::AddRoutes() {
  for (const auto& [name, spec] : m_configuration.routes) {
    BOOST_LEAF_CHECK(CheckTimes(name, spec));
    BOOST_LEAF_AUTO(parts, PartsOf(name, spec));
    for (const SplitPart& part : parts) {
      if (!HasService(part.service)) {
        return Fail(ErrorId::kBadValue,
                    "route " + name + ": unknown service " + part.service);
      }
    }
    m_hosts[LowerHost(spec.hostname)][spec.path_prefix] = m_routes.size();
    m_routes.push_back({name, spec, std::move(parts)});
  }
  return Done{};
}

Result<Done> MeshConfig::AddKeys() {
  for (const auto& [name, spec] : AccountsOf(m_configuration)) {
    for (const std::string& key : spec.keys) {
      const bool added =
          m_keys.try_emplace(key, MeshAccount{name, spec}).second;
      if (!added) {
        return Fail(ErrorId::kBadValue,
                    "account " + name + ": a key is already in use");
      }
    }
  }
  return Done{};
}

const MeshRoute* MeshConfig::FindRoute(std::string_view host,
                                       std::string_view path) const {
  const auto found = m_hosts.find(LowerHost(host));
  if (found == m_hosts.end()) {
    return nullptr;
  }
  // Only the prefixes of `path` that end with a slash are looked up: a
  // path_prefix is expected to end with one, which is not checked.
  size_t end = path.rfind('/');
  while (end != std::string_view::npos) {
    const auto route = found->second.find(path.substr(0, end + 1));
    if (route != found->second.end()) {
      return &m_routes[route->second];
    }
    end = end == 0 ? std::string_view::npos : path.rfind('/', end - 1);
  }
  return nullptr;
}

const MeshAccount* MeshConfig::FindAccountByKey(const std::string& key) const {
  const auto found = m_keys.find(key);
  return found == m_keys.end() ? nullptr : &found->second;
}

const AccountSpec* MeshConfig::FindAccount(const std::string& name) const {
  const auto& accounts = AccountsOf(m_configuration);
  const auto found = accounts.find(name);
  return found == accounts.end() ? nullptr : &found->second;
}

ServiceSpec MeshConfig::SettingsOf(const std::string& service) const {
  const auto found = m_configuration.services.find(service);
  return found == m_configuration.services.end() ? ServiceSpec()
                                                 : found->second;
}

bool MeshConfig::HasService(const std::string& name) const {
  return m_configuration.services.contains(name);
}

}  // namespace rosemarywinch
