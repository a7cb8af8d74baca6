#ifndef ROSEMARYWINCH_PROGRAMS_CONFIG_CHECK_COMMAND_H_
#define ROSEMARYWINCH_PROGRAMS_CONFIG_CHECK_COMMAND_H_

#include <string>

#include "rosemarywinch/core/error.h"
#include "rosemarywinch/interfaces/http.h"
#include "rosemarywinch/programs/servers.h"

namespace rosemarywinch {

/// Arguments of the check of a configuration.
struct ConfigCheckOptions {
  /// File with the configuration, as it would be sent.
  std::string file;
  /// File with the version in force; empty if there is none.
  std::string in_force_file;
  /// HOST:PORT at which a control replica serves operators, to read the version
  /// in force from; empty to read none.
  std::string operator_address;
  /// Prints one JSON object instead of lines.
  bool json = false;
};

/// Checks a configuration and prints the findings and the differences from the
/// version in force. Returns kRefused if control would refuse it.
/// Errors: kSettingsFile for a file that cannot be read, kMalformedMessage,
/// kUnreachable.
Result<ExitCode> RunConfigCheck(const ConfigCheckOptions& options,
                                HttpChannel& channel);

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_PROGRAMS_CONFIG_CHECK_COMMAND_H_
