#define BOOST_TEST_MODULE dependency_pressure
#include <boost/test/unit_test.hpp>

#include "rosemarywinch/decisions/traffic/dependency_pressure.h"

using namespace rosemarywinch;

namespace {

// Runs `count` requests that each call `service` `times` times.
void Run(DependencyPressure& pressures,
         TimePoint now,
         int count,
         const std::string& service,
         int times = 1) {
  for (int i = 0; i < count; ++i) {
    pressures.OnRun(now);
    for (int call = 0; call < times; ++call) {
      pressures.OnCall(now, service);
    }
  }
}

double PressureAt(const DependencyPressure& pressures, TimePoint now) {
  return MaxPressure(pressures.RecentPressures(now));
}

}  // namespace

// Overload of a service deep in the call graph: its pressure must reach the
// nodes above it and expire when no responses arrive any more.
BOOST_AUTO_TEST_CASE(dependency_pressure_is_known_until_it_expires) {
  DependencyPressure pressures;
  const TimePoint now{10'000};
  Run(pressures, now, 10, "workshop");
  Run(pressures, now, 10, "pricing");
  for (int i = 0; i < 50; ++i) {
    pressures.OnAnswer(now, "workshop", 4, {});
    pressures.OnAnswer(now, "pricing", 0.5, {});
  }
  BOOST_TEST(PressureAt(pressures, now) > 3.5);
  BOOST_TEST(PressureAt(pressures, now + Duration{5'000}) == 0);
}

BOOST_AUTO_TEST_CASE(pressure_propagates_across_several_services) {
  DependencyPressure pressures;
  const TimePoint now{10'000};
  Run(pressures, now, 10, "billing");
  pressures.OnAnswer(
      now, "billing", 0,
      {{"pricing", 0.5, Duration{100}}, {"workshop", 3, Duration{200}}});
  const auto known = pressures.RecentPressures(now);
  BOOST_TEST_REQUIRE(known.size() == 3);
  BOOST_TEST(known[0].service == "workshop");
  BOOST_TEST(known[0].pressure == 3);
  BOOST_TEST(known[0].age.ms == 200);
}

// Two services that call one another report the pressure of a third to each
// other. It must expire after the overload is over; otherwise they would keep
// the outdated value alive between them for ever.
BOOST_AUTO_TEST_CASE(pressure_that_is_no_longer_measured_expires) {
  DependencyPressure first;
  DependencyPressure second;
  TimePoint now{10'000};
  Run(first, now, 10, "pricing");
  Run(second, now, 10, "tracking");
  first.OnAnswer(now, "pricing", 0, {{"workshop", 4, Duration{}}});
  for (int i = 0; i < 100; ++i) {
    now = now + Duration{50};
    Run(first, now, 1, "pricing");
    Run(second, now, 1, "tracking");
    second.OnAnswer(now, "tracking", 0, first.RecentPressures(now));
    first.OnAnswer(now, "pricing", 0, second.RecentPressures(now));
  }
  BOOST_TEST(PressureAt(first, now) == 0);
}

// Requests without a key occasionally pass through a node to services that its
// backend server doesn't depend on. Their pressure must not count.
BOOST_AUTO_TEST_CASE(a_rarely_called_service_is_not_a_dependency) {
  DependencyPressure pressures;
  TimePoint now{10'000};
  for (int i = 0; i < 100; ++i) {
    now = now + Duration{10};
    Run(pressures, now, 10, "pricing", 5);
    pressures.OnAnswer(now, "pricing", 0.5, {});
    if (i % 10 == 0) {
      pressures.OnCall(now, "tracking");
      pressures.OnAnswer(now, "tracking", 4, {{"billing", 5, Duration{}}});
    }
  }
  BOOST_TEST(PressureAt(pressures, now) < 1);
}

BOOST_AUTO_TEST_CASE(an_older_measurement_does_not_replace_a_newer_one) {
  DependencyPressure pressures;
  const TimePoint now{10'000};
  Run(pressures, now, 10, "billing");
  pressures.OnAnswer(now, "billing", 0, {{"workshop", 0.5, Duration{10}}});
  pressures.OnAnswer(now, "billing", 0, {{"workshop", 5, Duration{500}}});
  BOOST_TEST(PressureAt(pressures, now) == 0.5);
}
