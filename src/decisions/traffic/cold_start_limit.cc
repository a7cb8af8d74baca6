#include "rosemarywinch/decisions/traffic/cold_start_limit.h"

#include <algorithm>
#include <cmath>

namespace rosemarywinch {

namespace {

constexpr double kMsPerSecond = 1000;
// Clock readings are cut to whole milliseconds, so that two of them may seem
// further apart than they are, by less than this.
constexpr Duration kClockStep{1};
// Greater rates are taken for this one, so that times stay in range.
constexpr double kMaxRate = 1e6;
constexpr double kMinRate = 1e-3;
// A cold backend server works at about half its speed, and the mean time of the
// calls before says little, so that calls may take this long without being held
// back for a slot.
constexpr double kMinCallMs = 250;
// Time over which the slots grow to the full number after a cold period.
constexpr Duration kWarmUp{4'000};

double SlotsWhenCold(double rate, double mean_ms) {
  return std::ceil(rate * std::max(mean_ms, kMinCallMs) / kMsPerSecond);
}

}  // namespace

void ColdStartLimit::SetRate(TimePoint now, double rate, double mean_ms) {
  if (cold() && rate <= 0) {
    m_warm_since = now;
    m_slots_when_cold = SlotsWhenCold(m_rate, mean_ms);
    m_starts.clear();
  }
  m_rate = rate > 0 ? std::clamp(rate, kMinRate, kMaxRate) : 0;
}

bool ColdStartLimit::IsWarming(TimePoint now) const {
  return !cold() && m_slots_when_cold > 0 && now < m_warm_since + kWarmUp;
}

void ColdStartLimit::OnStart(TimePoint now) {
  if (!cold()) {
    return;
  }
  m_starts.push_back(now);
  while (m_starts.size() > CallsPerWindow()) {
    m_starts.pop_front();
  }
}

TimePoint ColdStartLimit::StartTime(TimePoint now, size_t ahead) const {
  if (!cold()) {
    return now;
  }
  // Of CallsPerWindow() + 1 consecutive starts, the last one is more than the
  // window after the first.
  const size_t calls = CallsPerWindow();
  const auto windows = static_cast<int64_t>(ahead / calls);
  const size_t bound_by = m_starts.size() + ahead % calls;
  const TimePoint first =
      bound_by < calls ? now
                       : std::max(now, m_starts[bound_by - calls] + Window());
  return first + Window() * windows;
}

uint32_t ColdStartLimit::UsableSlots(TimePoint now,
                                     uint32_t slots,
                                     double mean_ms) const {
  double usable = slots;
  if (cold()) {
    usable = SlotsWhenCold(m_rate, mean_ms);
  } else if (IsWarming(now)) {
    const double grown = (now - m_warm_since).Seconds() / kWarmUp.Seconds();
    usable = m_slots_when_cold + (slots - m_slots_when_cold) * grown;
  }
  return std::clamp<uint32_t>(
      static_cast<uint32_t>(std::min<double>(usable, slots)), 1,
      std::max<uint32_t>(1, slots));
}

size_t ColdStartLimit::CallsPerWindow() const {
  return std::max<size_t>(1, static_cast<size_t>(m_rate));
}

// One second, or the time of one call if less than one may start in a second.
Duration ColdStartLimit::Window() const {
  const double seconds = std::max(1.0, 1 / m_rate);
  return Duration{static_cast<int64_t>(std::ceil(seconds * kMsPerSecond))} +
         kClockStep;
}

}  // namespace rosemarywinch
