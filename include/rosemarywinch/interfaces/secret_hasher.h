#ifndef ROSEMARYWINCH_INTERFACES_SECRET_HASHER_H_
#define ROSEMARYWINCH_INTERFACES_SECRET_HASHER_H_

#include <string>
#include <string_view>

namespace rosemarywinch {

/// Hashes key secrets. Implementations are thread-safe.
class SecretHasher {
 public:
  virtual ~SecretHasher() = default;

  /// Returns the hash under which a secret is stored, in hexadecimal digits.
  virtual std::string Hash(std::string_view secret) const = 0;

  /// Compares in a time that does not depend on where the texts differ.
  virtual bool SameHash(std::string_view a, std::string_view b) const = 0;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_INTERFACES_SECRET_HASHER_H_
