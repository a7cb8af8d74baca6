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

/// Sets the minimum level; `role` and `id` are written in every line.
void StartLog(LogLevel level,
              const std::string& role,
              const std::string& id,
              LogTarget target = LogTarget::kStderr);

/// Flushes queued lines; nothing may be logged afterwards.
void StopLog();

/// Writes one JSON line for an event.
void LogEvent(LogLevel level,
              std::string_view event,
              const std::vector<LogField>& fields = {});

/// Writes one JSON line for an event of a request. The rate is limited to
/// kRequestEventsPerSecond, with a burst allowance; the next line that is
/// written gives the number of suppressed lines in `left_out`.
void LogRequestEvent(std::string_view event, std::vector<LogField> fields);

inline constexpr int kRequestEventsPerSecond = 50;

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_ADAPTERS_LOG_H_
