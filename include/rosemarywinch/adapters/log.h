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

enum class LogTarget { kErrorOutput, kOutput };

/// Sets the least severe level; `role` and `id` stand in every line.
void StartLog(LogLevel level,
              const std::string& role,
              const std::string& id,
              LogTarget target = LogTarget::kErrorOutput);

/// Writes one JSON line for a change of state.
void LogChange(LogLevel level,
               std::string_view event,
               const std::vector<LogField>& fields = {});

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_ADAPTERS_LOG_H_
