#include "rosemarywinch/programs/operator_commands.h"

#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <mutex>
#include <sstream>
#include <utility>

#include "rosemarywinch/core/text_value.h"
#include "rosemarywinch/decisions/consensus/replica.h"
#include "rosemarywinch/decisions/fleet/fleet_store.h"
#include "rosemarywinch/decisions/fleet/policy.h"
#include "rosemarywinch/decisions/traffic/client_key.h"
#include "rosemarywinch/interfaces/http_request_builder.h"
#include "rosemarywinch/schema/control.h"

namespace rosemarywinch {

namespace {

constexpr size_t kOperationIdBytes = 12;
constexpr size_t kKeyIdBytes = 8;
constexpr size_t kKeySecretBytes = 32;
constexpr Duration kCallTimeout{3000};
// Time for which a call is repeated while its outcome is uncertain.
constexpr Duration kRetryLimit{15'000};
constexpr std::chrono::milliseconds kRetryInterval{200};

// Returns whether the call may or may not have been executed, so that it is
// sent again.
bool IsOutcomeUncertain(const Error& error) {
  return error.id == ErrorId::kNotLeader || error.id == ErrorId::kUnreachable ||
         error.id == ErrorId::kNotAccepted;
}

void Pause(std::chrono::milliseconds length) {
  std::mutex mutex;
  std::condition_variable never;
  std::unique_lock lock(mutex);
  never.wait_for(lock, length, [] { return false; });
}

void PrintSettings(const PolicySettings& settings) {
  VisitFields(settings, [](const FieldInfo& field, const auto& value) {
    if (value) {
      std::cout << "  " << field.name << " = " << ToText(*value) << "\n";
    }
  });
}

void PrintHistory(const FleetState& state, uint64_t since) {
  for (const HistoryRecord& record : state.history) {
    if (record.version > since) {
      std::cout << record.version << "  " << record.command.author << "  "
                << Describe(record.command) << "\n";
    }
  }
}

Result<std::vector<Edit>> ParseEdits(const std::vector<std::string>& words) {
  constexpr size_t kWordsPerEdit = 3;
  if (words.empty() || words.size() % kWordsPerEdit != 0) {
    return Fail(ErrorId::kBadValue,
                "expected one or more groups of PATH FIELD VALUE");
  }
  std::vector<Edit> edits;
  for (size_t i = 0; i < words.size(); i += kWordsPerEdit) {
    edits.push_back({words[i], words[i + 1], words[i + 2], false});
  }
  return edits;
}

Result<std::vector<Edit>> ReadEdits(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    return Fail(ErrorId::kSettingsFile, path);
  }
  std::vector<Edit> edits;
  std::string line;
  for (int number = 1; std::getline(file, line); ++number) {
    std::istringstream words(line);
    Edit edit;
    words >> edit.path;
    if (edit.path.empty() || edit.path.starts_with('#')) {
      continue;
    }
    if (!(words >> edit.field >> edit.value)) {
      return Fail(ErrorId::kSettingsFile, path + ":" + std::to_string(number) +
                                              ": expected PATH FIELD VALUE");
    }
    edits.push_back(std::move(edit));
  }
  return edits;
}

}  // namespace

Result<ExitCode> OperatorCommands::Run(const OperatorCommand& command) {
  return std::visit([this](const auto& kind) { return Execute(kind); },
                    command);
}

Result<ExitCode> OperatorCommands::Execute(const TreeGet& command) {
  BOOST_LEAF_AUTO(path, TreePath::Parse(command.path));
  BOOST_LEAF_AUTO(state, ReadState());
  std::cout << "version " << state.version << "\n";
  if (command.effective) {
    const EffectivePolicy policy = EffectiveAt(state, path);
    std::cout << path.Text() << "\n";
    VisitFields(policy.settings, [&](const FieldInfo& field, const auto& v) {
      std::cout << "  " << field.name << " = " << ToText(*v) << "  from "
                << policy.origins.at(std::string(field.name)) << "\n";
    });
    return ExitCode::kSuccess;
  }
  const std::string prefix = path.Text();
  for (const auto& [node, settings] : state.tree) {
    if (prefix == "/" || node == prefix || node.starts_with(prefix + "/")) {
      std::cout << node << "\n";
      PrintSettings(settings);
    }
  }
  return ExitCode::kSuccess;
}

Result<ExitCode> OperatorCommands::Execute(const TreeSet& command) {
  BOOST_LEAF_AUTO(edits, ParseEdits(command.words));
  return SubmitEdits(std::move(edits));
}

Result<ExitCode> OperatorCommands::Execute(const TreeClear& command) {
  return SubmitEdits({{command.path, command.field, "", true}});
}

Result<ExitCode> OperatorCommands::Execute(const TreeApply& command) {
  BOOST_LEAF_AUTO(edits, ReadEdits(command.file));
  return SubmitEdits(std::move(edits));
}

Result<ExitCode> OperatorCommands::Execute(const TreeHistory&) {
  BOOST_LEAF_AUTO(state, ReadState());
  PrintHistory(state, 0);
  return ExitCode::kSuccess;
}

Result<ExitCode> OperatorCommands::Execute(const TreeDiff& command) {
  BOOST_LEAF_AUTO(state, ReadState());
  PrintHistory(state, command.since);
  return ExitCode::kSuccess;
}

Result<ExitCode> OperatorCommands::Execute(const KeyGive& command) {
  const ClientKey key{m_dependencies.random.Hex(kKeyIdBytes),
                      m_dependencies.random.Hex(kKeySecretBytes)};
  BOOST_LEAF_AUTO(code,
                  Submit(GiveKey{command.account, key.id,
                                 m_dependencies.hasher.Hash(key.secret)}));
  if (code != ExitCode::kRefused) {
    std::cout << "key " << key.Text() << "\n"
              << "It is not shown again; control stores only its hash.\n";
  }
  return code;
}

Result<ExitCode> OperatorCommands::Execute(const KeyWithdraw& command) {
  return Submit(WithdrawKey{command.key_id});
}

Result<ExitCode> OperatorCommands::Execute(const KeyList&) {
  BOOST_LEAF_AUTO(state, ReadState());
  for (const auto& [id, key] : state.keys) {
    std::cout << id << "  " << key.account << "\n";
  }
  return ExitCode::kSuccess;
}

Result<ExitCode> OperatorCommands::Execute(const Evacuate& command) {
  if (command.end) {
    return Submit(EndEvacuation{command.data_centre, {}});
  }
  return Submit(StartEvacuation{command.data_centre, {}});
}

Result<ExitCode> OperatorCommands::Execute(const FleetStatus&) {
  // Finds the leader, which alone knows the members and the version in force.
  BOOST_LEAF_CHECK(ReadState());
  BOOST_LEAF_AUTO(status,
                  m_dependencies.control.Call<ControlStatus>(
                      "operator.status", ControlStatusRequest{}, kCallTimeout));
  std::cout << "leader " << status.leader_id << ", term " << status.term << ", "
            << status.voters << " voting replicas\n"
            << "version " << status.version
            << ", in force everywhere: " << status.in_force_version << "\n";
  for (const std::string& data_centre : status.evacuated) {
    std::cout << "evacuated: " << data_centre << "\n";
  }
  for (const Member& member : status.members) {
    std::cout << "  " << member.service << "  " << member.address << "  "
              << member.data_centre << "  " << NameOf(member.state) << "\n";
  }
  return ExitCode::kSuccess;
}

Result<ExitCode> OperatorCommands::Execute(const RequestExplain& command) {
  bool found = false;
  for (const std::string& node : command.nodes) {
    const HttpResult result = m_dependencies.channel.Send(
        node,
        HttpRequestBuilder("GET", "/rosemarywinch/why")
            .Query(command.request_id)
            .Build(),
        HttpSendOptionsBuilder(kCallTimeout).Build());
    const auto* response = std::get_if<HttpResponse>(&result);
    if (response != nullptr && response->status == 200) {
      std::cout << node << " " << response->body;
      found = true;
    }
  }
  if (!found) {
    std::cout << "none of the queried nodes has a record of the request\n";
  }
  return found ? ExitCode::kSuccess : ExitCode::kRefused;
}

Result<FleetState> OperatorCommands::ReadState() {
  BOOST_LEAF_AUTO(
      response, CallWithRetry<StateResponse>(
                    "operator.state", StateRequest{consensus::kProtocolVersion},
                    kCallTimeout));
  return std::move(response.state);
}

Result<ExitCode> OperatorCommands::SubmitEdits(std::vector<Edit> edits) {
  ChangeTree change{m_settings.expected_version, std::move(edits)};
  if (change.expected_version == 0) {
    BOOST_LEAF_AUTO(state, ReadState());
    change.expected_version = state.version;
  }
  return Submit(std::move(change));
}

Result<ExitCode> OperatorCommands::Submit(
    decltype(FleetCommand::change) change) {
  FleetCommand command;
  command.operation_id = m_settings.operation_id.empty()
                             ? m_dependencies.random.Hex(kOperationIdBytes)
                             : m_settings.operation_id;
  command.author = m_settings.author;
  command.unix_time = m_dependencies.clock.UnixTime();
  command.change = std::move(change);
  const CommandRequest request{consensus::kProtocolVersion, command,
                               m_settings.wait};
  // A change that may already be accepted is sent again with the same operation
  // id, which returns the first result.
  BOOST_LEAF_AUTO(
      response, CallWithRetry<CommandResponse>("operator.command", request,
                                               m_settings.wait + kCallTimeout));
  const CommandResult& result = response.result;
  if (result.error != ErrorId::kNone) {
    std::cout << "not accepted: "
              << Error{result.error, result.detail}.Message() << "\n";
    return ExitCode::kRefused;
  }
  if (response.in_force) {
    std::cout << "in force everywhere at version " << result.version << "\n";
    return ExitCode::kSuccess;
  }
  std::cout
      << "accepted at version " << result.version << "; "
      << response.pending_nodes
      << " nodes have not confirmed it yet; the change will not be lost\n";
  for (const std::string& node : response.pending) {
    std::cout << "  pending: " << node << "\n";
  }
  return ExitCode::kNotYetInForce;
}

template <typename Response, typename Request>
Result<Response> OperatorCommands::CallWithRetry(const std::string& method,
                                                 const Request& request,
                                                 Duration timeout) {
  const TimePoint deadline = m_dependencies.clock.Now() + kRetryLimit;
  while (true) {
    const Outcome<Response> outcome = Capture([&] {
      return m_dependencies.control.Call<Response>(method, request, timeout);
    });
    const auto* error = std::get_if<Error>(&outcome);
    const bool settled = error == nullptr || !IsOutcomeUncertain(*error) ||
                         m_dependencies.clock.Now() >= deadline;
    if (settled) {
      return ToResult(outcome);
    }
    Pause(kRetryInterval);
  }
}

}  // namespace rosemarywinch
