#ifndef ROSEMARYWINCH_ADAPTERS_SYSTEM_H_
#define ROSEMARYWINCH_ADAPTERS_SYSTEM_H_

#include "rosemarywinch/interfaces/clock.h"
#include "rosemarywinch/interfaces/random.h"
#include "rosemarywinch/interfaces/secret_hasher.h"

namespace rosemarywinch {

/// The operating system's clock that also counts suspended time.
class SystemClock : public Clock {
 public:
  TimePoint Now() const override;
  Duration UnixTime() const override;
};

/// libsodium's generator, fit for secrets.
class SystemRandom : public Random {
 public:
  SystemRandom();
  uint64_t Below(uint64_t bound) override;
  std::string Hex(size_t bytes) override;
};

/// libsodium's generic hash. The secrets are long and random, so a fast hash
/// is enough.
class SodiumHasher : public SecretHasher {
 public:
  std::string Hash(std::string_view secret) const override;
  bool SameHash(std::string_view a, std::string_view b) const override;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_ADAPTERS_SYSTEM_H_
