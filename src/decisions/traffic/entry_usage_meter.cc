#include "rosemarywinch/decisions/traffic/entry_usage_meter.h"

#include <algorithm>
#include <utility>

namespace rosemarywinch {

namespace {

// Polls are as close as 40 ms while something changes; a rate over so short a
// time would stand for the next half second.
constexpr Duration kMinPeriod{250};

}  // namespace

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
  if (now < m_since + kMinPeriod) {
    return m_last;
  }
  const auto length = static_cast<double>((now - m_since).ms);
  std::vector<EntryUsage> usages;
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
  m_last = std::move(usages);
  return m_last;
}

}  // namespace rosemarywinch
