#define BOOST_TEST_MODULE client_key
#include <boost/test/unit_test.hpp>

#include "rosemarywinch/adapters/system.h"
#include "rosemarywinch/decisions/traffic/client_key.h"
#include "support/fakes.h"

namespace rosemarywinch {
namespace {

const ClientKey kKey{std::string(16, 'a'), std::string(64, 'b')};

ErrorId ErrorOf(const HttpRequest& request) {
  const auto outcome = Capture([&] { return ExtractClientKey(request); });
  const auto* error = std::get_if<Error>(&outcome);
  return error == nullptr ? ErrorId::kNone : error->id;
}

BOOST_AUTO_TEST_CASE(a_key_is_read_from_the_authorization_header) {
  HttpRequest request;
  request.headers.Add("authorization", "Bearer " + kKey.Text());
  const auto key = ExtractClientKey(request);
  BOOST_REQUIRE(key && *key);
  BOOST_TEST((*key)->id == kKey.id);
}

BOOST_AUTO_TEST_CASE(a_key_anywhere_else_is_refused) {
  const std::string key = kKey.Text();
  std::string escaped = "%72wk_" + key.substr(4);
  for (const std::string& text : {key, "x=" + key + "&y", escaped}) {
    HttpRequest in_path;
    in_path.path = "/shop/" + text;
    BOOST_TEST((ErrorOf(in_path) == ErrorId::kKeyMisplaced));
    HttpRequest in_query;
    in_query.query = "key=" + text;
    BOOST_TEST((ErrorOf(in_query) == ErrorId::kKeyMisplaced));
    HttpRequest in_body;
    in_body.body = "{\"k\":\"" + text + "\"}";
    BOOST_TEST((ErrorOf(in_body) == ErrorId::kKeyMisplaced));
    HttpRequest in_header;
    in_header.headers.Add("X-Key", text);
    BOOST_TEST((ErrorOf(in_header) == ErrorId::kKeyMisplaced));
  }
}

BOOST_AUTO_TEST_CASE(a_malformed_key_is_refused) {
  HttpRequest request;
  request.headers.Add("Authorization", "Basic abc");
  BOOST_TEST((ErrorOf(request) == ErrorId::kWrongKey));
  HttpRequest cut;
  cut.headers.Add("Authorization", "Bearer " + kKey.Text().substr(0, 80));
  BOOST_TEST((ErrorOf(cut) == ErrorId::kWrongKey));
}

BOOST_AUTO_TEST_CASE(only_the_secret_of_a_valid_key_authenticates) {
  const SodiumHasher hasher;
  FleetState state;
  state.keys[kKey.id] = {"acme", hasher.Hash(kKey.secret)};
  const auto account_of = [&](const ClientKey& key) {
    const auto outcome =
        Capture([&] { return AuthenticateKey(state, key, hasher); });
    const auto* account = std::get_if<std::string>(&outcome);
    return account == nullptr ? std::string() : *account;
  };
  BOOST_TEST(account_of(kKey) == "acme");
  BOOST_TEST(account_of({kKey.id, std::string(64, 'c')}) == "");
  BOOST_TEST(account_of({std::string(16, 'd'), kKey.secret}) == "");
  state.keys.clear();
  BOOST_TEST(account_of(kKey) == "");
}

}  // namespace
}  // namespace rosemarywinch
