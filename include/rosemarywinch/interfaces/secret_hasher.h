#ifndef ROSEMARYWINCH_INTERFACES_SECRET_HASHER_H_
#define ROSEMARYWINCH_INTERFACES_SECRET_HASHER_H_

#include <string>
#include <string_view>

namespace rosemarywinch {

/// Hashes the secrets of client account keys. Implementations are thread-safe.
class SecretHasher {
 public:
  virtual ~SecretHasher() = default;

  /// Returns the hash that is stored for a secret, in hexadecimal.
  virtual std::string Hash(std::string_view secret) const = 0;

  /// Compares two hashes in constant time: the duration does not depend on
  /// where they differ.
  virtual bool SameHash(std::string_view a, std::string_view b) const = 0;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_INTERFACES_SECRET_HASHER_H_
