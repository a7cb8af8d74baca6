#define BOOST_TEST_MODULE replica_search
#include <boost/test/unit_test.hpp>

#include "rosemarywinch/decisions/control/replica_search.h"

namespace rosemarywinch {
namespace {

// Failure: a node asked all replicas that were down, one timeout each, before
// the leader that the first live one had named, and got its configuration late.
BOOST_AUTO_TEST_CASE(the_named_leader_is_asked_next) {
  ReplicaSearch search(1, {1, 2, 3, 4, 5, 6, 7});
  BOOST_TEST(*search.Next() == 1u);
  BOOST_TEST(*search.Next() == 2u);
  search.OnNamed(7);
  BOOST_TEST(*search.Next() == 7u);
  BOOST_TEST(*search.Next() == 3u);
}

BOOST_AUTO_TEST_CASE(each_replica_is_asked_once) {
  ReplicaSearch search(0, {1, 2});
  search.OnNamed(0);
  BOOST_TEST(*search.Next() == 1u);
  search.OnNamed(1);
  search.OnNamed(9);
  BOOST_TEST(*search.Next() == 9u);
  BOOST_TEST(*search.Next() == 2u);
  BOOST_TEST(!search.Next());
}

}  // namespace
}  // namespace rosemarywinch
