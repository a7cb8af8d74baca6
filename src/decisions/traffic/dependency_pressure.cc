#include "rosemarywinch/decisions/traffic/dependency_pressure.h"

#include <algorithm>
#include <cmath>

namespace rosemarywinch {

namespace {

// Weight of the latest response in the moving average of a direct dependency.
constexpr double kEwmaWeight = 0.2;
// Lifetime of a pressure value from its measurement.
constexpr Duration kPressureTtl{1'000};
// Time constant of the exponential decay of call and run counts.
constexpr Duration kCountDecayTime{10'000};
// Calls per run from which a service counts as a dependency.
constexpr double kMinCallRatio = 0.1;
// Fewer recent calls than this are too few to decide.
constexpr double kMinCalls = 3;
// Maximum number of services that one response reports.
constexpr size_t kMaxReportedServices = 8;

}  // namespace

void DependencyPressure::OnRun(TimePoint now) {
  Decay(now);
  m_runs += 1;
}

void DependencyPressure::OnCall(TimePoint now, const std::string& service) {
  Decay(now);
  m_services[service].calls += 1;
}

void DependencyPressure::OnAnswer(
    TimePoint now,
    const std::string& service,
    double pressure,
    const std::vector<ServicePressure>& dependencies) {
  if (!IsCalled(service)) {
    return;
  }
  Service& called = m_services[service];
  called.measured_directly = true;
  called.pressure += kEwmaWeight * (pressure - called.pressure);
  called.measured = now;
  for (const ServicePressure& reported : dependencies) {
    const TimePoint measured = now - reported.age;
    Service& other = m_services[reported.service];
    const bool direct = other.measured_directly && IsCalled(reported.service);
    if (!direct && measured > other.measured) {
      other.pressure = reported.pressure;
      other.measured = measured;
    }
  }
}

std::vector<ServicePressure> DependencyPressure::RecentPressures(
    TimePoint now) const {
  std::vector<ServicePressure> known;
  for (const auto& [name, service] : m_services) {
    const Duration age = now - service.measured;
    if (age < kPressureTtl) {
      known.push_back({name, service.pressure, age});
    }
  }
  std::sort(known.begin(), known.end(),
            [](const ServicePressure& left, const ServicePressure& right) {
              return left.pressure > right.pressure;
            });
  known.resize(std::min(known.size(), kMaxReportedServices));
  return known;
}

void DependencyPressure::Decay(TimePoint now) {
  const double age = (now - m_last_decay).Seconds() / kCountDecayTime.Seconds();
  if (age <= 0) {
    return;
  }
  const double kept = std::exp(-age);
  m_runs *= kept;
  for (auto& [name, service] : m_services) {
    service.calls *= kept;
  }
  m_last_decay = now;
}

bool DependencyPressure::IsCalled(const std::string& service) const {
  const auto found = m_services.find(service);
  return found != m_services.end() && found->second.calls >= kMinCalls &&
         found->second.calls >= kMinCallRatio * m_runs;
}

double MaxPressure(const std::vector<ServicePressure>& known) {
  double greatest = 0;
  for (const ServicePressure& service : known) {
    greatest = std::max(greatest, service.pressure);
  }
  return greatest;
}

}  // namespace rosemarywinch
