#define BOOST_TEST_MODULE idempotency_store
#include <boost/test/unit_test.hpp>

#include <atomic>
#include <thread>
#include <vector>

#include "rosemarywinch/decisions/traffic/idempotency_store.h"

namespace rosemarywinch {
namespace {

constexpr Duration kWindow{60'000};
constexpr TimePoint kNow{100'000};

ErrorId RefusalOf(const AttemptResult& answer) {
  const auto* refused = std::get_if<NotRunnable>(&answer);
  return refused == nullptr ? ErrorId::kNone : refused->error.id;
}

struct Fixture {
  IdempotencyStore store{"node1", kWindow};
  std::string id = store.Issue(kNow, "shop", "acme", "n1");
};

BOOST_FIXTURE_TEST_CASE(a_repeated_request_gets_the_first_response, Fixture) {
  BOOST_TEST(std::holds_alternative<FirstAttempt>(store.Begin(kNow, id, "f")));
  BOOST_TEST((RefusalOf(store.Begin(kNow, id, "f")) == ErrorId::kStillRunning));
  store.Finish(id, HttpResponse{201, {}, "booked"});
  const AttemptResult again = store.Begin(kNow, id, "f");
  BOOST_REQUIRE(std::holds_alternative<AlreadyExecuted>(again));
  BOOST_TEST(std::get<AlreadyExecuted>(again).answer.body == "booked");
  BOOST_TEST(
      (RefusalOf(store.Begin(kNow, id, "other")) == ErrorId::kRequestReused));
}

BOOST_FIXTURE_TEST_CASE(a_refused_attempt_may_be_repeated, Fixture) {
  store.Begin(kNow, id, "f");
  store.Forget(id);
  BOOST_TEST(std::holds_alternative<FirstAttempt>(store.Begin(kNow, id, "f")));
}

BOOST_FIXTURE_TEST_CASE(an_unknown_outcome_stays_unknown, Fixture) {
  store.Begin(kNow, id, "f");
  store.MarkUnknown(id);
  BOOST_TEST(
      (RefusalOf(store.Begin(kNow, id, "f")) == ErrorId::kOutcomeUnknown));
}

BOOST_FIXTURE_TEST_CASE(a_fenced_id_never_runs, Fixture) {
  BOOST_TEST(store.Fence(kNow, id));
  BOOST_TEST((RefusalOf(store.Begin(kNow, id, "f")) == ErrorId::kBadRequestId));
  const std::string begun = store.Issue(kNow, "shop", "acme", "n2");
  store.Begin(kNow, begun, "f");
  BOOST_TEST(!store.Fence(kNow, begun));
}

BOOST_FIXTURE_TEST_CASE(a_restarted_node_refuses_ids_issued_before, Fixture) {
  IdempotencyStore restarted("node1-again", kWindow);
  BOOST_TEST(
      (RefusalOf(restarted.Begin(kNow, id, "f")) == ErrorId::kOutcomeUnknown));
  BOOST_TEST(!restarted.Fence(kNow, id));
}

BOOST_FIXTURE_TEST_CASE(an_id_expires_before_its_record_is_removed, Fixture) {
  const TimePoint late = kNow + kWindow - Duration{1};
  BOOST_TEST(std::holds_alternative<FirstAttempt>(store.Begin(late, id, "f")));
  store.Finish(id, {});
  for (int i = 0; i < 10; ++i) {
    const TimePoint now = kNow + kWindow + Duration{i * 20'000};
    BOOST_TEST(
        (RefusalOf(store.Begin(now, id, "f")) == ErrorId::kOutcomeUnknown));
  }
}

BOOST_FIXTURE_TEST_CASE(only_one_of_concurrent_attempts_runs, Fixture) {
  std::atomic<int> first = 0;
  std::vector<std::thread> threads;
  for (int i = 0; i < 8; ++i) {
    threads.emplace_back([&] {
      first += std::holds_alternative<FirstAttempt>(store.Begin(kNow, id, "f"))
                   ? 1
                   : 0;
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  BOOST_TEST(first == 1);
}

BOOST_AUTO_TEST_CASE(malformed_ids_are_refused) {
  for (const std::string id :
       {"", "a", "a~b~c~d", "a~b~c~d~e", "a~b~c~d~-1", "a~b~c~d~1~", "~b~c~d~1",
        "a~b~c~~1", "a b~b~c~d~1"}) {
    BOOST_TEST_CONTEXT(id) {
      const auto parsed = Capture([&] { return ParseRequestId(id); });
      BOOST_TEST(std::holds_alternative<Error>(parsed));
    }
  }
}

}  // namespace
}  // namespace rosemarywinch
