#define BOOST_TEST_MODULE config_check
#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "rosemarywinch/decisions/mesh/config_check.h"

using namespace rosemarywinch;

namespace {

Configuration Sample() {
  Configuration configuration;
  configuration.version = 4;
  configuration.base_version = 3;
  configuration.services["shop"] = {};
  RouteSpec route;
  route.hostname = "a.example";
  route.path_prefix = "/x/";
  route.timeout = {1'000};
  route.target_latency = {500};
  route.service = "shop";
  configuration.routes["one"] = route;
  configuration.accounts.emplace()["ann"] = {{"k1"}, 1, 10, 10};
  return configuration;
}

bool Finds(const ConfigReport& report,
           FindingKind kind,
           const std::string& entry) {
  return std::any_of(report.findings.begin(), report.findings.end(),
                     [&](const ConfigFinding& finding) {
                       return finding.kind == kind && finding.entry == entry;
                     });
}

}  // namespace

// Guards against findings on a configuration that is in order.
BOOST_AUTO_TEST_CASE(valid_configuration_has_no_findings) {
  Configuration in_force = Sample();
  in_force.version = 3;
  const ConfigReport report = CheckConfiguration(Sample(), &in_force);
  BOOST_TEST(report.findings.empty());
  BOOST_TEST(report.differences.empty());
}

// Guards against a check that stops at the first error, so that an operator
// needs one attempt for each.
BOOST_AUTO_TEST_CASE(all_errors_are_listed) {
  Configuration configuration = Sample();
  configuration.routes["two"] = configuration.routes["one"];
  configuration.routes["two"].path_prefix = "/y/";
  configuration.routes["two"].timeout = {0};
  configuration.routes["one"].service = "unknown";
  (*configuration.accounts)["bob"].keys = {"k1"};
  Configuration in_force = Sample();
  const ConfigReport report = CheckConfiguration(configuration, &in_force);
  BOOST_TEST(HasErrors(report));
  for (const char* entry :
       {"route one", "route two", "account bob", "version", "base_version"}) {
    BOOST_TEST(Finds(report, FindingKind::kError, entry), entry);
  }
}

// Guards against entries without effect, and limits that can't hold together,
// that pass unnoticed because control accepts them.
BOOST_AUTO_TEST_CASE(entries_without_effect_and_contradictions_are_found) {
  Configuration configuration = Sample();
  configuration.routes["two"] = configuration.routes["one"];
  configuration.routes["two"].target_latency = {2'000};
  configuration.routes["bad"] = configuration.routes["one"];
  configuration.routes["bad"].path_prefix = "/z";
  configuration.services["idle"] = {};
  (*configuration.accounts)["bob"] = {{}, 1, 5, 0};
  const ConfigReport report = CheckConfiguration(configuration, nullptr);
  BOOST_TEST(!HasErrors(report));
  for (const char* entry :
       {"route one", "route bad", "service idle", "account bob"}) {
    BOOST_TEST(Finds(report, FindingKind::kNeverMatches, entry), entry);
  }
  BOOST_TEST(Finds(report, FindingKind::kContradiction, "route two"));
  BOOST_TEST(Finds(report, FindingKind::kContradiction, "account bob"));
}

// Guards against a change that the comparison misses, and against keys of
// client accounts in its output.
BOOST_AUTO_TEST_CASE(differences_name_fields_and_hide_keys) {
  Configuration in_force = Sample();
  in_force.version = 3;
  Configuration configuration = Sample();
  configuration.routes["one"].timeout = {1'500};
  (*configuration.accounts)["ann"].keys = {"k2", "k3"};
  configuration.services["new"] = {};
  in_force.routes["gone"] = in_force.routes["one"];
  const ConfigReport report = CheckConfiguration(configuration, &in_force);
  const std::vector<ConfigDifference> expected{
      {DifferenceKind::kRemoved, "route gone", "", "", ""},
      {DifferenceKind::kChanged, "route one", "timeout", "1000", "1500"},
      {DifferenceKind::kAdded, "service new", "", "", ""},
      {DifferenceKind::kChanged, "account ann", "keys", "1 keys", "2 keys"}};
  BOOST_TEST((report.differences == expected));
}

// Guards against a configuration that refuses every key, or asks for none any
// more, and whose check says nothing of it.
BOOST_AUTO_TEST_CASE(a_table_of_accounts_without_keys_is_reported) {
  Configuration in_force = Sample();
  in_force.version = 3;
  Configuration configuration = Sample();
  configuration.accounts->clear();
  ConfigReport report = CheckConfiguration(configuration, &in_force);
  BOOST_TEST(!HasErrors(report));
  BOOST_TEST(Finds(report, FindingKind::kNeverMatches, "accounts"));
  const ConfigDifference gone{DifferenceKind::kRemoved, "account ann", "", "",
                              ""};
  BOOST_TEST((report.differences == std::vector{gone}));

  configuration.accounts.reset();
  report = CheckConfiguration(configuration, &in_force);
  BOOST_TEST(report.findings.empty());
  const ConfigDifference open{DifferenceKind::kRemoved, "accounts", "", "", ""};
  BOOST_TEST((report.differences == std::vector{open, gone}));
}
