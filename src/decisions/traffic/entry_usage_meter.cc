#include "rosemarywinch/decisions/traffic/entry_usage_meter.h"

#include <algorithm>

namespace rosemarywinch {

void EntryUsageMeter::CountUntil(TimePoint now, Usage& usage) {
  usage.slot_ms += usage.running * (now - usage.counted_until).ms;
  usage.counted_until = now;
}

void EntryUsageMeter::Begin(TimePoint now, const std::string& entry_service) {
  Usage& usage = m_usages[entry_service];
  CountUntil(now, usage);
  ++usage.running;
}

void EntryUsageMeter::End(TimePoint now, const std::string& entry_service) {
  Usage& usage = m_usages[entry_service];
  CountUntil(now, usage);
  usage.running -= std::min<uint32_t>(usage.running, 1);
}

std::vector<EntryUsage> EntryUsageMeter::Take(TimePoint now) {
  std::vector<EntryUsage> usages;
  const auto length = static_cast<double>((now - m_since).ms);
  if (length <= 0) {
    return usages;
  }
  for (auto& [entry_service, usage] : m_usages) {
    CountUntil(now, usage);
    if (usage.slot_ms > 0) {
      usages.push_back(
          {entry_service, static_cast<double>(usage.slot_ms) / length});
    }
    usage.slot_ms = 0;
  }
  std::erase_if(m_usages,
                [](const auto& entry) { return entry.second.running == 0; });
  m_since = now;
  return usages;
}

}  // namespace rosemarywinch
