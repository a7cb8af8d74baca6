#define BOOST_TEST_MODULE load_shedder_timeouts
#include <boost/test/unit_test.hpp>

#include "rosemarywinch/decisions/traffic/load_shedder.h"

using namespace rosemarywinch;

namespace {

constexpr Duration kStep{10};

}  // namespace

// Overload in which most requests time out. Requests without a response must
// not count as free capacity; otherwise more requests would be admitted and the
// overload would sustain itself.
BOOST_AUTO_TEST_CASE(unanswered_requests_do_not_raise_the_admitted_fraction) {
  LoadShedder shedder;
  TimePoint now{10'000};
  for (int i = 0; i < 1'000; ++i) {
    now = now + kStep;
    shedder.Admit(now, 2, 0, 0.5);
    if (i % 10 == 0) {
      shedder.OnPressure(now, kTimeoutPressure);
    }
  }
  const double admitted = shedder.admitted(2);
  BOOST_TEST(admitted < 0.2);
  for (int i = 0; i < 500; ++i) {
    now = now + kStep;
    shedder.Admit(now, 2, 0, 0.0);
  }
  BOOST_TEST(shedder.admitted(2) <= admitted);
}
