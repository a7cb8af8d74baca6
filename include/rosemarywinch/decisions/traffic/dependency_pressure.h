#ifndef ROSEMARYWINCH_DECISIONS_TRAFFIC_DEPENDENCY_PRESSURE_H_
#define ROSEMARYWINCH_DECISIONS_TRAFFIC_DEPENDENCY_PRESSURE_H_

#include <map>
#include <string>
#include <vector>

#include "rosemarywinch/core/time.h"
#include "rosemarywinch/schema/mesh.h"

namespace rosemarywinch {

/// Pressure of the services that the local backend server depends on, directly
/// or not. The direct dependencies are learnt from its calls.
///
/// Propagates the overload of a service deep in the call graph to every node
/// above it. Each value keeps the time of its measurement, so services that
/// call one another can't keep an outdated value alive between them. A service
/// that is called only occasionally isn't a dependency. Not thread-safe.
class DependencyPressure {
 public:
  /// Counts a request that starts on the local backend server.
  void OnRun(TimePoint now);

  /// Counts a call from the local backend server to `service`.
  void OnCall(TimePoint now, const std::string& service);

  /// Records the pressure that a response of `service` reports for itself and
  /// for its own `dependencies`. Ignored when `service` isn't a dependency.
  void OnAnswer(TimePoint now,
                const std::string& service,
                double pressure,
                const std::vector<ServicePressure>& dependencies);

  /// Returns the values that have not expired, the highest pressure first, up
  /// to a fixed number of services.
  std::vector<ServicePressure> RecentPressures(TimePoint now) const;

 private:
  struct Service {
    double calls = 0;
    /// The service has itself responded to a call of the local backend server.
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

/// Returns the highest pressure in `known`, 0 when it is empty.
double MaxPressure(const std::vector<ServicePressure>& known);

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_DECISIONS_TRAFFIC_DEPENDENCY_PRESSURE_H_
