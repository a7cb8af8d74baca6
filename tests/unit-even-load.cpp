#define BOOST_TEST_MODULE even_load
#include <boost/test/unit_test.hpp>
#include <cstdio>
#include "support/fake_fleet.h"
namespace rosemarywinch {
namespace {
using test::FakeFleet;
using test::FleetOptions;
BOOST_AUTO_TEST_CASE(trial) {
  for (size_t callers : {13, 84, 184, 1400})
    for (int slow : {0, 1})
      for (double util : {0.3, 0.5, 0.65}) {
        double worst = 0, pubs = 0, rem = 0, wait = 0;
        std::string all;
        for (uint64_t seed = 1; seed <= 5; ++seed) {
          FleetOptions o;
          o.callers = callers;
          o.servers = callers == 13 ? 9 : 24;
          o.demand = {1.15, 1.0, 0.85};
          o.seed = seed;
          o.utilization = slow ? util * 0.8 : util;
          FakeFleet f(o);
          if (slow)
            for (size_t i = 0; i < o.servers; i += 4)
              f.servers[i].speed *= 0.25;
          f.Run({10000});
          f.publications = 0;
          f.Measure();
          f.Run({20000});
          worst = std::max(worst, f.BusiestOverMean());
          pubs += f.publications / 20.0 / callers / 5;
          wait += f.MeanWait() / 5;
          rem += f.remote_calls / f.calls / 5;
          all += " " + std::to_string(f.BusiestOverMean()).substr(0, 5);
        }
        printf(
            "fleet: callers %zu slow %d util %.2f worst %.3f wait %.1f remote "
            "%.3f pubs %.3f |%s\n",
            callers, slow, util, worst, wait, rem, pubs, all.c_str());
      }
}
}  // namespace
}  // namespace rosemarywinch
