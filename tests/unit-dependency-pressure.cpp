#define BOOST_TEST_MODULE dependency_pressure
#include <boost/test/unit_test.hpp>

#include "rosemarywinch/decisions/traffic/dependency_pressure.h"

using namespace rosemarywinch;

namespace {

// Runs `count` requests, each of which calls `service` `times` times.
void Run(DependencyPressure& called,
         TimePoint now,
         int count,
         const std::string& service,
         int times = 1) {
  for (int i = 0; i < count; ++i) {
    called.OnRun(now);
    for (int call = 0; call < times; ++call) {
      called.OnCall(now, service);
    }
  }
}

double PressureAt(const DependencyPressure& called, TimePoint now) {
  return MaxPressure(called.RecentPressures(now));
}

}  // namespace

// Pattern: a deep service is full. Its pressure rises through the nodes above
// it, and is forgotten when nothing is heard of them.
BOOST_AUTO_TEST_CASE(pressure_below_is_known_for_a_while) {
  DependencyPressure called;
  const TimePoint now{10'000};
  Run(called, now, 10, "workshop");
  Run(called, now, 10, "pricing");
  for (int i = 0; i < 50; ++i) {
    called.OnAnswer(now, "workshop", 4, {});
    called.OnAnswer(now, "pricing", 0.5, {});
  }
  BOOST_TEST(PressureAt(called, now) > 3.5);
  BOOST_TEST(PressureAt(called, now + Duration{5'000}) == 0);
}

BOOST_AUTO_TEST_CASE(pressure_rises_over_several_services) {
  DependencyPressure called;
  const TimePoint now{10'000};
  Run(called, now, 10, "billing");
  called.OnAnswer(
      now, "billing", 0,
      {{"pricing", 0.5, Duration{100}}, {"workshop", 3, Duration{200}}});
  const auto known = called.RecentPressures(now);
  BOOST_TEST_REQUIRE(known.size() == 3);
  BOOST_TEST(known[0].service == "workshop");
  BOOST_TEST(known[0].pressure == 3);
  BOOST_TEST(known[0].age.ms == 200);
}

// Pattern: two services that call one another after an overload is over. What
// they heard of a third must end, though they keep telling each other.
BOOST_AUTO_TEST_CASE(pressure_that_nobody_measures_any_more_is_forgotten) {
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

// Pattern: requests without a key are sent through a node now and then, to
// services that its backend server doesn't depend on.
BOOST_AUTO_TEST_CASE(a_service_that_few_runs_call_says_nothing) {
  DependencyPressure called;
  TimePoint now{10'000};
  for (int i = 0; i < 100; ++i) {
    now = now + Duration{10};
    Run(called, now, 10, "pricing", 5);
    called.OnAnswer(now, "pricing", 0.5, {});
    if (i % 10 == 0) {
      called.OnCall(now, "tracking");
      called.OnAnswer(now, "tracking", 4, {{"billing", 5, Duration{}}});
    }
  }
  BOOST_TEST(PressureAt(called, now) < 1);
}

BOOST_AUTO_TEST_CASE(an_older_word_does_not_replace_a_newer_one) {
  DependencyPressure called;
  const TimePoint now{10'000};
  Run(called, now, 10, "billing");
  called.OnAnswer(now, "billing", 0, {{"workshop", 0.5, Duration{10}}});
  called.OnAnswer(now, "billing", 0, {{"workshop", 5, Duration{500}}});
  BOOST_TEST(PressureAt(called, now) == 0.5);
}
