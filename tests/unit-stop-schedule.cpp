#define BOOST_TEST_MODULE stop_schedule
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <random>
#include <vector>

#include "rosemarywinch/decisions/mesh/stop_schedule.h"
#include "rosemarywinch/decisions/traffic/admission_queue.h"

using namespace rosemarywinch;

namespace {

constexpr TimePoint kBegan{100'000};

constexpr std::array kStopPhases{StopPhase::kClosed, StopPhase::kBounded,
                                 StopPhase::kFinishing, StopPhase::kAnswering,
                                 StopPhase::kOver};

StopPhase PhaseAt(const StopSchedule& schedule, TimePoint now) {
  StopPhase current = StopPhase::kNotReady;
  for (const StopPhase phase : kStopPhases) {
    current = now >= schedule.Begin(phase) ? phase : current;
  }
  return current;
}

// What became of a request.
enum class Fate { kOpen, kRefused, kQueued, kRunning, kAnswered, kGivenUp };

struct SimulatedRequest {
  Fate fate = Fate::kOpen;
  RequestOrigin origin = RequestOrigin::kCaller;
  StopPhase arrived = StopPhase::kRunning;
  TimePoint deadline;
  int64_t work_ms = 0;
  TimePoint ends;
  bool sent = false;
  TimePoint closed;
};

// A node that is stopped while its requests wait in the queue of another node
// or run there. Requests arrive, wait and run for random times.
class StopSimulation {
 public:
  StopSimulation(uint64_t seed, Duration grace)
      : m_random(seed),
        m_schedule(kBegan, grace),
        m_queue(MakeLimit(LimitPolicy::kStatic, 1 + Below(3)), 50) {}

  void Run() {
    const TimePoint over = m_schedule.Begin(StopPhase::kOver);
    for (m_now = kBegan; m_now < over; m_now = m_now + Duration{1}) {
      EnterPhase(PhaseAt(m_schedule, m_now));
      if (Below(40) == 0) {
        Arrive();
      }
      EndWork();
    }
  }

  const std::map<uint64_t, SimulatedRequest>& requests() const {
    return m_requests;
  }

 private:
  uint32_t Below(uint32_t bound) {
    return static_cast<uint32_t>(m_random() % bound);
  }

  void EnterPhase(StopPhase phase) {
    if (phase == m_phase) {
      return;
    }
    m_phase = phase;
    if (!MaySend(phase)) {
      Apply(m_queue.RefuseWaiting(ErrorId::kDraining));
    }
    if (phase == StopPhase::kAnswering) {
      GiveUpRunning();
    }
  }

  void Arrive() {
    const uint64_t id = ++m_last_id;
    SimulatedRequest& request = m_requests[id];
    request.origin =
        Below(3) == 0 ? RequestOrigin::kLocalBackend : RequestOrigin::kCaller;
    request.work_ms = 1 + Below(Below(5) == 0 ? 10'000 : 300);
    request.arrived = m_phase;
    request.deadline =
        m_now + Duration{1 + Below(Below(2) == 0 ? 60'000 : 1'000)};
    const StopState state = m_schedule.StateIn(m_phase);
    if (!IsAccepted(state, request.origin, request.deadline) ||
        !MaySend(m_phase)) {
      Close(request, Fate::kRefused);
      return;
    }
    Ticket ticket;
    ticket.id = id;
    ticket.account = "a" + std::to_string(Below(3));
    ticket.deadline = request.deadline;
    Apply(m_queue.Offer(m_now, ticket));
  }

  void Apply(const std::vector<Admission>& admissions) {
    for (const Admission& admission : admissions) {
      SimulatedRequest& request = m_requests[admission.ticket];
      switch (admission.verdict) {
        case Verdict::kRun:
          request.fate = Fate::kRunning;
          request.sent = true;
          request.ends =
              std::min(m_now + Duration{request.work_ms}, request.deadline);
          break;
        case Verdict::kRefuse:
          Close(request, Fate::kRefused);
          break;
        case Verdict::kWait:
          request.fate = Fate::kQueued;
          break;
      }
    }
  }

  void EndWork() {
    for (auto& [id, request] : m_requests) {
      if (request.fate == Fate::kRunning && request.ends <= m_now) {
        Close(request, Fate::kAnswered);
        Apply(m_queue.Finish(m_now,
                             {static_cast<double>(request.work_ms), false}));
      }
    }
  }

  void GiveUpRunning() {
    for (auto& [id, request] : m_requests) {
      if (request.fate == Fate::kRunning) {
        Close(request, Fate::kGivenUp);
      }
    }
  }

  void Close(SimulatedRequest& request, Fate fate) {
    request.fate = fate;
    request.closed = m_now;
  }

  std::mt19937_64 m_random;
  const StopSchedule m_schedule;
  AdmissionQueue m_queue;
  TimePoint m_now = kBegan;
  StopPhase m_phase = StopPhase::kNotReady;
  uint64_t m_last_id = 0;
  std::map<uint64_t, SimulatedRequest> m_requests;
};

}  // namespace

BOOST_AUTO_TEST_CASE(phases_follow_one_another_within_the_grace_period) {
  for (const int64_t grace : {100, 500, 1'000, 2'000, 6'000, 3'600'000}) {
    const StopSchedule schedule(kBegan, Duration{grace});
    TimePoint before = kBegan;
    for (const StopPhase phase : kStopPhases) {
      BOOST_TEST((schedule.Begin(phase) > before), NameOf(phase) << grace);
      before = schedule.Begin(phase);
    }
    BOOST_TEST((before < kBegan + Duration{grace}));
  }
}

// What arrives when callers have had time to notice isn't passed on: at the end
// it would be cut off. The local backend server has no other node to call.
BOOST_AUTO_TEST_CASE(late_callers_are_refused_and_nested_calls_are_not) {
  const StopSchedule schedule(kBegan, Duration{6'000});
  const auto accepts = [&](StopPhase phase, RequestOrigin origin) {
    return IsAccepted(schedule.StateIn(phase), origin,
                      schedule.Begin(StopPhase::kAnswering));
  };
  BOOST_TEST(accepts(StopPhase::kNotReady, RequestOrigin::kCaller));
  BOOST_TEST(!accepts(StopPhase::kClosed, RequestOrigin::kCaller));
  BOOST_TEST(!accepts(StopPhase::kBounded, RequestOrigin::kCaller));
  BOOST_TEST(accepts(StopPhase::kClosed, RequestOrigin::kLocalBackend));
  BOOST_TEST(accepts(StopPhase::kBounded, RequestOrigin::kLocalBackend));
  BOOST_TEST(!accepts(StopPhase::kFinishing, RequestOrigin::kLocalBackend));
  BOOST_TEST(MaySend(StopPhase::kClosed));
  BOOST_TEST(MaySend(StopPhase::kBounded));
  BOOST_TEST(!MaySend(StopPhase::kFinishing));
}

// Failure: a call of the local backend server that came late was passed on and
// broken off while its backend server was at work.
BOOST_AUTO_TEST_CASE(a_late_call_is_accepted_only_if_it_ends_in_time) {
  const StopSchedule schedule(kBegan, Duration{6'000});
  const TimePoint break_off = schedule.Begin(StopPhase::kAnswering);
  const auto accepts = [&](StopPhase phase, TimePoint deadline) {
    return IsAccepted(schedule.StateIn(phase), RequestOrigin::kLocalBackend,
                      deadline);
  };
  const TimePoint later = break_off + Duration{1};
  BOOST_TEST(accepts(StopPhase::kClosed, later));
  BOOST_TEST(accepts(StopPhase::kBounded, break_off));
  BOOST_TEST(!accepts(StopPhase::kBounded, later));
  BOOST_TEST(IsAccepted({}, RequestOrigin::kLocalBackend, later));
}

// Failure: a process that was stopped as planned ended with requests open that
// waited in the queue of another node.
BOOST_AUTO_TEST_CASE(each_accepted_request_is_answered_before_the_end) {
  std::map<Fate, int> fates;
  for (uint64_t seed = 1; seed <= 100; ++seed) {
    StopSimulation run(seed, Duration{500 + static_cast<int64_t>(seed) * 60});
    run.Run();
    for (const auto& [id, request] : run.requests()) {
      const bool closed = request.fate == Fate::kAnswered ||
                          request.fate == Fate::kGivenUp ||
                          request.fate == Fate::kRefused;
      BOOST_REQUIRE_MESSAGE(closed, "seed " << seed << ", request " << id);
      const bool truly_refused =
          request.fate != Fate::kRefused || !request.sent;
      BOOST_REQUIRE_MESSAGE(truly_refused, "seed " << seed << ", " << id);
      const bool late = request.arrived >= StopPhase::kBounded;
      const bool broken_off =
          request.fate == Fate::kGivenUp && request.deadline > request.closed;
      BOOST_REQUIRE_MESSAGE(!(late && broken_off),
                            "seed " << seed << ", " << id);
      ++fates[request.fate];
    }
  }
  BOOST_TEST(fates[Fate::kAnswered] > 0);
  BOOST_TEST(fates[Fate::kGivenUp] > 0);
  BOOST_TEST(fates[Fate::kRefused] > 0);
}
