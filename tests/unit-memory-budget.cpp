#define BOOST_TEST_MODULE memory_budget
#include <boost/test/unit_test.hpp>

#include <utility>

#include "rosemarywinch/decisions/traffic/memory_budget.h"

// Pattern: several bodies of up to 64 MB at the same time, at a node with 160
// to 260 MB.

using namespace rosemarywinch;

namespace {

constexpr uint64_t kMegabyte = 1 << 20;
constexpr uint64_t kBody = 20 * kMegabyte;
constexpr uint64_t kNeeded = kBody * MemoryShare::kCopies;

}  // namespace

// Failure: each upload was accepted whatever the others held.
BOOST_AUTO_TEST_CASE(bodies_that_do_not_fit_together_are_refused) {
  MemoryBudget budget(kNeeded + kMegabyte);
  MemoryShare second(&budget);
  {
    MemoryShare first(&budget);
    BOOST_TEST(first.GrowTo(kBody));
    BOOST_TEST(!second.GrowTo(kBody));
    BOOST_TEST(budget.used() == kNeeded);
  }
  BOOST_TEST(second.GrowTo(kBody));
}

BOOST_AUTO_TEST_CASE(small_bodies_are_accepted_when_the_budget_is_used_up) {
  MemoryBudget budget(kNeeded);
  MemoryShare large(&budget);
  BOOST_TEST(large.GrowTo(kBody));
  MemoryShare small(&budget);
  BOOST_TEST(small.GrowTo(MemoryShare::kUncountedBytes));
  BOOST_TEST(!small.GrowTo(MemoryShare::kUncountedBytes + 1));
}

BOOST_AUTO_TEST_CASE(what_was_taken_is_given_back_once) {
  MemoryBudget budget(kNeeded);
  {
    MemoryShare share(&budget);
    BOOST_TEST(share.GrowTo(kBody / 2));
    BOOST_TEST(share.GrowTo(kBody));
    BOOST_TEST(share.GrowTo(kBody / 2));
    MemoryShare moved(std::move(share));
    share = MemoryShare(&budget);
    BOOST_TEST(budget.used() == kNeeded);
  }
  BOOST_TEST(budget.used() == 0u);
  MemoryShare response(&budget);
  BOOST_TEST(response.GrowTo(kBody));
  // A response that is ready is held, whatever it takes.
  response.Hold(2 * kNeeded);
  BOOST_TEST(budget.used() == 2 * kNeeded);
  response.Hold(0);
  BOOST_TEST(budget.used() == 0u);
  MemoryShare unbounded;
  BOOST_TEST(unbounded.GrowTo(1'000 * kBody));
}
