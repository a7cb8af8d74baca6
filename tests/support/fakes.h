#ifndef ROSEMARYWINCH_TESTS_SUPPORT_FAKES_H_
#define ROSEMARYWINCH_TESTS_SUPPORT_FAKES_H_

#include <boost/trompeloeil.hpp>
#include <random>
#include <string>

#include "rosemarywinch/interfaces/clock.h"
#include "rosemarywinch/interfaces/http.h"
#include "rosemarywinch/interfaces/peer_transport.h"
#include "rosemarywinch/interfaces/random.h"
#include "rosemarywinch/interfaces/secret_hasher.h"
#include "rosemarywinch/interfaces/storage.h"

namespace rosemarywinch::test {

// Clock that the test advances.
class FakeClock : public Clock {
 public:
  TimePoint Now() const override { return now; }
  Duration UnixTime() const override { return {now.ms}; }

  TimePoint now{1'000'000};
};

// Reproducible random numbers.
class SeededRandom : public Random {
 public:
  explicit SeededRandom(uint64_t seed) : m_engine(seed) {}

  uint64_t Below(uint64_t bound) override {
    return bound == 0 ? 0 : m_engine() % bound;
  }

  std::string Hex(size_t bytes) override {
    constexpr const char* kDigits = "0123456789abcdef";
    std::string text;
    for (size_t i = 0; i < bytes * 2; ++i) {
      text += kDigits[Below(16)];
    }
    return text;
  }

 private:
  std::mt19937_64 m_engine;
};

// Fake hash that only adds a prefix.
class PlainHasher : public SecretHasher {
 public:
  std::string Hash(std::string_view secret) const override {
    return "hash-" + std::string(secret);
  }
  bool SameHash(std::string_view a, std::string_view b) const override {
    return a == b;
  }
};

class MockChannel : public trompeloeil::mock_interface<HttpChannel> {
 public:
  IMPLEMENT_MOCK3(Send);
};

class MockTransport : public trompeloeil::mock_interface<PeerTransport> {
 public:
  IMPLEMENT_MOCK1(Send);
};

class MockStorage : public trompeloeil::mock_interface<Storage> {
 public:
  IMPLEMENT_MOCK0(Recover);
  IMPLEMENT_MOCK1(SaveHardState);
  IMPLEMENT_MOCK1(Append);
  IMPLEMENT_MOCK1(TruncateFrom);
  IMPLEMENT_MOCK2(SaveSnapshot);
};

}  // namespace rosemarywinch::test

#endif  // ROSEMARYWINCH_TESTS_SUPPORT_FAKES_H_
