#include "rosemarywinch/decisions/fleet/policy.h"

#include <vector>

#include "rosemarywinch/core/text_value.h"

namespace rosemarywinch {

namespace {

// Returns true if the comma-separated list `levels` contains `level`. An empty
// list allows all levels.
bool AllowsLevel(std::string_view levels, std::string_view level) {
  if (levels.empty()) {
    return true;
  }
  const std::string padded = "," + std::string(levels) + ",";
  return padded.find("," + std::string(level) + ",") != std::string::npos;
}

std::vector<std::string> PolicyFieldNames() {
  std::vector<std::string> names;
  names.reserve(kPolicySettingsFields.size());
  for (const FieldInfo& field : kPolicySettingsFields) {
    names.emplace_back(field.name);
  }
  return names;
}

PolicySettings DefaultSettings() {
  PolicySettings settings;
  VisitFields(settings, [](const FieldInfo& field, auto& value) {
    // The defaults of the schema are valid, so this cannot fail.
    static_cast<void>(Capture(
        [&] { return AssignFromText(field, value, field.default_value); }));
  });
  return settings;
}

void Inherit(EffectivePolicy& policy,
             const PolicySettings& node,
             const std::string& path) {
  VisitFieldPairs(policy.settings, node,
                  [&](const FieldInfo& field, auto& value, const auto& given) {
                    if (given) {
                      value = given;
                      policy.origins[std::string(field.name)] = path;
                    }
                  });
}

template <typename T>
Result<Done> EditField(const FieldInfo& field,
                       std::optional<T>& value,
                       TreeLevel level,
                       const Edit& edit) {
  if (edit.clear) {
    value.reset();
    return Done{};
  }
  if (!AllowsLevel(field.levels, NameOf(level))) {
    return Fail(ErrorId::kWrongLevel, edit.path + " " + edit.field +
                                          ", allowed at " +
                                          std::string(field.levels));
  }
  return AssignFromText(field, value, edit.value);
}

}  // namespace

bool IsEssential(RequestClass request_class) {
  return request_class != RequestClass::kLookup &&
         request_class != RequestClass::kList;
}

bool EffectivePolicy::RunsAtMostOnce() const {
  return *settings.at_most_once || IsEssential(*settings.request_class);
}

EffectivePolicy EffectiveAt(const FleetState& state, const TreePath& path) {
  static const PolicySettings defaults = DefaultSettings();
  EffectivePolicy policy{defaults, {}};
  for (const FieldInfo& field : kPolicySettingsFields) {
    policy.origins[std::string(field.name)] = kDefaultOrigin;
  }
  for (const std::string& node : path.Chain()) {
    const auto found = state.tree.find(node);
    if (found != state.tree.end()) {
      Inherit(policy, found->second, node);
    }
  }
  return policy;
}

Result<Done> ApplyEdit(PolicySettings& settings,
                       TreeLevel level,
                       const Edit& edit) {
  Outcome<Done> outcome =
      Error{ErrorId::kUnknownSetting,
            edit.field + ", nearest is " +
                NearestName(edit.field, PolicyFieldNames())};
  VisitFields(settings, [&](const FieldInfo& field, auto& value) {
    if (field.name == edit.field) {
      outcome = Capture([&] { return EditField(field, value, level, edit); });
    }
  });
  return ToResult(std::move(outcome));
}

}  // namespace rosemarywinch
