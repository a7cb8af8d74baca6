#include "rosemarywinch/programs/evacuation_log.h"

#include "rosemarywinch/adapters/log.h"

namespace rosemarywinch {

void LogEvacuationChange(const std::set<std::string>& before,
                         const std::set<std::string>& after) {
  const auto log_new = [](const char* event, const std::set<std::string>& names,
                          const std::set<std::string>& others) {
    for (const std::string& name : names) {
      if (!others.contains(name)) {
        LogEvent(LogLevel::kInfo, event, {{"data_centre", name}});
      }
    }
  };
  log_new("evacuation_started", after, before);
  log_new("evacuation_ended", before, after);
}

}  // namespace rosemarywinch
