#include "rosemarywinch/decisions/traffic/called_services.h"

#include <algorithm>
#include <cmath>

namespace rosemarywinch {

namespace {

// Weight of the newest answer of a service that is called directly.
constexpr double kAnswerWeight = 0.2;
// A word on pressure is believed for this long.
constexpr Duration kBelievedFor{1'000};
// Calls and runs are counted over about this time.
constexpr Duration kCountSpan{10'000};
// A service counts as called when at least this part of the runs call it.
constexpr double kLeastCallPart = 0.1;
// Fewer calls than this are too few to tell.
constexpr double kLeastCalls = 3;
// Services that one answer tells of.
constexpr size_t kMostTold = 8;

}  // namespace

void CalledServices::OnRun(TimePoint now) {
  Decay(now);
  m_runs += 1;
}

void CalledServices::OnCall(TimePoint now, const std::string& service) {
  Decay(now);
  m_services[service].calls += 1;
}

void CalledServices::OnAnswer(TimePoint now,
                              const std::string& service,
                              double pressure,
                              const std::vector<ServicePressure>& below) {
  if (!IsCalled(service)) {
    return;
  }
  Service& called = m_services[service];
  called.heard_directly = true;
  called.pressure += kAnswerWeight * (pressure - called.pressure);
  called.measured = now;
  for (const ServicePressure& told : below) {
    const TimePoint measured = now - told.age;
    Service& other = m_services[told.service];
    const bool direct = other.heard_directly && IsCalled(told.service);
    if (!direct && measured > other.measured) {
      other.pressure = told.pressure;
      other.measured = measured;
    }
  }
}

std::vector<ServicePressure> CalledServices::Known(TimePoint now) const {
  std::vector<ServicePressure> known;
  for (const auto& [name, service] : m_services) {
    const Duration age = now - service.measured;
    if (age < kBelievedFor) {
      known.push_back({name, service.pressure, age});
    }
  }
  std::sort(known.begin(), known.end(),
            [](const ServicePressure& left, const ServicePressure& right) {
              return left.pressure > right.pressure;
            });
  known.resize(std::min(known.size(), kMostTold));
  return known;
}

void CalledServices::Decay(TimePoint now) {
  const double age = (now - m_decayed).Seconds() / kCountSpan.Seconds();
  if (age <= 0) {
    return;
  }
  const double kept = std::exp(-age);
  m_runs *= kept;
  for (auto& [name, service] : m_services) {
    service.calls *= kept;
  }
  m_decayed = now;
}

bool CalledServices::IsCalled(const std::string& service) const {
  const auto found = m_services.find(service);
  return found != m_services.end() && found->second.calls >= kLeastCalls &&
         found->second.calls >= kLeastCallPart * m_runs;
}

double GreatestPressure(const std::vector<ServicePressure>& known) {
  double greatest = 0;
  for (const ServicePressure& service : known) {
    greatest = std::max(greatest, service.pressure);
  }
  return greatest;
}

}  // namespace rosemarywinch
