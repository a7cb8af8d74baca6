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

/// A client account key: `rwk_` ID `_` SECRET, both in hexadecimal digits.
struct ClientKey {
  std::string id;
  std::string secret;

  std::string Text() const;
  static std::optional<ClientKey> Parse(std::string_view text);
};

/// Tells whether a key stands anywhere in `text`, also percent-encoded.
bool ContainsKey(std::string_view text);

/// Reads the key of a request. Returns nothing when none came.
/// Errors: kKeyMisplaced when a key stands in the path, the query, the body or
/// another header; kWrongKey when the header holds no key.
Result<std::optional<ClientKey>> ExtractClientKey(const HttpRequest& request);

/// Returns the client account of a live key. Errors: kWrongKey.
Result<std::string> AuthenticateKey(const FleetState& state,
                                    const ClientKey& key,
                                    const SecretHasher& hasher);

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_DECISIONS_TRAFFIC_CLIENT_KEY_H_
