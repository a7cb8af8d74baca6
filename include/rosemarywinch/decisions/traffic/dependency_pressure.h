#ifndef ROSEMARYWINCH_DECISIONS_TRAFFIC_DEPENDENCY_PRESSURE_H_
#define ROSEMARYWINCH_DECISIONS_TRAFFIC_DEPENDENCY_PRESSURE_H_

#include <map>
#include <string>
#include <vector>

#include "rosemarywinch/core/time.h"
#include "rosemarywinch/schema/mesh.h"

namespace rosemarywinch {

/// The services that the local backend server calls, learnt from its calls,
/// and how short of room they and those below them are.
///
/// Answers the pattern "a deep service is full": its pressure rises through
/// every node above it. Each word keeps the time at which it was measured, so
/// services that call one another can't keep an old word alive between them,
/// and a call now and then makes no service depend on another.
/// The caller serialises all calls.
class DependencyPressure {
 public:
  /// Counts a request that the local backend server begins to run.
  void OnRun(TimePoint now);

  /// Counts a call that the local backend server makes of `service`.
  void OnCall(TimePoint now, const std::string& service);

  /// Learns from an answer of `service` its own pressure and what it knows of
  /// the services below.
  void OnAnswer(TimePoint now,
                const std::string& service,
                double pressure,
                const std::vector<ServicePressure>& below);

  /// Returns what is known of late, the fullest first.
  std::vector<ServicePressure> RecentPressures(TimePoint now) const;

 private:
  struct Service {
    double calls = 0;
    /// It has answered a call of the local backend server itself.
    bool measured_directly = false;
    double pressure = 0;
    TimePoint measured;
  };

  void Decay(TimePoint now);
  bool IsCalled(const std::string& service) const;

  double m_runs = 0;
  TimePoint m_last_decay;
  std::map<std::string, Service> m_services;
};

/// Returns the greatest pressure in `known`, 0 when it is empty.
double MaxPressure(const std::vector<ServicePressure>& known);

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_DECISIONS_TRAFFIC_DEPENDENCY_PRESSURE_H_
