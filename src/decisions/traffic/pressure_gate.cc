#include "rosemarywinch/decisions/traffic/pressure_gate.h"

#include <algorithm>
#include <cmath>

namespace rosemarywinch {

namespace {

constexpr Duration kAdjustInterval{200};
// With fewer answers than this one slow member would shut the gate, so it waits
// for more, up to the longest interval. A gate that is nearly shut gets few
// answers, so it may open with fewer.
constexpr uint32_t kEnoughAnswers = 6;
constexpr Duration kLongestInterval{1'000};
// A round trip under load is longer than the interval, so steps are small.
constexpr double kLeastCut = 0.05;
constexpr double kGreatestCut = 0.25;
constexpr double kCutPerPressure = 0.1;
constexpr double kRecovery = 0.03;
// Weight of a rank beyond that of the least urgent, when all are less urgent.
constexpr double kUrgentWeight = 2;
// Some requests are always let in: they bring the news that room is back.
constexpr double kLeastAdmitted = 0.05;
// Requests of late are those of about this time.
constexpr Duration kOfferSpan{3'000};

}  // namespace

void UrgencyScale::OnOffer(TimePoint now, uint32_t rank) {
  const double age = (now - m_decayed).Seconds() / kOfferSpan.Seconds();
  if (age > 0) {
    const double kept = std::exp(-age);
    for (auto& [other, offers] : m_offers) {
      offers *= kept;
    }
    m_decayed = now;
  }
  m_offers[rank] += 1;
}

double UrgencyScale::LessUrgentPart(uint32_t rank) const {
  double all = 0;
  double less_urgent = 0;
  for (const auto& [other, offers] : m_offers) {
    all += offers;
    less_urgent += other > rank ? offers : 0;
  }
  return all > 0 ? less_urgent / all : 0;
}

bool PressureGate::Admit(TimePoint now,
                         uint32_t rank,
                         double less_urgent,
                         double point) {
  Adjust(now);
  Rank& own = m_ranks[rank];
  own.weight = 1 + kUrgentWeight * less_urgent;
  const bool let_in = point < own.admitted;
  m_let_in += let_in ? 1 : 0;
  return let_in;
}

void PressureGate::OnPressure(TimePoint now, double pressure) {
  m_pressure_sum += pressure;
  ++m_pressures;
  Adjust(now);
}

double PressureGate::admitted(uint32_t rank) const {
  const auto found = m_ranks.find(rank);
  return found == m_ranks.end() ? 1.0 : found->second.admitted;
}

void PressureGate::Adjust(TimePoint now) {
  const double pressure = m_pressures > 0 ? m_pressure_sum / m_pressures : 0;
  const bool may_move =
      m_pressures >= kEnoughAnswers || (m_pressures > 0 && pressure <= 1);
  if (now < m_adjusted + (may_move ? kAdjustInterval : kLongestInterval)) {
    return;
  }
  if (m_pressures > 0) {
    m_last_pressure = pressure;
    for (auto& [number, rank] : m_ranks) {
      Move(rank, pressure);
    }
  } else if (m_let_in == 0) {
    Open();
  }
  // Requests that were let in and brought no word say nothing of room.
  m_pressure_sum = 0;
  m_pressures = 0;
  m_let_in = 0;
  m_adjusted = now;
}

void PressureGate::Move(Rank& rank, double pressure) {
  if (pressure > 1) {
    const double cut =
        std::clamp(kCutPerPressure * (pressure - 1), kLeastCut, kGreatestCut);
    rank.admitted *= 1 - cut / rank.weight;
  } else {
    rank.admitted += kRecovery * rank.weight;
  }
  rank.admitted = std::clamp(rank.admitted, kLeastAdmitted, 1.0);
}

// Nobody was let in, so nobody could bring news: time alone opens the gate.
void PressureGate::Open() {
  for (auto& [number, rank] : m_ranks) {
    rank.admitted = std::min(1.0, rank.admitted + kRecovery);
  }
}

}  // namespace rosemarywinch
