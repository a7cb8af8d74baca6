#define BOOST_TEST_MODULE pressure
#include <boost/test/unit_test.hpp>
#include <map>
#include <random>

#include "rosemarywinch/decisions/traffic/pressure_gate.h"

using namespace rosemarywinch;

namespace {

constexpr Duration kStep{10};

// A service with room for `capacity` requests/s behind a gate: what is let in
// beyond it waits, and the wait is the pressure that answers bring back.
class SmallService {
 public:
  explicit SmallService(double capacity) : m_capacity(capacity) {}

  void Run(Duration length, const std::map<uint32_t, double>& rates) {
    const TimePoint end = m_now + length;
    while (m_now < end) {
      m_now = m_now + kStep;
      for (const auto& [rank, rate] : rates) {
        std::poisson_distribution<int> arrivals(rate * kStep.Seconds());
        for (int count = arrivals(m_random); count > 0; --count) {
          Offer(rank);
        }
      }
      m_waiting = std::max(0.0, m_waiting - m_capacity * kStep.Seconds());
      m_longest = std::max(m_longest, WaitSeconds());
      m_gate.OnPressure(m_now, WaitSeconds() / 0.040);
    }
  }

  double WaitSeconds() const { return m_waiting / m_capacity; }
  double longest_wait() const { return m_longest; }
  void ForgetCounts() {
    m_offered.clear();
    m_let_in.clear();
    m_longest = 0;
  }
  double PartOf(uint32_t rank) { return m_let_in[rank] / m_offered[rank]; }
  double LetIn() const {
    double sum = 0;
    for (const auto& [rank, count] : m_let_in) {
      sum += count;
    }
    return sum;
  }

 private:
  void Offer(uint32_t rank) {
    m_offered[rank] += 1;
    std::uniform_real_distribution<double> point(0, 1);
    m_scale.OnOffer(m_now, rank);
    if (m_gate.Admit(m_now, rank, m_scale.LessUrgentPart(rank),
                     point(m_random))) {
      m_let_in[rank] += 1;
      m_waiting += 1;
    }
  }

  const double m_capacity;
  TimePoint m_now{10'000};
  std::mt19937 m_random{7};
  UrgencyScale m_scale;
  PressureGate m_gate;
  double m_waiting = 0;
  double m_longest = 0;
  std::map<uint32_t, double> m_offered;
  std::map<uint32_t, double> m_let_in;
};

}  // namespace

BOOST_AUTO_TEST_CASE(nothing_is_refused_while_there_is_room) {
  SmallService service(100);
  service.Run({20'000}, {{0, 20}, {2, 40}});
  BOOST_TEST(service.PartOf(0) == 1.0);
  BOOST_TEST(service.PartOf(2) == 1.0);
}

// Pattern: demand of twice the room for a long time.
BOOST_AUTO_TEST_CASE(
    a_long_overload_keeps_the_service_busy_and_the_wait_short) {
  SmallService service(100);
  service.Run({10'000}, {{0, 50}, {2, 150}});
  service.ForgetCounts();
  service.Run({20'000}, {{0, 50}, {2, 150}});
  BOOST_TEST(service.LetIn() >= 0.8 * 100 * 20);
  BOOST_TEST(service.longest_wait() < 0.7);
}

BOOST_AUTO_TEST_CASE(the_least_urgent_are_refused_first) {
  SmallService service(100);
  service.Run({10'000}, {{0, 50}, {2, 150}});
  service.ForgetCounts();
  service.Run({20'000}, {{0, 50}, {2, 150}});
  BOOST_TEST(service.PartOf(0) >= 0.9);
  BOOST_TEST(service.PartOf(2) < 0.5);
  // None is starved for good.
  BOOST_TEST(service.PartOf(2) > 0.1);
}

BOOST_AUTO_TEST_CASE(all_are_let_in_again_soon_after_an_overload) {
  SmallService service(100);
  service.Run({20'000}, {{0, 100}, {2, 200}});
  service.Run({10'000}, {{0, 20}, {2, 40}});
  service.ForgetCounts();
  service.Run({5'000}, {{0, 20}, {2, 40}});
  BOOST_TEST(service.PartOf(2) > 0.99);
}

// Pattern: two services call the same small one. The urgent requests of one
// service go before the others of the other service, though their gates differ.
BOOST_AUTO_TEST_CASE(urgent_requests_go_first_across_services) {
  constexpr double kCapacity = 100;
  constexpr double kUrgentRate = 45;
  constexpr double kOtherRate = 90;
  std::mt19937 random{7};
  std::uniform_real_distribution<double> point(0, 1);
  UrgencyScale scale;
  PressureGate billing;
  PressureGate tracking;
  TimePoint now{10'000};
  double waiting = 0;
  double urgent_let_in = 0;
  double others_let_in = 0;
  const auto offer = [&](PressureGate& gate, uint32_t rank, double rate) {
    double let_in = 0;
    std::poisson_distribution<int> arrivals(rate * kStep.Seconds());
    for (int count = arrivals(random); count > 0; --count) {
      scale.OnOffer(now, rank);
      const double less_urgent = scale.LessUrgentPart(rank);
      let_in += gate.Admit(now, rank, less_urgent, point(random)) ? 1 : 0;
    }
    return let_in;
  };
  constexpr int kSteps = 3'000;
  for (int step = 0; step < kSteps; ++step) {
    now = now + kStep;
    const double urgent = offer(billing, 0, kUrgentRate);
    const double others = offer(tracking, 2, kOtherRate);
    urgent_let_in += urgent;
    others_let_in += others;
    waiting =
        std::max(0.0, waiting + urgent + others - kCapacity * kStep.Seconds());
    const double pressure = waiting / kCapacity / 0.040;
    billing.OnPressure(now, pressure);
    tracking.OnPressure(now, pressure);
  }
  const double seconds = kSteps * kStep.Seconds();
  BOOST_TEST(urgent_let_in >= 0.9 * kUrgentRate * seconds);
  BOOST_TEST(urgent_let_in + others_let_in >= 0.8 * kCapacity * seconds);
}

// Pattern: traffic pauses after an overload. Nobody can bring news, so the gate
// opens by itself.
BOOST_AUTO_TEST_CASE(a_gate_without_requests_opens) {
  PressureGate gate;
  TimePoint now{10'000};
  for (int i = 0; i < 1'000; ++i) {
    now = now + kStep;
    gate.Admit(now, 2, 0, 0.99);
    gate.OnPressure(now, 4);
  }
  BOOST_TEST(gate.admitted(2) < 0.1);
  for (int i = 0; i < 30; ++i) {
    now = now + Duration{1'000};
    gate.Admit(now, 2, 0, 0.999);
  }
  BOOST_TEST(gate.admitted(2) > 0.9);
}

// Pattern: a gate that is nearly shut hears little; news of room opens it soon.
BOOST_AUTO_TEST_CASE(few_answers_with_room_open_the_gate_in_seconds) {
  PressureGate gate;
  TimePoint now{10'000};
  for (int i = 0; i < 1'000; ++i) {
    now = now + kStep;
    gate.Admit(now, 2, 0, 0.5);
    gate.OnPressure(now, 4);
  }
  BOOST_TEST(gate.admitted(2) < 0.1);
  for (int i = 0; i < 80; ++i) {
    now = now + Duration{100};
    gate.Admit(now, 2, 0, 0.0);
    gate.OnPressure(now, 0.2);
  }
  BOOST_TEST(gate.admitted(2) > 0.9);
}
