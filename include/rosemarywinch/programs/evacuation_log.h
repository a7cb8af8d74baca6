#ifndef ROSEMARYWINCH_PROGRAMS_EVACUATION_LOG_H_
#define ROSEMARYWINCH_PROGRAMS_EVACUATION_LOG_H_

#include <set>
#include <string>

namespace rosemarywinch {

/// Logs each data centre that a node starts or stops to exclude.
void LogEvacuationChange(const std::set<std::string>& before,
                         const std::set<std::string>& after);

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_PROGRAMS_EVACUATION_LOG_H_
