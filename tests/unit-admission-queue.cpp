#define BOOST_TEST_MODULE admission_queue
#include <boost/test/unit_test.hpp>

#include <map>
#include <set>

#include "rosemarywinch/decisions/fleet/policy.h"
#include "rosemarywinch/decisions/traffic/admission_queue.h"
#include "rosemarywinch/decisions/traffic/retry_budget.h"
#include "support/fakes.h"

namespace rosemarywinch {
namespace {

constexpr TimePoint kNow{100'000};
constexpr TimePoint kLater{200'000};

AdmissionQueue MakeQueue(uint32_t slots, uint32_t length) {
  return AdmissionQueue(MakeLimit(LimitPolicy::kStatic, slots), length);
}

Ticket Make(uint64_t id,
            RequestClass request_class,
            const std::string& account = "a",
            bool nested = false) {
  return {id, request_class, account, 1, nested, kLater};
}

BOOST_AUTO_TEST_CASE(
    refused_waiting_calls_leave_the_queue_and_running_ones_stay) {
  AdmissionQueue queue(MakeLimit(LimitPolicy::kStatic, 1), 10);
  for (uint64_t id = 1; id <= 3; ++id) {
    Ticket ticket;
    ticket.id = id;
    ticket.deadline = TimePoint{10'000};
    queue.Offer(TimePoint{0}, ticket);
  }
  const auto refusals = queue.RefuseWaiting(ErrorId::kDraining);
  BOOST_TEST(refusals.size() == 2u);
  for (const Admission& refusal : refusals) {
    BOOST_TEST((refusal.verdict == Verdict::kRefuse));
    BOOST_TEST((refusal.reason == ErrorId::kDraining));
  }
  BOOST_TEST(queue.waiting() == 0u);
  BOOST_TEST(queue.in_flight() == 1u);
  BOOST_TEST(queue.Finish(TimePoint{1}, {1, false}).empty());
}

BOOST_AUTO_TEST_CASE(essential_calls_evict_lookups_and_run_first) {
  AdmissionQueue queue = MakeQueue(1, 2);
  queue.Offer(kNow, Make(1, RequestClass::kLookup));
  queue.Offer(kNow, Make(2, RequestClass::kLookup));
  queue.Offer(kNow, Make(3, RequestClass::kLookup));
  const auto admissions = queue.Offer(kNow, Make(4, RequestClass::kBooking));
  BOOST_REQUIRE(admissions.size() == 2u);
  BOOST_TEST((admissions[0].verdict == Verdict::kWait));
  BOOST_TEST(admissions[1].ticket == 3u);
  BOOST_TEST((admissions[1].reason == ErrorId::kOverloaded));
  BOOST_TEST(queue.Finish(kNow, {}).at(0).ticket == 4u);
}

BOOST_AUTO_TEST_CASE(nested_calls_run_before_root_requests_of_their_class) {
  AdmissionQueue queue = MakeQueue(1, 10);
  queue.Offer(kNow, Make(1, RequestClass::kLookup));
  queue.Offer(kNow, Make(2, RequestClass::kLookup));
  queue.Offer(kNow, Make(3, RequestClass::kLookup, "a", true));
  queue.Offer(kNow, Make(4, RequestClass::kCharge));
  BOOST_TEST(queue.Finish(kNow, {}).at(0).ticket == 4u);
  BOOST_TEST(queue.Finish(kNow, {}).at(0).ticket == 3u);
  BOOST_TEST(queue.Finish(kNow, {}).at(0).ticket == 2u);
}

BOOST_AUTO_TEST_CASE(a_call_that_cannot_meet_its_deadline_is_not_run) {
  AdmissionQueue queue = MakeQueue(1, 10);
  queue.Offer(kNow, Make(1, RequestClass::kLookup));
  Ticket short_deadline = Make(2, RequestClass::kLookup);
  short_deadline.deadline = kNow + Duration{50};
  queue.Offer(kNow, short_deadline);
  const auto admissions = queue.Finish(kNow + Duration{60}, {});
  BOOST_TEST((admissions.at(0).reason == ErrorId::kDeadlinePassed));
  BOOST_TEST(queue.in_flight() == 0u);
}

// Failure: calls of lookups ran before those of bookings at a service deep in
// the call chain.
BOOST_AUTO_TEST_CASE(nested_calls_run_by_calls_made_and_then_by_entry_class) {
  AdmissionQueue queue = MakeQueue(1, 10);
  queue.Offer(kNow, Make(1, RequestClass::kLookup));
  const auto offer = [&](uint64_t id, uint32_t calls_before,
                         std::optional<uint32_t> entry_priority) {
    Ticket ticket = Make(id, RequestClass::kLookup, "a", true);
    ticket.calls_before = calls_before;
    ticket.entry_priority = entry_priority;
    queue.Offer(kNow, ticket);
  };
  offer(2, 0, std::nullopt);
  offer(3, 0, 2);
  offer(4, 0, 0);
  offer(5, 2, 2);
  offer(6, 0, 0);
  for (const uint64_t expected : {5u, 6u, 4u, 3u, 2u}) {
    BOOST_TEST(queue.Finish(kNow, {}).at(0).ticket == expected);
  }
}

// Failure: a call that could not end in its time was held until its deadline,
// when its caller could not go elsewhere any more.
BOOST_AUTO_TEST_CASE(a_call_that_cannot_end_in_its_time_is_refused_early) {
  AdmissionQueue queue = MakeQueue(1, 10);
  queue.Offer(kNow, Make(1, RequestClass::kLookup));
  for (uint64_t id = 2; id < 80; ++id) {
    queue.Offer(kNow, Make(id, RequestClass::kLookup));
    queue.Finish(kNow, {100, false});
  }
  Ticket hopeless = Make(80, RequestClass::kLookup);
  hopeless.deadline = kNow + Duration{150};
  const auto admissions = queue.Offer(kNow, hopeless);
  BOOST_TEST(admissions.at(0).ticket == 80u);
  BOOST_TEST((admissions.at(0).verdict == Verdict::kRefuse));
  BOOST_TEST((admissions.at(0).reason == ErrorId::kOverloaded));
  hopeless.id = 81;
  hopeless.deadline = kNow + Duration{400};
  BOOST_TEST((queue.Offer(kNow, hopeless).at(0).verdict == Verdict::kWait));
}

// An essential call must never be refused for overload while a lookup waits,
// whatever the order of events. Random sequences from 100 seeds.
BOOST_AUTO_TEST_CASE(lookups_are_always_shed_before_essential_calls) {
  for (uint64_t seed = 1; seed <= 100; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      test::SeededRandom random(seed);
      AdmissionQueue queue =
          MakeQueue(1 + static_cast<uint32_t>(random.Below(5)),
                    1 + static_cast<uint32_t>(random.Below(8)));
      std::map<uint64_t, Ticket> waiting;
      uint64_t next = 0;
      const auto check = [&](const std::vector<Admission>& admissions) {
        for (const Admission& admission : admissions) {
          if (admission.verdict == Verdict::kWait) {
            continue;
          }
          const bool refused = admission.reason == ErrorId::kOverloaded;
          const bool essential =
              IsEssential(waiting.at(admission.ticket).request_class);
          waiting.erase(admission.ticket);
          if (refused && essential) {
            for (const auto& [id, ticket] : waiting) {
              BOOST_REQUIRE(IsEssential(ticket.request_class));
            }
          }
        }
      };
      for (int step = 0; step < 500; ++step) {
        if (random.Below(3) == 0 && queue.in_flight() > 0) {
          check(queue.Finish(kNow, {}));
          continue;
        }
        const Ticket ticket =
            Make(++next,
                 random.Below(2) == 0 ? RequestClass::kLookup
                                      : RequestClass::kBooking,
                 std::to_string(random.Below(4)), random.Below(2) == 0);
        waiting[ticket.id] = ticket;
        check(queue.Offer(kNow, ticket));
        BOOST_REQUIRE_LE(queue.in_flight(), queue.limit());
      }
    }
  }
}

// One account sends ten times as many calls as the other. With equal weights
// each gets half of the slots; a flood of one account must not starve the
// other.
BOOST_AUTO_TEST_CASE(accounts_share_a_full_queue_by_weight) {
  for (const uint32_t weight : {1u, 3u}) {
    AdmissionQueue queue = MakeQueue(1, 50);
    std::map<uint64_t, std::string> account_of;
    std::map<std::string, int> ran;
    uint64_t next = 0;
    for (int round = 0; round < 1000; ++round) {
      for (int i = 0; i < 11; ++i) {
        Ticket ticket =
            Make(++next, RequestClass::kLookup, i == 0 ? "small" : "large");
        ticket.weight = i == 0 ? weight : 1;
        account_of[ticket.id] = ticket.account;
        queue.Offer(kNow, ticket);
      }
      for (int i = 0; i < 2; ++i) {
        for (const Admission& admission : queue.Finish(kNow, {})) {
          ran[account_of[admission.ticket]] += 1;
        }
      }
    }
    // "small" offers one of the two calls that run in each round, which is
    // within its fair share, so nearly all of its calls run.
    BOOST_TEST(ran["small"] >= 980);
  }
}

// Backend server that announces 100 slots but runs only `slots` calls at a
// time; further calls queue inside it.
struct SimulatedBackend {
  void Run(double service_ms, double slots, int windows) {
    for (int i = 0; i < windows * 10; ++i) {
      now = now + Duration{25};
      const double in_flight = CurrentLimit(limit);
      OnSample(limit, now,
               {service_ms * std::max(1.0, in_flight / slots), false},
               CurrentLimit(limit));
    }
  }

  ConcurrencyLimit limit = MakeLimit(LimitPolicy::kAdaptive, 100);
  TimePoint now = kNow;
};

BOOST_AUTO_TEST_CASE(the_limit_shrinks_to_the_actual_slots_and_recovers) {
  SimulatedBackend backend;
  backend.Run(10, 100, 20);
  BOOST_TEST(CurrentLimit(backend.limit) == 100u);
  backend.Run(10, 20, 40);
  BOOST_TEST(CurrentLimit(backend.limit) <= 45u);
  BOOST_TEST(CurrentLimit(backend.limit) >= 18u);
  backend.Run(10, 100, 60);
  BOOST_TEST(CurrentLimit(backend.limit) == 100u);
}

BOOST_AUTO_TEST_CASE(a_slower_backend_server_keeps_its_slots) {
  SimulatedBackend backend;
  backend.Run(10, 100, 20);
  backend.Run(100, 100, 10);
  BOOST_TEST(CurrentLimit(backend.limit) == 100u);
  backend.Run(10, 100, 10);
  BOOST_TEST(CurrentLimit(backend.limit) == 100u);
}

BOOST_AUTO_TEST_CASE(retries_are_limited_to_a_fraction_of_calls) {
  RetryBudget budget;
  int retries = 0;
  for (int i = 0; i < 1000; ++i) {
    budget.OnCall();
    retries += budget.TryRetry() ? 1 : 0;
  }
  BOOST_TEST(retries <=
             1000 * RetryBudget::kRetryRatio + RetryBudget::kMaxTokens);
}

// Throughput, in calls/s, of a backend server that runs `limit` calls at a
// time. A call takes 30 ms, but 1.3 times as long while more than 95 % of the
// slots are in use.
double ThroughputWithKnee(uint32_t limit, uint32_t slots) {
  constexpr double kCallSeconds = 0.030;
  const bool slow = limit > 0.95 * slots;
  return limit / (kCallSeconds * (slow ? 1.3 : 1.0));
}

// Guards against running an overloaded backend server in the range where it
// slows down because it is nearly full, which lowers its throughput.
BOOST_AUTO_TEST_CASE(headroom_keeps_a_backend_server_out_of_its_slow_range) {
  for (const uint32_t slots : {20u, 35u, 108u, 154u}) {
    const uint32_t limit = CurrentLimit(LimitWithHeadroom(slots));
    BOOST_TEST(ThroughputWithKnee(limit, slots) >
               1.15 * ThroughputWithKnee(slots, slots));
    BOOST_TEST(limit >= 0.9 * slots);
  }
  BOOST_TEST(CurrentLimit(LimitWithHeadroom(1)) == 1);
}

}  // namespace
}  // namespace rosemarywinch
