#ifndef ROSEMARYWINCH_DECISIONS_TRAFFIC_CLIENT_KEY_H_
#define ROSEMARYWINCH_DECISIONS_TRAFFIC_CLIENT_KEY_H_

#include <optional>
#include <string>
#include <string_view>

#include "rosemarywinch/core/error.h"
#include "rosemarywinch/interfaces/http.h"
#include "rosemarywinch/interfaces/secret_hasher.h"
#include "rosemarywinch/schema/fleet.h"

namespace rosemarywinch {

/// Header that carries a client account key, as `Bearer KEY`.
inline constexpr std::string_view kKeyHeader = "Authorization";

/// Key of a client account: `rwk_` ID `_` SECRET, both in hexadecimal digits.
struct ClientKey {
  std::string id;
  std::string secret;

  std::string Text() const;
  static std::optional<ClientKey> Parse(std::string_view text);
};

/// Returns whether `text` contains a key, plain or percent-encoded.
bool ContainsKey(std::string_view text);

/// Extracts the key of a request, or nothing when it has none.
/// Errors: kKeyMisplaced when a key occurs in the path, the query, the body or
/// the name or value of another header; kWrongKey when the header is malformed.
Result<std::optional<ClientKey>> ExtractClientKey(const HttpRequest& request);

/// Verifies the secret of a key and returns its client account.
/// Errors: kWrongKey when the key is unknown or the secret differs.
Result<std::string> AuthenticateKey(const FleetState& state,
                                    const ClientKey& key,
                                    const SecretHasher& hasher);

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_DECISIONS_TRAFFIC_CLIENT_KEY_H_
