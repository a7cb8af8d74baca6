#define BOOST_TEST_MODULE sequential_calls
#include <boost/test/unit_test.hpp>

#include <map>
#include <vector>

#include "rosemarywinch/decisions/traffic/admission_queue.h"
#include "rosemarywinch/decisions/traffic/parent_requests.h"

namespace rosemarywinch {
namespace {

constexpr TimePoint kNow{100'000};

// Simulates requests that each call one service with `slots` slots several
// times in sequence and give up after a time limit. Counts the requests that
// finish.
class SequentialCalls {
 public:
  explicit SequentialCalls(uint32_t slots)
      : m_queue(MakeLimit(LimitPolicy::kStatic, slots), 400) {}

  // Starts a request every `gap` for `length`. Returns the number that
  // finished.
  int Run(Duration length, Duration gap) {
    const TimePoint end = kNow + length;
    for (TimePoint now = kNow; now < end; now = now + Duration{1}) {
      while (!m_ends.empty() && m_ends.begin()->first <= now) {
        const uint64_t ticket = m_ends.begin()->second;
        m_ends.erase(m_ends.begin());
        Take(now, m_queue.Finish(now, {kCallMs, false}));
        FinishCall(now, ticket);
      }
      if ((now - kNow).ms % gap.ms == 0) {
        m_requests[++m_last_request] = {now + kLimit, kCalls};
        Call(now, m_last_request);
      }
    }
    return m_finished;
  }

 private:
  static constexpr double kCallMs = 50;
  static constexpr int kCalls = 4;
  static constexpr Duration kLimit{1'000};
  struct Request {
    TimePoint deadline;
    int calls_left = 0;
  };

  void Call(TimePoint now, uint64_t request) {
    Ticket ticket;
    ticket.id = ++m_last_ticket;
    ticket.nested = true;
    ticket.priority = 0;
    ticket.calls_before =
        m_parents.OnCall(now, m_requests[request].deadline, 0).calls_before;
    ticket.deadline = m_requests[request].deadline;
    m_callers[ticket.id] = request;
    Take(now, m_queue.Offer(now, ticket));
  }
  void Take(TimePoint now, const std::vector<Admission>& admissions) {
    for (const Admission& admission : admissions) {
      if (admission.verdict == Verdict::kRun) {
        m_ends.emplace(now + Duration{static_cast<int64_t>(kCallMs)},
                       admission.ticket);
      }
    }
  }
  void FinishCall(TimePoint now, uint64_t ticket) {
    Request& request = m_requests[m_callers[ticket]];
    --request.calls_left;
    if (now >= request.deadline) {
      return;
    }
    if (request.calls_left == 0) {
      ++m_finished;
    } else {
      Call(now, m_callers[ticket]);
    }
  }

  AdmissionQueue m_queue;
  ParentRequests m_parents;
  std::multimap<TimePoint, uint64_t> m_ends;
  std::map<uint64_t, Request> m_requests;
  std::map<uint64_t, uint64_t> m_callers;
  uint64_t m_last_request = 0;
  uint64_t m_last_ticket = 0;
  int m_finished = 0;
};

}  // namespace

// Overload of a deep service that each request calls four times in sequence, at
// 1.6 times its capacity of 160 requests/s. Requests that have made calls must
// be preferred; otherwise the work of those refused at a later call is wasted.
BOOST_AUTO_TEST_CASE(started_requests_finish_their_calls_under_overload) {
  SequentialCalls load(32);
  constexpr int kSeconds = 20;
  const int finished = load.Run(Duration{kSeconds * 1'000}, Duration{4});
  BOOST_TEST(finished >= 0.8 * 160 * kSeconds);
}

// Deadlines are sent in whole ms, so those of one request differ slightly.
BOOST_AUTO_TEST_CASE(calls_with_one_deadline_are_calls_of_one_request) {
  ParentRequests parents;
  const TimePoint deadline = kNow + Duration{800};
  const auto calls_before = [&](TimePoint now, TimePoint at) {
    return parents.OnCall(now, at, 0).calls_before;
  };
  BOOST_TEST(calls_before(kNow, deadline) == 0u);
  BOOST_TEST(calls_before(kNow + Duration{40}, deadline + Duration{1}) == 1u);
  BOOST_TEST(calls_before(kNow + Duration{80}, deadline - Duration{1}) == 2u);
  BOOST_TEST(calls_before(kNow + Duration{80}, deadline + Duration{20}) == 0u);
  BOOST_TEST(calls_before(deadline + Duration{50}, deadline) == 0u);
}

// Failure: the calls of one class were counted for that of a request whose
// deadline is a few ms away.
BOOST_AUTO_TEST_CASE(a_nested_call_has_the_class_of_the_nearest_request) {
  ParentRequests parents;
  const TimePoint deadline = kNow + Duration{800};
  parents.OnRun(kNow, deadline, {"shop", 1});
  parents.OnRun(kNow, deadline + Duration{6}, {"search", 2});
  const auto class_at = [&](Duration offset) {
    return parents.OnCall(kNow, deadline + offset, 0).entry;
  };
  BOOST_TEST((class_at({2}) == EntryClass{"shop", 1}));
  BOOST_TEST((class_at({7}) == EntryClass{"search", 2}));
  BOOST_TEST((class_at({-1}) == EntryClass{"shop", 1}));
}

// Failure: calls with a deadline of their own, shorter than that of the request
// that makes them, cost no class anything, so that the plan misses most of the
// load of the services at the end of a chain.
BOOST_AUTO_TEST_CASE(
    a_call_without_a_match_has_the_class_of_a_running_request) {
  ParentRequests parents;
  const TimePoint deadline = kNow + Duration{5'000};
  parents.OnRun(kNow, deadline, {"shop", 1});
  parents.OnRun(kNow, deadline + Duration{100}, {"shop", 1});
  parents.OnRun(kNow, deadline + Duration{200}, {"search", 2});
  parents.OnRun(kNow, deadline + Duration{300}, {"", 0});
  const auto class_at = [&](int64_t offset, double point) {
    return parents.OnCall(kNow, kNow + Duration{offset}, point).entry;
  };
  BOOST_TEST((class_at(100, 0.1) == EntryClass{"search", 2}));
  BOOST_TEST((class_at(200, 0.5) == EntryClass{"shop", 1}));
  BOOST_TEST((class_at(300, 0.9) == EntryClass{"shop", 1}));
  parents.OnEnd({"search", 2});
  BOOST_TEST((class_at(400, 0.1) == EntryClass{"shop", 1}));
  parents.OnEnd({"shop", 1});
  parents.OnEnd({"shop", 1});
  BOOST_TEST((class_at(500, 0.1) == EntryClass{}));
}

// Failure: of two requests with one deadline, one got the calls of both.
BOOST_AUTO_TEST_CASE(requests_with_one_deadline_share_the_calls) {
  ParentRequests parents;
  const TimePoint deadline = kNow + Duration{800};
  parents.OnRun(kNow, deadline, {"shop", 1});
  parents.OnRun(kNow, deadline, {"search", 2});
  const ParentRequest first = parents.OnCall(kNow, deadline, 0);
  const ParentRequest second = parents.OnCall(kNow, deadline, 0);
  BOOST_TEST((first.entry != second.entry));
  BOOST_TEST(second.calls_before == 0u);
}

}  // namespace rosemarywinch
