#define BOOST_TEST_MODULE request_context
#include <boost/test/unit_test.hpp>

#include "rosemarywinch/decisions/traffic/request_context.h"

namespace rosemarywinch {
namespace {

constexpr TimePoint kNow{100'000};
constexpr TimePoint kDeadline{101'000};

struct Fixture {
  Fixture() {
    HopEnvelope envelope;
    envelope.request_id = "r";
    envelope.account = "acme";
    envelope.retries = 2;
    envelope.depth = 1;
    envelope.max_depth = 3;
    contexts.Open("c", envelope, kDeadline);
  }

  Outcome<NestedCall> Begin(const std::string& call,
                            const std::string& context = "c",
                            TimePoint now = kNow) {
    return Capture([&] { return contexts.BeginNested(now, context, call); });
  }

  RequestContexts contexts;
};

ErrorId ErrorIn(const Outcome<NestedCall>& outcome) {
  const auto* error = std::get_if<Error>(&outcome);
  return error == nullptr ? ErrorId::kNone : error->id;
}

BOOST_FIXTURE_TEST_CASE(a_nested_call_inherits_the_attributes_of_its_request,
                        Fixture) {
  const auto call = std::get<NestedCall>(Begin("x"));
  BOOST_TEST(call.account == "acme");
  BOOST_TEST(call.depth == 2u);
  BOOST_TEST(call.retries == 2u);
  BOOST_TEST((call.deadline == kDeadline));
}

BOOST_FIXTURE_TEST_CASE(forged_closed_and_late_contexts_are_refused, Fixture) {
  BOOST_TEST((ErrorIn(Begin("x", "forged")) == ErrorId::kContextUnknown));
  BOOST_TEST((ErrorIn(Begin("x", "c", kDeadline)) == ErrorId::kDeadlinePassed));
  contexts.Close("c");
  BOOST_TEST((ErrorIn(Begin("x")) == ErrorId::kContextUnknown));
}

BOOST_FIXTURE_TEST_CASE(remaining_retries_are_lent_once_and_returned, Fixture) {
  BOOST_TEST(std::get<NestedCall>(Begin("x")).retries == 2u);
  BOOST_TEST(std::get<NestedCall>(Begin("y")).retries == 0u);
  contexts.EndNested("c", 1, {10});
  BOOST_TEST(std::get<NestedCall>(Begin("z")).retries == 1u);
  contexts.EndNested("c", 1, {10});
  const auto closed = contexts.Close("c");
  BOOST_TEST(closed.retries_left == 1u);
  BOOST_TEST(closed.nested_time.ms == 20);
}

BOOST_FIXTURE_TEST_CASE(repeated_calls_of_a_backend_server_use_up_retries,
                        Fixture) {
  for (int i = 0; i < 3; ++i) {
    const auto call = Begin("x");
    BOOST_REQUIRE(std::holds_alternative<NestedCall>(call));
    contexts.EndNested("c", std::get<NestedCall>(call).retries, {});
  }
  BOOST_TEST((ErrorIn(Begin("x")) == ErrorId::kRetriesSpent));
  BOOST_TEST((ErrorIn(Begin("another")) == ErrorId::kNone));
}

BOOST_AUTO_TEST_CASE(a_call_chain_ends_at_its_maximum_depth) {
  RequestContexts contexts;
  HopEnvelope envelope;
  envelope.depth = 3;
  envelope.max_depth = 3;
  contexts.Open("c", envelope, kDeadline);
  const auto outcome =
      Capture([&] { return contexts.BeginNested(kNow, "c", "x"); });
  BOOST_TEST((std::get<Error>(outcome).id == ErrorId::kTooDeep));
}

}  // namespace
}  // namespace rosemarywinch
