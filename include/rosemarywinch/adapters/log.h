#ifndef ROSEMARYWINCH_ADAPTERS_LOG_H_
#define ROSEMARYWINCH_ADAPTERS_LOG_H_

#include <string>
#include <string_view>
#include <vector>

#include "rosemarywinch/schema/settings.h"

namespace rosemarywinch {

struct LogField {
  std::string_view name;
  std::string value;
};

enum class LogTarget { kStderr, kStdout };

/// Sets the least severe level; `role` and `id` stand in every line.
void StartLog(LogLevel level,
              const std::string& role,
              const std::string& id,
              LogTarget target = LogTarget::kStderr);

/// Writes out the lines that wait; nothing may be logged afterwards.
void StopLog();

/// Writes one JSON line for a change of state.
void LogEvent(LogLevel level,
              std::string_view event,
              const std::vector<LogField>& fields = {});

/// Writes one JSON line for a decision that touches a request. At most
/// kRequestEventsPerSecond are written; a later line tells in `left_out` how
/// many were not.
void LogRequestEvent(std::string_view event, std::vector<LogField> fields);

inline constexpr int kRequestEventsPerSecond = 50;

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_ADAPTERS_LOG_H_
