#include "rosemarywinch/adapters/system.h"

#include <sodium.h>
#include <time.h>

#include <array>
#include <cstdlib>
#include <vector>

namespace rosemarywinch {

namespace {

constexpr int64_t kMsPerSecond = 1000;
constexpr int64_t kNsPerMs = 1'000'000;

int64_t ReadMs(clockid_t id) {
  timespec time{};
  clock_gettime(id, &time);
  return time.tv_sec * kMsPerSecond + time.tv_nsec / kNsPerMs;
}

std::string ToHex(const unsigned char* bytes, size_t count) {
  std::string text(count * 2 + 1, '\0');
  sodium_bin2hex(text.data(), text.size(), bytes, count);
  text.pop_back();
  return text;
}

}  // namespace

TimePoint SystemClock::Now() const {
  return {ReadMs(CLOCK_BOOTTIME)};
}

Duration SystemClock::UnixTime() const {
  return {ReadMs(CLOCK_REALTIME)};
}

SystemRandom::SystemRandom() {
  // Safe to call more than once. Without a working random source no secrets may
  // be generated.
  if (sodium_init() < 0) {
    std::abort();
  }
}

uint64_t SystemRandom::Below(uint64_t bound) {
  return bound == 0 ? 0 : randombytes_uniform(static_cast<uint32_t>(bound));
}

std::string SystemRandom::Hex(size_t bytes) {
  std::vector<unsigned char> buffer(bytes);
  randombytes_buf(buffer.data(), buffer.size());
  return ToHex(buffer.data(), buffer.size());
}

std::string SodiumHasher::Hash(std::string_view secret) const {
  std::array<unsigned char, crypto_generichash_BYTES> hash{};
  crypto_generichash(hash.data(), hash.size(),
                     reinterpret_cast<const unsigned char*>(secret.data()),
                     secret.size(), nullptr, 0);
  return ToHex(hash.data(), hash.size());
}

bool SodiumHasher::SameHash(std::string_view a, std::string_view b) const {
  return a.size() == b.size() &&
         sodium_memcmp(a.data(), b.data(), a.size()) == 0;
}

}  // namespace rosemarywinch
