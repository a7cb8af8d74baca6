#include "rosemarywinch/decisions/mesh/config_check.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "rosemarywinch/core/text_value.h"
#include "rosemarywinch/decisions/mesh/mesh_config.h"

namespace rosemarywinch {

namespace {

using Findings = std::vector<ConfigFinding>;

// The table of accounts as an entry of the report.
constexpr const char* kAccountsEntry = "accounts";

void Add(Findings& findings,
         FindingKind kind,
         const std::string& entry,
         std::string text) {
  findings.push_back({kind, entry, std::move(text)});
}

// Validates a configuration that holds only the entry in question, as control
// stops at the first error of a whole one.
void AddErrorOf(Findings& findings,
                const std::string& entry,
                Configuration configuration) {
  const auto built =
      Capture([&] { return MeshConfig::Build(std::move(configuration)); });
  if (const auto* error = std::get_if<Error>(&built)) {
    Add(findings, FindingKind::kError, entry, error->Message());
  }
}

void CheckVersions(Findings& findings,
                   const Configuration& candidate,
                   const Configuration* in_force) {
  Configuration empty;
  empty.version = candidate.version;
  AddErrorOf(findings, "version", std::move(empty));
  if (in_force == nullptr) {
    return;
  }
  const std::string current = std::to_string(in_force->version);
  if (candidate.version <= in_force->version) {
    Add(findings, FindingKind::kError, "version",
        "not above " + current + ", the version in force");
  }
  if (candidate.base_version != in_force->version) {
    Add(findings, FindingKind::kError, "base_version",
        "not " + current + ", the version in force");
  }
}

void CheckEntries(Findings& findings, const Configuration& candidate) {
  Configuration single;
  single.version = std::max<uint64_t>(1, candidate.version);
  single.services = candidate.services;
  for (const auto& [name, spec] : candidate.routes) {
    single.routes = {{name, spec}};
    AddErrorOf(findings, "route " + name, single);
  }
  single.routes.clear();
  for (const auto& [name, spec] : candidate.services) {
    single.services = {{name, spec}};
    AddErrorOf(findings, "service " + name, single);
  }
  single.services.clear();
  for (const auto& [name, spec] : AccountsOf(candidate)) {
    single.accounts = {{{name, spec}}};
    AddErrorOf(findings, "account " + name, single);
  }
}

void CheckSharedKeys(Findings& findings, const Configuration& candidate) {
  std::map<std::string, std::string> owners;
  for (const auto& [name, spec] : AccountsOf(candidate)) {
    for (const std::string& key : spec.keys) {
      const auto [owner, added] = owners.try_emplace(key, name);
      if (!added && owner->second != name) {
        Add(findings, FindingKind::kError, "account " + name,
            "shares a key with account " + owner->second);
      }
    }
  }
}

void CheckMatches(Findings& findings, const Configuration& candidate) {
  std::map<std::pair<std::string, std::string>, std::string> places;
  for (const auto& [name, spec] : candidate.routes) {
    const std::string entry = "route " + name;
    if (!spec.path_prefix.starts_with('/') ||
        !spec.path_prefix.ends_with('/')) {
      Add(findings, FindingKind::kNeverMatches, entry,
          "path_prefix does not begin and end with /");
    }
    if (spec.hostname.empty()) {
      Add(findings, FindingKind::kNeverMatches, entry, "hostname is empty");
    }
    // Of two routes at one place, the one that is later by name is used.
    const auto [place, added] =
        places.try_emplace({spec.hostname, spec.path_prefix}, name);
    if (!added) {
      Add(findings, FindingKind::kNeverMatches, "route " + place->second,
          "route " + name + " has the same hostname and path_prefix");
      place->second = name;
    }
    for (const SplitPart& part : spec.split) {
      if (part.weight == 0) {
        Add(findings, FindingKind::kNeverMatches, entry,
            "the part " + part.service + " of its split has weight 0");
      }
    }
  }
}

std::set<std::string> ServicesOfRoutes(const Configuration& configuration) {
  std::set<std::string> used;
  for (const auto& [name, spec] : configuration.routes) {
    if (spec.service) {
      used.insert(*spec.service);
    }
    for (const SplitPart& part : spec.split) {
      used.insert(part.service);
    }
  }
  return used;
}

bool HasKeys(const Configuration& configuration) {
  const auto& accounts = AccountsOf(configuration);
  return std::any_of(accounts.begin(), accounts.end(), [](const auto& account) {
    return !account.second.keys.empty();
  });
}

void CheckUse(Findings& findings, const Configuration& candidate) {
  const std::set<std::string> used = ServicesOfRoutes(candidate);
  for (const auto& entry : candidate.services) {
    if (!used.contains(entry.first)) {
      Add(findings, FindingKind::kNeverMatches, "service " + entry.first,
          "no route leads to it");
    }
  }
  for (const auto& [name, spec] : AccountsOf(candidate)) {
    if (spec.keys.empty()) {
      Add(findings, FindingKind::kNeverMatches, "account " + name,
          "it has no key");
    }
  }
  if (candidate.accounts && !HasKeys(candidate)) {
    Add(findings, FindingKind::kNeverMatches, kAccountsEntry,
        "no account has a key: only open routes accept requests");
  }
}

void CheckContradictions(Findings& findings, const Configuration& candidate) {
  const auto contradiction = [&](const std::string& entry, std::string text) {
    Add(findings, FindingKind::kContradiction, entry, std::move(text));
  };
  for (const auto& [name, spec] : candidate.routes) {
    if (spec.target_latency > spec.timeout) {
      contradiction("route " + name, "target_latency is above the timeout");
    }
    if (spec.service && !spec.split.empty()) {
      contradiction("route " + name, "both service and split are set");
    }
  }
  for (const auto& [name, spec] : AccountsOf(candidate)) {
    if (spec.rate > 0 && spec.burst < 1) {
      contradiction("account " + name,
                    "its rate is limited, but its burst is below one request");
    }
  }
  const CallerLimits& limits = candidate.limits;
  if (limits.header_timeout > limits.idle_timeout) {
    contradiction("limits", "header_timeout is above idle_timeout");
  }
}

std::string ValueText(const std::vector<std::string>& keys) {
  return std::to_string(keys.size()) + " keys";
}

std::string ValueText(const std::vector<SplitPart>& parts) {
  std::string text;
  for (const SplitPart& part : parts) {
    text += (text.empty() ? "" : ", ") + part.service + " " +
            NumberText(part.weight);
  }
  return text;
}

template <typename T>
std::string ValueText(const T& value) {
  return ToText(value);
}

template <typename T>
std::string ValueText(const std::optional<T>& value) {
  return value ? ToText(*value) : "unset";
}

template <typename Spec>
void AddChanges(std::vector<ConfigDifference>& differences,
                const std::string& entry,
                const Spec& before,
                const Spec& after) {
  VisitFieldPairs(
      before, after,
      [&](const FieldInfo& field, const auto& old_value,
          const auto& new_value) {
        if (old_value != new_value) {
          differences.push_back({DifferenceKind::kChanged, entry,
                                 std::string(field.name), ValueText(old_value),
                                 ValueText(new_value)});
        }
      });
}

template <typename Spec>
void AddDifferences(std::vector<ConfigDifference>& differences,
                    const std::string& type,
                    const std::map<std::string, Spec>& before,
                    const std::map<std::string, Spec>& after) {
  for (const auto& [name, spec] : before) {
    if (!after.contains(name)) {
      differences.push_back(
          {DifferenceKind::kRemoved, type + " " + name, "", "", ""});
    }
  }
  for (const auto& [name, spec] : after) {
    const auto old = before.find(name);
    if (old == before.end()) {
      differences.push_back(
          {DifferenceKind::kAdded, type + " " + name, "", "", ""});
    } else {
      AddChanges(differences, type + " " + name, old->second, spec);
    }
  }
}

// The table of accounts decides whether requests need a key, whatever it holds.
void AddTableDifference(std::vector<ConfigDifference>& differences,
                        bool before,
                        bool after) {
  if (before != after) {
    differences.push_back(
        {after ? DifferenceKind::kAdded : DifferenceKind::kRemoved,
         kAccountsEntry, "", "", ""});
  }
}

}  // namespace

ConfigReport CheckConfiguration(const Configuration& candidate,
                                const Configuration* in_force) {
  ConfigReport report;
  CheckVersions(report.findings, candidate, in_force);
  CheckEntries(report.findings, candidate);
  CheckSharedKeys(report.findings, candidate);
  CheckMatches(report.findings, candidate);
  CheckUse(report.findings, candidate);
  CheckContradictions(report.findings, candidate);
  if (in_force != nullptr) {
    auto& differences = report.differences;
    AddDifferences(differences, "route", in_force->routes, candidate.routes);
    AddDifferences(differences, "service", in_force->services,
                   candidate.services);
    AddTableDifference(differences, in_force->accounts.has_value(),
                       candidate.accounts.has_value());
    AddDifferences(differences, "account", AccountsOf(*in_force),
                   AccountsOf(candidate));
    AddChanges(differences, "limits", in_force->limits, candidate.limits);
  }
  return report;
}

bool HasErrors(const ConfigReport& report) {
  return std::any_of(report.findings.begin(), report.findings.end(),
                     [](const ConfigFinding& finding) {
                       return finding.kind == FindingKind::kError;
                     });
}

}  // namespace rosemarywinch
