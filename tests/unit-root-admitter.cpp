#define BOOST_TEST_MODULE root_admitter
#include <boost/test/unit_test.hpp>
#include <string>

#include "rosemarywinch/programs/mesh/root_admitter.h"
#include "support/fakes.h"

using namespace rosemarywinch;

namespace {

const EntryClass kEntry{"shop", 18};

struct Fixture {
  void ReceivePlan(uint64_t revision, double fraction) {
    PollResponse response;
    response.admission_known = true;
    response.admission_revision = revision;
    response.admission = AdmissionPlan{
        revision, {{"shop", 18, fraction, {{"heavy", 0}}, "last"}}};
    admitter.ApplyPoll(response);
  }
  int CountAdmitted(int requests) {
    int admitted = 0;
    for (int i = 0; i < requests; ++i) {
      admitted += admitter.Admit(kEntry, "small").admitted ? 1 : 0;
    }
    return admitted;
  }

  test::FakeClock clock;
  test::SeededRandom random{7};
  RootAdmitter admitter{clock, random};
};

}  // namespace

BOOST_AUTO_TEST_CASE(a_refusal_names_the_short_service_and_whose_share_it_was) {
  Fixture node;
  node.ReceivePlan(7, 0);
  const RootAdmission small = node.admitter.Admit(kEntry, "small");
  BOOST_TEST(!small.admitted);
  BOOST_TEST(small.explanation ==
             "last is short: shop priority 18, planned fraction 0.00 of all");
  node.ReceivePlan(8, 0.5);
  const RootAdmission heavy = node.admitter.Admit(kEntry, "heavy");
  BOOST_TEST(!heavy.admitted);
  BOOST_TEST(heavy.explanation ==
             "last is short: shop priority 18, planned fraction 0.00 of "
             "account heavy, above its fair share");
}

// Fault: control is lost; the plan must neither end at once nor go on for ever.
BOOST_AUTO_TEST_CASE(without_control_the_node_goes_on_from_the_plan) {
  Fixture node;
  BOOST_TEST(!node.admitter.LimitedClasses().has_value());
  node.ReceivePlan(7, 0.4);
  BOOST_TEST(node.CountAdmitted(100) == 40);
  BOOST_TEST(node.admitter.LimitedClasses().value_or(0) == 1u);
  PollResponse unknown;
  node.clock.now = node.clock.now + Duration{1'500};
  node.admitter.ApplyPoll(unknown);
  BOOST_TEST(node.CountAdmitted(100) == 40);
  node.clock.now = node.clock.now + Duration{500};
  BOOST_TEST(!node.admitter.LimitedClasses().has_value());
  const int admitted = node.CountAdmitted(1'000);
  BOOST_TEST(admitted > 340);
  BOOST_TEST(admitted < 460);
}

// Failure: control planned for requests that the rate of their account refused.
BOOST_AUTO_TEST_CASE(a_poll_reports_what_was_offered_and_admitted) {
  Fixture node;
  PollRequest first;
  node.admitter.FillPoll(first);
  node.ReceivePlan(7, 0.5);
  BOOST_TEST(node.CountAdmitted(10) == 5);
  node.admitter.OnRateRefused(kEntry);
  node.clock.now = node.clock.now + Duration{500};
  PollRequest request;
  node.admitter.FillPoll(request);
  BOOST_TEST(request.admission_revision == 7u);
  BOOST_REQUIRE(request.demand.size() == 1u);
  BOOST_TEST(request.demand[0].offered_rate == 20);
  BOOST_TEST(request.demand[0].admitted_rate == 8);
  BOOST_REQUIRE(request.demand[0].accounts.size() == 1u);
  BOOST_TEST(request.demand[0].accounts[0].account == "small");
}
