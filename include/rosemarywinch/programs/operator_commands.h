#ifndef ROSEMARYWINCH_PROGRAMS_OPERATOR_COMMANDS_H_
#define ROSEMARYWINCH_PROGRAMS_OPERATOR_COMMANDS_H_

#include <string>
#include <variant>
#include <vector>

#include "rosemarywinch/core/error.h"
#include "rosemarywinch/interfaces/clock.h"
#include "rosemarywinch/interfaces/random.h"
#include "rosemarywinch/interfaces/secret_hasher.h"
#include "rosemarywinch/programs/control_client.h"
#include "rosemarywinch/programs/servers.h"
#include "rosemarywinch/schema/fleet.h"
#include "rosemarywinch/schema/settings.h"

namespace rosemarywinch {

struct TreeGet {
  std::string path = "/";
  bool effective = false;
};
struct TreeSet {
  /// Groups of PATH FIELD VALUE, applied atomically.
  std::vector<std::string> words;
};
struct TreeClear {
  std::string path;
  std::string field;
};
struct TreeApply {
  /// File with lines `PATH FIELD VALUE`, applied atomically.
  std::string file;
};
struct TreeHistory {};
struct TreeDiff {
  /// Version after which changes are shown.
  uint64_t since = 0;
};
struct KeyGive {
  std::string account;
};
struct KeyWithdraw {
  std::string key_id;
};
struct KeyList {};
struct Evacuate {
  std::string data_centre;
  /// Ends the evacuation.
  bool end = false;
};
struct FleetStatus {};
struct RequestExplain {
  std::string request_id;
  /// HOST:PORT of the local port of each node to query.
  std::vector<std::string> nodes;
};

using OperatorCommand = std::variant<TreeGet,
                                     TreeSet,
                                     TreeClear,
                                     TreeApply,
                                     TreeHistory,
                                     TreeDiff,
                                     KeyGive,
                                     KeyWithdraw,
                                     KeyList,
                                     Evacuate,
                                     FleetStatus,
                                     RequestExplain>;

/// Executes operator commands and prints their results.
class OperatorCommands {
 public:
  struct Dependencies {
    ControlClient& control;
    HttpChannel& channel;
    SecretHasher& hasher;
    Random& random;
    Clock& clock;
  };

  OperatorCommands(OperatorSettings settings, Dependencies dependencies)
      : m_settings(std::move(settings)), m_dependencies(dependencies) {}

  /// Errors: those of control, and kUnreachable.
  Result<ExitCode> Run(const OperatorCommand& command);

 private:
  Result<ExitCode> Execute(const TreeGet& command);
  Result<ExitCode> Execute(const TreeSet& command);
  Result<ExitCode> Execute(const TreeClear& command);
  Result<ExitCode> Execute(const TreeApply& command);
  Result<ExitCode> Execute(const TreeHistory& command);
  Result<ExitCode> Execute(const TreeDiff& command);
  Result<ExitCode> Execute(const KeyGive& command);
  Result<ExitCode> Execute(const KeyWithdraw& command);
  Result<ExitCode> Execute(const KeyList& command);
  Result<ExitCode> Execute(const Evacuate& command);
  Result<ExitCode> Execute(const FleetStatus& command);
  Result<ExitCode> Execute(const RequestExplain& command);

  Result<FleetState> ReadState();
  Result<ExitCode> SubmitEdits(std::vector<Edit> edits);
  Result<ExitCode> Submit(decltype(FleetCommand::change) change);
  template <typename Response, typename Request>
  Result<Response> CallWithRetry(const std::string& method,
                                 const Request& request,
                                 Duration timeout);

  const OperatorSettings m_settings;
  Dependencies m_dependencies;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_PROGRAMS_OPERATOR_COMMANDS_H_
