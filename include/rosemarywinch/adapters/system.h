#ifndef ROSEMARYWINCH_ADAPTERS_SYSTEM_H_
#define ROSEMARYWINCH_ADAPTERS_SYSTEM_H_

#include "rosemarywinch/interfaces/clock.h"
#include "rosemarywinch/interfaces/random.h"
#include "rosemarywinch/interfaces/secret_hasher.h"

namespace rosemarywinch {

/// Clock of the operating system; Now() also counts time spent suspended.
class SystemClock : public Clock {
 public:
  TimePoint Now() const override;
  Duration UnixTime() const override;
};

/// libsodium's cryptographically secure random generator.
class SystemRandom : public Random {
 public:
  SystemRandom();
  uint64_t Below(uint64_t bound) override;
  std::string Hex(size_t bytes) override;
};

/// libsodium's generic hash. Secrets are long and random, so a fast hash is
/// sufficient; a password hash is not needed.
class SodiumHasher : public SecretHasher {
 public:
  std::string Hash(std::string_view secret) const override;
  bool SameHash(std::string_view a, std::string_view b) const override;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_ADAPTERS_SYSTEM_H_
