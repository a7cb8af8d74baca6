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
#include "rosemarywinch/schema/control.h"
#include "rosemarywinch/schema/settings.h"

namespace rosemarywinch {

struct TreeGet {
  std::string path = "/";
  bool effective = false;
};
struct TreeSet {
  /// PATH FIELD VALUE, any number of times; all or nothing.
  std::vector<std::string> words;
};
struct TreeClear {
  std::string path;
  std::string field;
};
struct TreeApply {
  /// File with lines `PATH FIELD VALUE`; all or nothing.
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
struct FleetStatus {};
struct RequestWhy {
  std::string request_id;
  /// HOST:PORT of the local ports of the nodes to ask.
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
                                     FleetStatus,
                                     RequestWhy>;

/// Carries out commands of operators and prints what they ask for.
class OperatorCommands {
 public:
  struct Parts {
    ControlClient& control;
    HttpChannel& channel;
    SecretHasher& hasher;
    Random& random;
    Clock& clock;
  };

  OperatorCommands(OperatorSettings settings, Parts parts)
      : m_settings(std::move(settings)), m_parts(parts) {}

  /// Errors: those of control, and kUnreachable.
  Result<ExitCode> Run(const OperatorCommand& command);

 private:
  Result<ExitCode> Do(const TreeGet& command);
  Result<ExitCode> Do(const TreeSet& command);
  Result<ExitCode> Do(const TreeClear& command);
  Result<ExitCode> Do(const TreeApply& command);
  Result<ExitCode> Do(const TreeHistory& command);
  Result<ExitCode> Do(const TreeDiff& command);
  Result<ExitCode> Do(const KeyGive& command);
  Result<ExitCode> Do(const KeyWithdraw& command);
  Result<ExitCode> Do(const KeyList& command);
  Result<ExitCode> Do(const FleetStatus& command);
  Result<ExitCode> Do(const RequestWhy& command);

  Result<FleetState> ReadState();
  Result<ExitCode> ChangeTreeBy(std::vector<Edit> edits);
  Result<ExitCode> Submit(decltype(FleetCommand::change) change);
  template <typename Response, typename Request>
  Result<Response> CallUntilAnswered(const std::string& method,
                                     const Request& request,
                                     Duration timeout);

  const OperatorSettings m_settings;
  Parts m_parts;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_PROGRAMS_OPERATOR_COMMANDS_H_
