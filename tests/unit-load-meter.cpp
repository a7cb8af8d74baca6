#define BOOST_TEST_MODULE load_meter
#include <boost/test/unit_test.hpp>

#include "rosemarywinch/decisions/traffic/load_meter.h"

namespace rosemarywinch {
namespace {

constexpr TimePoint kStart{50'000};

// Guards against means that depend on the moment of the report instead of on
// the whole interval.
BOOST_AUTO_TEST_CASE(means_are_exact_over_the_interval) {
  LoadMeter meter;
  meter.Restart(kStart);
  meter.OnCalls(kStart + Duration{100}, 4, 0);
  meter.OnCalls(kStart + Duration{300}, 5, 2);
  meter.OnEnd(CallEnd::kCompleted);
  meter.OnEnd(CallEnd::kRefused);
  meter.OnEnd(CallEnd::kRefused);
  meter.OnEnd(CallEnd::kFailed);
  const auto load = meter.Take(kStart + Duration{500}, 8);
  BOOST_REQUIRE(load.has_value());
  BOOST_TEST(load->usable_slots == 8);
  BOOST_TEST(load->busy == (4 * 200 + 5 * 200) / 500.0);
  BOOST_TEST(load->waiting == 2 * 200 / 500.0);
  BOOST_TEST(load->completed_rate == 2);
  BOOST_TEST(load->refused_rate == 4);
  BOOST_TEST(load->failed_rate == 2);
  // Calls that still run count in the next interval, ended ones do not.
  const auto next = meter.Take(kStart + Duration{700}, 8);
  BOOST_TEST(next->busy == 5);
  BOOST_TEST(next->completed_rate == 0);
}

// Guards against rates over an empty or very short interval, and against calls
// of an earlier incarnation in the report of the next one.
BOOST_AUTO_TEST_CASE(
    empty_intervals_and_earlier_incarnations_are_not_reported) {
  LoadMeter meter;
  meter.Restart(kStart);
  BOOST_TEST(!meter.Take(kStart, 8).has_value());
  BOOST_TEST(!meter.Take(kStart + Duration{199}, 8).has_value());
  meter.OnCalls(kStart, 3, 1);
  meter.OnEnd(CallEnd::kFailed);
  meter.OnCalls(kStart + Duration{400}, 0, 0);
  meter.Restart(kStart + Duration{400});
  const auto load = meter.Take(kStart + Duration{600}, 8);
  BOOST_TEST(load->busy == 0);
  BOOST_TEST(load->failed_rate == 0);
}

}  // namespace
}  // namespace rosemarywinch
