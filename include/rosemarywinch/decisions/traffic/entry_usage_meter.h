#ifndef ROSEMARYWINCH_DECISIONS_TRAFFIC_ENTRY_USAGE_METER_H_
#define ROSEMARYWINCH_DECISIONS_TRAFFIC_ENTRY_USAGE_METER_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "rosemarywinch/core/time.h"
#include "rosemarywinch/schema/admission.h"

namespace rosemarywinch {

/// Measures which part of the local backend server's time is spent on root
/// requests of each entry service. Not thread-safe.
class EntryUsageMeter {
 public:
  /// A call of a root request that entered at `entry_service` takes a slot.
  void Begin(TimePoint now, const std::string& entry_service);
  /// Such a call leaves its slot.
  void End(TimePoint now, const std::string& entry_service);

  /// Returns the mean number of slots in use since the last call of Take(), and
  /// starts a new period. Returns the last result again, and goes on with the
  /// period, if that is too short for a meaningful mean.
  std::vector<EntryUsage> Take(TimePoint now);

 private:
  struct Usage {
    uint32_t running = 0;
    /// Time in slots x ms up to `counted_until`.
    int64_t slot_ms = 0;
    TimePoint counted_until;
  };

  static void CountUntil(TimePoint now, Usage& usage);

  std::map<std::string, Usage> m_usages;
  std::vector<EntryUsage> m_last;
  TimePoint m_since;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_DECISIONS_TRAFFIC_ENTRY_USAGE_METER_H_
