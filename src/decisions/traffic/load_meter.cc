#include "rosemarywinch/decisions/traffic/load_meter.h"

#include <algorithm>

namespace rosemarywinch {

namespace {

// A poll on request may follow the last one within 40 ms, in which only a few
// calls end: rates over so short a time are noise.
constexpr Duration kMinInterval{200};
constexpr double kMsPerSecond = 1000;

}  // namespace

void LoadMeter::Advance(TimePoint now) {
  const auto elapsed =
      static_cast<double>(std::max<int64_t>(0, (now - m_advanced).ms));
  m_busy_ms += m_busy * elapsed;
  m_waiting_ms += m_waiting * elapsed;
  m_advanced = std::max(m_advanced, now);
}

void LoadMeter::OnCalls(TimePoint now, size_t busy, size_t waiting) {
  Advance(now);
  m_busy = static_cast<double>(busy);
  m_waiting = static_cast<double>(waiting);
}

void LoadMeter::OnEnd(CallEnd end) {
  switch (end) {
    case CallEnd::kCompleted:
      ++m_completed;
      return;
    case CallEnd::kRefused:
      ++m_refused;
      return;
    case CallEnd::kFailed:
      ++m_failed;
      return;
  }
}

void LoadMeter::Restart(TimePoint now) {
  m_interval_start = now;
  m_advanced = now;
  m_busy_ms = 0;
  m_waiting_ms = 0;
  m_completed = 0;
  m_refused = 0;
  m_failed = 0;
}

std::optional<BackendLoad> LoadMeter::Take(TimePoint now, double usable_slots) {
  Advance(now);
  if (now < m_interval_start + kMinInterval) {
    return std::nullopt;
  }
  const auto elapsed_ms = static_cast<double>((now - m_interval_start).ms);
  const auto rate = [&](uint64_t count) {
    return static_cast<double>(count) * kMsPerSecond / elapsed_ms;
  };
  BackendLoad load;
  load.usable_slots = usable_slots;
  load.busy = m_busy_ms / elapsed_ms;
  load.waiting = m_waiting_ms / elapsed_ms;
  load.completed_rate = rate(m_completed);
  load.refused_rate = rate(m_refused);
  load.failed_rate = rate(m_failed);
  Restart(now);
  return load;
}

}  // namespace rosemarywinch
