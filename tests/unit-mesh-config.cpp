#define BOOST_TEST_MODULE mesh_config
#include <boost/test/unit_test.hpp>
#include <cmath>

#include "rosemarywinch/adapters/mesh_codec.h"
#include "rosemarywinch/decisions/fleet/fleet_store.h"
#include "rosemarywinch/decisions/mesh/entry_check.h"

using namespace rosemarywinch;

namespace {

Configuration Sample() {
  Configuration configuration;
  configuration.version = 4;
  configuration.services["shop"] = {};
  configuration.services["till"] = {};
  RouteSpec route;
  route.hostname = "a.example";
  route.path_prefix = "/x/";
  route.timeout = {1'000};
  route.target_latency = {500};
  route.service = "shop";
  configuration.routes["one"] = route;
  route.path_prefix = "/x/y/";
  route.service = "till";
  route.open = true;
  configuration.routes["two"] = route;
  configuration.accounts.emplace()["ann"].keys = {"k1", "k2"};
  return configuration;
}

bool IsValid(const Configuration& configuration) {
  const auto built = Capture([&] { return MeshConfig::Build(configuration); });
  return std::holds_alternative<std::shared_ptr<const MeshConfig>>(built);
}

std::shared_ptr<const MeshConfig> Built() {
  return std::get<std::shared_ptr<const MeshConfig>>(
      Capture([] { return MeshConfig::Build(Sample()); }));
}

// A document of an operator with a closed and an open route, and `members`.
std::shared_ptr<const MeshConfig> Parsed(const std::string& members) {
  return std::get<std::shared_ptr<const MeshConfig>>(Capture([&] {
    return ParseMeshConfig(
        R"({"version":4,"services":{"shop":{}},"routes":{"one":{)"
        R"("hostname":"a.example","path_prefix":"/x/","timeout":1000,)"
        R"("service":"shop"},"two":{"hostname":"a.example",)"
        R"("path_prefix":"/o/","timeout":1000,"service":"shop",)"
        R"("open":true}})" +
        members + "}");
  }));
}

ErrorId ReasonOf(const EntryDecision& decision) {
  const auto* refusal = std::get_if<Rejected>(&decision);
  return refusal == nullptr ? ErrorId::kNone : refusal->reason;
}

CommandResult Put(FleetState& state,
                  uint64_t version,
                  uint64_t base,
                  const std::string& document) {
  FleetCommand command;
  command.change = PutConfiguration{version, base, document, document};
  return ApplyCommand(state, command);
}

constexpr TimePoint kNow{50'000};

}  // namespace

BOOST_AUTO_TEST_CASE(the_longest_prefix_of_the_host_wins) {
  const auto config = Built();
  BOOST_TEST(config->FindRoute("a.example", "/x/1")->name == "one");
  BOOST_TEST(config->FindRoute("A.example:80", "/x/y/1")->name == "two");
  BOOST_TEST(config->FindRoute("a.example", "/x/y")->name == "one");
  BOOST_TEST(config->FindRoute("a.example", "/z/") == nullptr);
  BOOST_TEST(config->FindRoute("b.example", "/x/1") == nullptr);
}

BOOST_AUTO_TEST_CASE(invalid_configurations_are_rejected) {
  BOOST_TEST(IsValid(Sample()));
  const auto broken = [](auto change) {
    Configuration configuration = Sample();
    change(configuration);
    return !IsValid(configuration);
  };
  BOOST_TEST(broken([](auto& c) { c.routes["one"].service = "gone"; }));
  BOOST_TEST(broken([](auto& c) { c.routes["one"].timeout = {0}; }));
  BOOST_TEST(broken([](auto& c) { c.routes["one"].service.reset(); }));
  BOOST_TEST(broken([](auto& c) {
    c.routes["one"].service.reset();
    c.routes["one"].split = {{"shop", 0}, {"till", 0}};
  }));
  BOOST_TEST(broken([](auto& c) {
    c.routes["one"].service.reset();
    c.routes["one"].split = {{"shop", -1}, {"till", 2}};
  }));
  BOOST_TEST(
      broken([](auto& c) { c.routes["one"].target_latency = {61'000}; }));
  BOOST_TEST(broken([](auto& c) { (*c.accounts)["bob"].keys = {"k2"}; }));
  for (const double value : {-1.0, HUGE_VAL, std::nan("")}) {
    BOOST_TEST(broken([&](auto& c) { c.services["shop"].cold_rate = value; }));
    BOOST_TEST(broken([&](auto& c) { c.services["shop"].cold_start = value; }));
  }
  BOOST_TEST(!broken([](auto& c) { c.services["shop"].cold_rate = 13; }));
  BOOST_TEST(!broken([](auto& c) { (*c.accounts)["bob"].keys = {"k3"}; }));
}

BOOST_AUTO_TEST_CASE(truncated_json_is_rejected) {
  const auto read = Capture(
      [] { return ParseMeshConfig(R"({"version":4,"routes":{"one":)"); });
  BOOST_TEST((std::get<Error>(read).id == ErrorId::kMalformedMessage));
}

BOOST_AUTO_TEST_CASE(a_traffic_split_follows_its_weights) {
  MeshRoute route;
  route.parts = {{"shop", 90}, {"till", 10}};
  BOOST_TEST(route.SelectService(0.0) == "shop");
  BOOST_TEST(route.SelectService(0.89) == "shop");
  BOOST_TEST(route.SelectService(0.91) == "till");
}

BOOST_AUTO_TEST_CASE(closed_routes_require_a_known_key) {
  const auto config = Built();
  const EntryContext context{config.get(), kNow + Duration{1'000}, kNow};
  const auto reason = [&](const EntryContext& known, EntryRequest request) {
    return ReasonOf(CheckEntry(kNow, known, request));
  };
  BOOST_TEST((reason(context, {"a.example", "/x/1", "k2"}) == ErrorId::kNone));
  BOOST_TEST((reason(context, {"a.example", "/x/y/1", {}}) == ErrorId::kNone));
  BOOST_TEST((reason(context, {"a.example", "/x/1", {}}) == ErrorId::kNoKey));
  BOOST_TEST(
      (reason(context, {"a.example", "/x/1", "k9"}) == ErrorId::kWrongKey));
  BOOST_TEST(
      (reason(context, {"a.example", "/z/", "k2"}) == ErrorId::kUnknownRoute));
}

// Failure: after the last client account was taken out, its key and any other
// were accepted, also by a node whose lease had expired.
BOOST_AUTO_TEST_CASE(an_empty_table_of_accounts_admits_no_key) {
  const auto config = Parsed(R"(,"accounts":{})");
  const EntryContext valid{config.get(), kNow + Duration{1'000}, kNow};
  const EntryContext expired{config.get(), kNow, kNow};
  const auto reason = [&](const EntryContext& context, EntryRequest request) {
    return ReasonOf(CheckEntry(kNow, context, request));
  };
  BOOST_TEST(
      (reason(valid, {"a.example", "/x/1", "k1"}) == ErrorId::kWrongKey));
  BOOST_TEST((reason(valid, {"a.example", "/x/1", {}}) == ErrorId::kNoKey));
  BOOST_TEST((reason(valid, {"a.example", "/o/1", "k1"}) == ErrorId::kNone));
  BOOST_TEST(
      (reason(expired, {"a.example", "/x/1", "k1"}) == ErrorId::kCutOff));
}

BOOST_AUTO_TEST_CASE(an_account_without_keys_admits_no_key) {
  const auto config = Parsed(R"(,"accounts":{"ann":{}})");
  const EntryContext context{config.get(), kNow + Duration{1'000}, kNow};
  const EntryRequest request{"a.example", "/x/1", "k1"};
  BOOST_TEST(
      (ReasonOf(CheckEntry(kNow, context, request)) == ErrorId::kWrongKey));
}

BOOST_AUTO_TEST_CASE(without_a_table_of_accounts_no_key_is_needed) {
  const auto config = Parsed("");
  const EntryContext context{config.get(), kNow + Duration{1'000}, kNow};
  const auto reason = [&](EntryRequest request) {
    return ReasonOf(CheckEntry(kNow, context, request));
  };
  BOOST_TEST((reason({"a.example", "/x/1", {}}) == ErrorId::kNone));
  BOOST_TEST((reason({"a.example", "/x/1", "k1"}) == ErrorId::kNone));
}

BOOST_AUTO_TEST_CASE(a_node_with_an_outdated_configuration_denies_nothing) {
  const auto config = Built();
  const EntryContext stale{config.get(), kNow + Duration{1'000},
                           kNow - Duration{2'000}};
  const EntryContext expired{config.get(), kNow, kNow};
  const auto reason = [&](const EntryContext& known, EntryRequest request) {
    return ReasonOf(CheckEntry(kNow, known, request));
  };
  BOOST_TEST((reason(stale, {"a.example", "/z/", {}}) == ErrorId::kCutOff));
  BOOST_TEST((reason(stale, {"a.example", "/x/1", "k9"}) == ErrorId::kCutOff));
  BOOST_TEST((reason(stale, {"a.example", "/x/1", "k1"}) == ErrorId::kNone));
  BOOST_TEST(
      (reason(expired, {"a.example", "/x/1", "k1"}) == ErrorId::kCutOff));
  BOOST_TEST((reason(expired, {"a.example", "/x/y/1", {}}) == ErrorId::kNone));
  BOOST_TEST((reason({}, {"a.example", "/x/1", "k1"}) == ErrorId::kCutOff));
}

// Pattern: all processes restart, and their callers return while control has no
// leader yet; a caller returns once only.
BOOST_AUTO_TEST_CASE(
    callers_of_a_node_that_is_cut_off_return_after_an_election) {
  constexpr Duration kElection{1'000};
  const Duration first = RetryAfterRejection(ErrorId::kCutOff, 0);
  const Duration last = RetryAfterRejection(ErrorId::kCutOff, 0.999);
  BOOST_TEST((first >= kElection));
  BOOST_TEST((last >= first + kElection / 2));
  BOOST_TEST((RetryAfterRejection(ErrorId::kUnknownRoute, 0) < kElection));
}

BOOST_AUTO_TEST_CASE(a_configuration_is_accepted_only_on_its_base_version) {
  FleetState state;
  BOOST_TEST((Put(state, 3, 0, "a").error == ErrorId::kNone));
  BOOST_TEST((Put(state, 5, 0, "b").error == ErrorId::kConflict));
  BOOST_TEST((Put(state, 3, 3, "b").error == ErrorId::kBadValue));
  BOOST_TEST((Put(state, 5, 3, "b").error == ErrorId::kNone));
  BOOST_TEST(state.configuration.document == "b");
}

BOOST_AUTO_TEST_CASE(a_resent_configuration_is_acknowledged) {
  FleetState state;
  Put(state, 3, 0, "a");
  Put(state, 5, 3, "b");
  BOOST_TEST((Put(state, 3, 0, "a").error == ErrorId::kNone));
  BOOST_TEST((Put(state, 5, 3, "c").error == ErrorId::kConflict));
  BOOST_TEST(state.configuration.document == "b");
}
