#ifndef ROSEMARYWINCH_PROGRAMS_SERVERS_H_
#define ROSEMARYWINCH_PROGRAMS_SERVERS_H_

#include "rosemarywinch/core/error.h"
#include "rosemarywinch/programs/stop_signal.h"
#include "rosemarywinch/schema/settings.h"

namespace rosemarywinch {

/// Exit codes of the program.
enum class ExitCode : int {
  kSuccess = 0,
  kRefused = 1,
  kNotYetInForce = 2,
  kUsage = 64,
  kCannotStart = 69,
  kRequestsCutOff = 70,
};

/// Runs a control replica until a graceful shutdown. Prints one line with its
/// port once it listens.
/// Errors: kPortInUse and those of its storage.
Result<ExitCode> RunControl(const CommonSettings& common,
                            const ControlSettings& settings,
                            StopSignal& stop);

/// Runs a node until a graceful shutdown. Prints one line with its ports once
/// it listens.
/// Errors: kPortInUse, kBadValue.
Result<ExitCode> RunNode(const CommonSettings& common,
                         const NodeSettings& settings,
                         StopSignal& stop);

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_PROGRAMS_SERVERS_H_
