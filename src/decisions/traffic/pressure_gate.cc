#include "rosemarywinch/decisions/traffic/pressure_gate.h"

#include <algorithm>
#include <cmath>

namespace rosemarywinch {

namespace {

constexpr Duration kAdjustInterval{200};
// With fewer answers than this one slow member would decide, so the gate waits
// for more, up to the longest interval.
constexpr uint32_t kEnoughAnswers = 6;
constexpr Duration kLongestInterval{1'000};
// A round trip under load is longer than the interval, so steps are small.
constexpr double kGentlestCut = 0.95;
constexpr double kHardestCut = 0.75;
constexpr double kCutPerPressure = 0.1;
constexpr double kRecovery = 0.05;
// Some requests are always let in: they bring the news that room is back.
constexpr double kLeastAdmitted = 0.05;
// The least urgent keep this part of the chance of all.
constexpr double kLeastShare = 0.4;
constexpr double kOfferMemory = 0.8;

}  // namespace

bool PressureGate::Admit(TimePoint now, uint32_t rank, double point) {
  Adjust(now);
  m_offers[rank] += 1;
  return m_admitted >= 1 || point < ChanceOf(rank);
}

void PressureGate::OnPressure(TimePoint now, double pressure) {
  m_pressure_sum += pressure;
  ++m_pressures;
  Adjust(now);
}

void PressureGate::Adjust(TimePoint now) {
  const bool enough = m_pressures >= kEnoughAnswers;
  if (now < m_adjusted + (enough ? kAdjustInterval : kLongestInterval)) {
    return;
  }
  const double pressure = m_pressures > 0 ? m_pressure_sum / m_pressures : 0;
  if (pressure > 1) {
    const double cut = 1 - kCutPerPressure * (pressure - 1);
    m_admitted *= std::clamp(cut, kHardestCut, kGentlestCut);
  } else {
    m_admitted += kRecovery;
  }
  m_admitted = std::clamp(m_admitted, kLeastAdmitted, 1.0);
  m_pressure_sum = 0;
  m_pressures = 0;
  m_adjusted = now;
  for (auto& [rank, offers] : m_offers) {
    offers *= kOfferMemory;
  }
}

double PressureGate::ChanceOf(uint32_t rank) const {
  double all = 0;
  double before = 0;
  double own = 0;
  for (const auto& [other, offers] : m_offers) {
    all += offers;
    before += other < rank ? offers : 0;
    own += other == rank ? offers : 0;
  }
  const double room = m_admitted * all - before;
  const double strict = own > 0 ? std::clamp(room / own, 0.0, 1.0) : 1.0;
  return std::max(strict, m_admitted * kLeastShare);
}

}  // namespace rosemarywinch
