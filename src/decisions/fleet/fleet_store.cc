#include "rosemarywinch/decisions/fleet/fleet_store.h"

#include <algorithm>
#include <set>
#include <utility>

#include "rosemarywinch/decisions/fleet/departures.h"
#include "rosemarywinch/decisions/fleet/evacuations.h"
#include "rosemarywinch/decisions/fleet/policy.h"
#include "rosemarywinch/decisions/fleet/tree_path.h"

namespace rosemarywinch {

namespace {

// Returns the latest change of the tree after `version`, or null.
const HistoryRecord* TreeChangeAfter(const FleetState& state,
                                     uint64_t version) {
  const auto found = std::find_if(
      state.history.rbegin(), state.history.rend(), [&](const auto& record) {
        return record.version > version &&
               std::holds_alternative<ChangeTree>(record.command.change);
      });
  return found == state.history.rend() ? nullptr : &*found;
}

Result<Done> CheckExpectedVersion(const FleetState& state,
                                  const ChangeTree& change) {
  if (const auto* other = TreeChangeAfter(state, change.expected_version)) {
    return Fail(ErrorId::kConflict,
                "version " + std::to_string(other->version) + " by " +
                    other->command.author + ": " + Describe(other->command));
  }
  const bool out_of_history =
      state.version > kMaxHistory &&
      change.expected_version < state.version - kMaxHistory;
  if (change.expected_version > state.version || out_of_history) {
    return Fail(ErrorId::kConflict,
                "the tree is at version " + std::to_string(state.version));
  }
  return Done{};
}

Result<Done> CheckOpenRoutesUnchanged(const FleetState& before,
                                      const FleetState& after) {
  for (const auto& [text, settings] : before.tree) {
    if (settings.access != Access::kOpen) {
      continue;
    }
    const auto found = after.tree.find(text);
    const bool same = found != after.tree.end() &&
                      found->second.access == Access::kOpen &&
                      found->second.path_prefix == settings.path_prefix;
    if (!same) {
      return Fail(ErrorId::kRouteStaysOpen, text);
    }
  }
  return Done{};
}

Result<Done> CheckRoutePrefixes(const FleetState& state) {
  std::set<std::pair<std::string, std::string>> seen;
  for (const auto& [text, settings] : state.tree) {
    BOOST_LEAF_AUTO(path, TreePath::Parse(text));
    if (path.Level() != TreeLevel::kRoute) {
      continue;
    }
    const std::string prefix = settings.path_prefix.value_or("/");
    if (!prefix.starts_with('/')) {
      return Fail(ErrorId::kBadValue, text + " path_prefix must begin with /");
    }
    if (!seen.insert({path.service, prefix}).second) {
      return Fail(ErrorId::kRouteConflict, text + ", " + prefix);
    }
  }
  return Done{};
}

Result<Done> Apply(FleetState& state, const ChangeTree& change) {
  BOOST_LEAF_CHECK(CheckExpectedVersion(state, change));
  FleetState after;
  after.tree = state.tree;
  for (const Edit& edit : change.edits) {
    BOOST_LEAF_AUTO(path, TreePath::Parse(edit.path));
    const std::string text = path.Text();
    BOOST_LEAF_CHECK(ApplyEdit(after.tree[text], path.Level(), edit));
    if (after.tree[text] == PolicySettings{}) {
      after.tree.erase(text);
    }
  }
  BOOST_LEAF_CHECK(CheckOpenRoutesUnchanged(state, after));
  BOOST_LEAF_CHECK(CheckRoutePrefixes(after));
  state.tree = std::move(after.tree);
  return Done{};
}

Result<Done> Apply(FleetState& state, const GiveKey& change) {
  if (!IsValidName(change.account) || !IsValidName(change.key_id)) {
    return Fail(ErrorId::kBadPath, "account " + change.account);
  }
  const auto live = std::count_if(
      state.keys.begin(), state.keys.end(),
      [&](const auto& key) { return key.second.account == change.account; });
  if (static_cast<size_t>(live) >= kMaxKeysPerAccount) {
    return Fail(ErrorId::kTooManyKeys, change.account);
  }
  const bool added =
      state.keys
          .try_emplace(change.key_id,
                       KeyRecord{change.account, change.secret_hash})
          .second;
  if (!added) {
    return Fail(ErrorId::kOperationReused, "key " + change.key_id);
  }
  return Done{};
}

Result<Done> Apply(FleetState& state, const WithdrawKey& change) {
  if (state.keys.erase(change.key_id) == 0) {
    return Fail(ErrorId::kUnknownKeyId, change.key_id);
  }
  return Done{};
}

// Returns true if a configuration with this version and fingerprint was
// accepted before.
bool WasAccepted(const ConfigurationRecord& record,
                 const PutConfiguration& change) {
  return std::any_of(record.accepted.begin(), record.accepted.end(),
                     [&](const AcceptedConfiguration& accepted) {
                       return accepted.version == change.version &&
                              accepted.fingerprint == change.fingerprint;
                     });
}

Result<Done> Apply(FleetState& state, const PutConfiguration& change) {
  ConfigurationRecord& record = state.configuration;
  if (WasAccepted(record, change)) {
    return Done{};
  }
  if (change.base_version != record.version) {
    return Fail(
        ErrorId::kConflict,
        "version " + std::to_string(record.version) + " is the current one");
  }
  if (change.version <= record.version) {
    return Fail(ErrorId::kBadValue,
                "version " + std::to_string(change.version) + " is not above " +
                    std::to_string(record.version));
  }
  record.version = change.version;
  record.document = change.document;
  record.accepted.push_back({change.version, change.fingerprint});
  if (record.accepted.size() > kMaxAcceptedConfigurations) {
    record.accepted.erase(record.accepted.begin());
  }
  return Done{};
}

Result<Done> Apply(FleetState& state, const RecordDeparture& change) {
  StoreDeparture(state, change);
  return Done{};
}

Result<Done> Apply(FleetState& state, const StartEvacuation& change) {
  return ApplyStart(state, change);
}

Result<Done> Apply(FleetState& state, const EndEvacuation& change) {
  return ApplyEnd(state, change);
}

Result<Done> Apply(FleetState&, std::monostate) {
  return Fail(ErrorId::kMalformedMessage, "command without a change");
}

Result<Done> ApplyChange(FleetState& state, const FleetCommand& command) {
  return std::visit([&](const auto& change) { return Apply(state, change); },
                    command.change);
}

void AppendHistory(FleetState& state, const FleetCommand& command) {
  ++state.version;
  state.history.push_back({state.version, command});
  if (state.history.size() > kMaxHistory) {
    state.history.erase(state.history.begin());
  }
}

std::string DescribeEdit(const Edit& edit) {
  const std::string target = edit.path + " " + edit.field;
  return edit.clear ? "clear " + target : target + " = " + edit.value;
}

}  // namespace

std::string Describe(const FleetCommand& command) {
  return std::visit(
      Overloaded{[](const ChangeTree& change) {
                   std::string text;
                   for (const Edit& edit : change.edits) {
                     text += (text.empty() ? "" : ", ") + DescribeEdit(edit);
                   }
                   return text;
                 },
                 [](const GiveKey& change) {
                   return "give key " + change.key_id + " to " + change.account;
                 },
                 [](const WithdrawKey& change) {
                   return "withdraw key " + change.key_id;
                 },
                 [](const PutConfiguration& change) {
                   return "put configuration " +
                          std::to_string(change.version) + " on " +
                          std::to_string(change.base_version) + ", " +
                          change.fingerprint;
                 },
                 [](const RecordDeparture& change) {
                   return "record that " + change.departure.backend_id +
                          " leaves " + change.node;
                 },
                 [](const StartEvacuation& change) {
                   return "evacuate " + change.data_centre;
                 },
                 [](const EndEvacuation& change) {
                   return "end the evacuation of " + change.data_centre;
                 },
                 [](std::monostate) { return std::string("nothing"); }},
      command.change);
}

namespace {

// Configurations are identified by version and fingerprint, not by operation
// id. The history omits the document, which is too large for it.
CommandResult ApplyConfiguration(FleetState& state,
                                 const FleetCommand& command) {
  CommandResult result;
  const uint64_t before = state.configuration.version;
  const Outcome<Done> outcome =
      Capture([&] { return ApplyChange(state, command); });
  if (const auto* error = std::get_if<Error>(&outcome)) {
    result.error = error->id;
    result.detail = error->detail;
  }
  if (state.configuration.version != before) {
    FleetCommand without_document = command;
    std::get<PutConfiguration>(without_document.change).document.clear();
    AppendHistory(state, without_document);
  }
  result.version = state.configuration.version;
  return result;
}

// A departure concerns one node only, so that it changes no version; storing it
// twice does no harm.
CommandResult ApplyDeparture(FleetState& state, const RecordDeparture& change) {
  StoreDeparture(state, change);
  CommandResult result;
  result.version = state.version;
  return result;
}

// Applies a command and adds it to the history if it changed the state. A
// repeated start or stop of an evacuation changes nothing.
CommandResult ApplyAndRecord(FleetState& state, const FleetCommand& command) {
  const bool of_evacuation =
      std::holds_alternative<StartEvacuation>(command.change) ||
      std::holds_alternative<EndEvacuation>(command.change);
  const std::vector<std::string> evacuated_before = state.evacuated;
  CommandResult result;
  const Outcome<Done> outcome =
      Capture([&] { return ApplyChange(state, command); });
  if (const auto* error = std::get_if<Error>(&outcome)) {
    result.error = error->id;
    result.detail = error->detail;
  } else if (!of_evacuation || state.evacuated != evacuated_before) {
    AppendHistory(state, command);
  }
  result.version = state.version;
  return result;
}

// Applies a command that is identified by its operation id.
CommandResult ApplyOperation(FleetState& state, const FleetCommand& command) {
  const std::string fingerprint = Describe(command);
  const auto seen = std::find_if(
      state.operations.begin(), state.operations.end(),
      [&](const auto& op) { return op.operation_id == command.operation_id; });
  if (seen != state.operations.end()) {
    return seen->fingerprint == fingerprint
               ? seen->result
               : CommandResult{ErrorId::kOperationReused, command.operation_id,
                               state.version};
  }
  CommandResult result = ApplyAndRecord(state, command);
  state.operations.push_back({command.operation_id, fingerprint, result});
  if (state.operations.size() > kMaxOperations) {
    state.operations.erase(state.operations.begin());
  }
  return result;
}

}  // namespace

CommandResult ApplyCommand(FleetState& state, const FleetCommand& command) {
  // The platform's operators send evacuations without an operation id.
  const auto apply_evacuation = [&] {
    return command.operation_id.empty() ? ApplyAndRecord(state, command)
                                        : ApplyOperation(state, command);
  };
  return std::visit(
      Overloaded{[&](const PutConfiguration&) {
                   return ApplyConfiguration(state, command);
                 },
                 [&](const RecordDeparture& change) {
                   return ApplyDeparture(state, change);
                 },
                 [&](const StartEvacuation&) { return apply_evacuation(); },
                 [&](const EndEvacuation&) { return apply_evacuation(); },
                 [&](const auto&) { return ApplyOperation(state, command); }},
      command.change);
}

void ApplyAccepted(FleetState& state, const HistoryRecord& record) {
  // Nodes receive the configuration itself separately from the commands.
  if (std::holds_alternative<PutConfiguration>(record.command.change)) {
    state.version = record.version;
    return;
  }
  static_cast<void>(
      Capture([&] { return ApplyChange(state, record.command); }));
  state.version = record.version;
}

std::optional<std::vector<HistoryRecord>> CommandsAfter(const FleetState& state,
                                                        uint64_t version) {
  const uint64_t missing = state.version - std::min(version, state.version);
  if (missing > state.history.size()) {
    return std::nullopt;
  }
  return std::vector<HistoryRecord>(
      state.history.end() - static_cast<ptrdiff_t>(missing),
      state.history.end());
}

}  // namespace rosemarywinch
