#define BOOST_TEST_MODULE settings
#include <boost/test/unit_test.hpp>

#include <cstdio>
#include <fstream>
#include <set>

#include "rosemarywinch/programs/settings_reader.h"
#include "rosemarywinch/schema/settings.h"

namespace rosemarywinch {
namespace {

struct SettingsFixture {
  std::vector<Error> Read(std::vector<std::string> flags,
                          const std::map<std::string, std::string>& env) {
    CLI::App app;
    SettingsReader reader(app);
    reader.Register(common);
    reader.Register(control);
    reader.Require("data_folder");
    std::reverse(flags.begin(), flags.end());
    app.parse(flags);
    return reader.Apply(env);
  }

  CommonSettings common;
  ControlSettings control;
};

BOOST_AUTO_TEST_CASE(
    flags_override_environment_and_environment_overrides_file) {
  const std::string path = "/tmp/rosemarywinch-settings-test";
  std::ofstream(path) << "# a file\nheartbeat = 50\nport = 7\n"
                      << "data_folder = from-file\n";
  SettingsFixture fixture;
  const auto errors = fixture.Read(
      {"--heartbeat", "70", "--settings-file", path},
      {{"ROSEMARYWINCH_HEARTBEAT", "60"}, {"ROSEMARYWINCH_PORT", "9"}});
  std::remove(path.c_str());
  for (const Error& error : errors) {
    BOOST_TEST_MESSAGE(error.Message());
  }
  BOOST_TEST(errors.empty());
  BOOST_TEST(fixture.control.heartbeat.ms == 70);
  BOOST_TEST(fixture.control.port == 9u);
  BOOST_TEST(fixture.control.data_folder == "from-file");
  BOOST_TEST(fixture.control.node_lease.ms == 3000);
}

BOOST_AUTO_TEST_CASE(all_errors_are_reported_together) {
  SettingsFixture fixture;
  const auto errors = fixture.Read({"--heartbeat", "5", "--prot", "1"},
                                   {{"ROSEMARYWINCH_LOG_LEVL", "info"},
                                    {"ROSEMARYWINCH_LOG_LEVEL", "loud"},
                                    {"PATH", "/bin"}});
  std::string all;
  for (const Error& error : errors) {
    all += error.Message() + "\n";
  }
  BOOST_TEST_MESSAGE(all);
  for (const char* part :
       {"E102", "from 10 to 10000", "E101", "--port", "ROSEMARYWINCH_LOG_LEVEL",
        "`loud`", "E104", "--data-folder"}) {
    BOOST_TEST(all.find(part) != std::string::npos);
  }
}

BOOST_AUTO_TEST_CASE(file_errors_name_the_line) {
  const std::string path = "/tmp/rosemarywinch-settings-bad";
  std::ofstream(path) << "port 7\nportt = 7\n";
  SettingsFixture fixture;
  const auto errors =
      fixture.Read({"--settings-file", path, "--data-folder", "x"}, {});
  std::remove(path.c_str());
  BOOST_REQUIRE(errors.size() == 2u);
  BOOST_TEST(errors[0].detail == path + ":1");
  BOOST_TEST(errors[1].detail.find("nearest is --port") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(every_error_has_a_unique_number_and_a_remedy) {
  std::set<int> numbers;
  for (const auto& entry : kErrorIdTable) {
    BOOST_TEST(numbers.insert(static_cast<int>(entry.value)).second);
    BOOST_TEST(!entry.text.empty());
    BOOST_TEST((entry.value == ErrorId::kNone || !entry.remedy.empty()));
  }
}

}  // namespace
}  // namespace rosemarywinch
