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
    if (m_gate.Admit(m_now, rank, point(m_random))) {
      m_let_in[rank] += 1;
      m_waiting += 1;
    }
  }

  const double m_capacity;
  TimePoint m_now{10'000};
  std::mt19937 m_random{7};
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
