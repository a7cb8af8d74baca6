#define BOOST_TEST_MODULE load_shedder_timeouts
#include <boost/test/unit_test.hpp>

#include "rosemarywinch/decisions/traffic/load_shedder.h"

using namespace rosemarywinch;

namespace {

constexpr Duration kStep{10};

}  // namespace

// Pattern: an overload in which most requests time out. What brings no word
// must not look like room: the gate would open and the overload feed itself.
BOOST_AUTO_TEST_CASE(requests_without_an_answer_do_not_open_the_gate) {
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
