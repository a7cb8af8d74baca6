#include "rosemarywinch/decisions/traffic/client_key.h"

#include <algorithm>
#include <cctype>

namespace rosemarywinch {

namespace {

constexpr std::string_view kPrefix = "rwk_";
constexpr std::string_view kScheme = "Bearer ";
constexpr size_t kIdDigits = 16;
constexpr size_t kSecretDigits = 64;
constexpr size_t kKeyLength = 4 + kIdDigits + 1 + kSecretDigits;

bool IsHex(std::string_view text) {
  return std::all_of(text.begin(), text.end(),
                     [](unsigned char c) { return std::isxdigit(c); });
}

int HexValue(char digit) {
  if (digit >= '0' && digit <= '9') {
    return digit - '0';
  }
  return std::tolower(static_cast<unsigned char>(digit)) - 'a' + 10;
}

std::string PercentDecoded(std::string_view text) {
  std::string decoded;
  for (size_t i = 0; i < text.size(); ++i) {
    const bool escape =
        text[i] == '%' && i + 2 < text.size() && IsHex(text.substr(i + 1, 2));
    if (escape) {
      decoded +=
          static_cast<char>(HexValue(text[i + 1]) * 16 + HexValue(text[i + 2]));
      i += 2;
    } else {
      decoded += text[i];
    }
  }
  return decoded;
}

bool ContainsPlainKey(std::string_view text) {
  for (size_t at = text.find(kPrefix); at != std::string_view::npos;
       at = text.find(kPrefix, at + 1)) {
    if (ClientKey::Parse(text.substr(at, kKeyLength))) {
      return true;
    }
  }
  return false;
}

bool ContainsMisplacedKey(const HttpRequest& request) {
  const auto& headers = request.headers.all();
  const bool in_headers =
      std::any_of(headers.begin(), headers.end(), [](const HttpHeader& header) {
        return !SameHeaderName(header.name, kKeyHeader) &&
               (ContainsKey(header.value) || ContainsKey(header.name));
      });
  return in_headers || ContainsKey(request.path) ||
         ContainsKey(request.query) || ContainsKey(request.body);
}

}  // namespace

std::string ClientKey::Text() const {
  return std::string(kPrefix) + id + "_" + secret;
}

std::optional<ClientKey> ClientKey::Parse(std::string_view text) {
  const bool well_formed = text.size() == kKeyLength &&
                           text.starts_with(kPrefix) &&
                           text[kPrefix.size() + kIdDigits] == '_';
  if (!well_formed) {
    return std::nullopt;
  }
  const std::string_view id = text.substr(kPrefix.size(), kIdDigits);
  const std::string_view secret = text.substr(kKeyLength - kSecretDigits);
  if (!IsHex(id) || !IsHex(secret)) {
    return std::nullopt;
  }
  return ClientKey{std::string(id), std::string(secret)};
}

bool ContainsKey(std::string_view text) {
  if (ContainsPlainKey(text)) {
    return true;
  }
  const bool escaped = text.find('%') != std::string_view::npos;
  return escaped && ContainsPlainKey(PercentDecoded(text));
}

Result<std::optional<ClientKey>> ExtractClientKey(const HttpRequest& request) {
  if (ContainsMisplacedKey(request)) {
    return Fail(ErrorId::kKeyMisplaced);
  }
  const std::string* value = request.headers.Find(kKeyHeader);
  if (value == nullptr) {
    return std::optional<ClientKey>();
  }
  if (!value->starts_with(kScheme)) {
    return Fail(ErrorId::kWrongKey, "Authorization is not `Bearer KEY`");
  }
  const std::string_view text = std::string_view(*value).substr(kScheme.size());
  std::optional<ClientKey> key = ClientKey::Parse(text);
  if (!key) {
    return Fail(ErrorId::kWrongKey, "malformed key");
  }
  return key;
}

Result<std::string> AuthenticateKey(const FleetState& state,
                                    const ClientKey& key,
                                    const SecretHasher& hasher) {
  const auto found = state.keys.find(key.id);
  const std::string presented = hasher.Hash(key.secret);
  const std::string stored =
      found == state.keys.end() ? presented + "-" : found->second.secret_hash;
  if (!hasher.SameHash(presented, stored)) {
    return Fail(ErrorId::kWrongKey);
  }
  return found->second.account;
}

}  // namespace rosemarywinch
