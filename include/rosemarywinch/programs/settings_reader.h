#ifndef ROSEMARYWINCH_PROGRAMS_SETTINGS_READER_H_
#define ROSEMARYWINCH_PROGRAMS_SETTINGS_READER_H_

#include <CLI/CLI.hpp>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "rosemarywinch/core/error.h"
#include "rosemarywinch/core/text_value.h"

namespace rosemarywinch {

/// Prefix of the environment variables that the program reads.
inline constexpr std::string_view kEnvironmentPrefix = "ROSEMARYWINCH_";

/// Reads settings messages of the schema from flags, environment variables and
/// an optional file, in this order of precedence. All errors are collected and
/// reported together.
class SettingsReader {
 public:
  explicit SettingsReader(CLI::App& app);

  /// Adds a flag and an environment variable for each field of `settings`.
  template <typename Settings>
  void Register(Settings& settings) {
    VisitFields(settings, [this](const FieldInfo& field, auto& value) {
      AddBinding(field, ToText(value), [&field, &value](std::string_view text) {
        return AssignFromText(field, value, text);
      });
    });
  }

  /// Applies file, environment and flags after the command line was parsed.
  /// Errors: kUnknownSetting, kBadValue, kSettingsFile, kMissingSetting.
  std::vector<Error> Apply(const std::map<std::string, std::string>& env);

  /// Path of the settings file; empty if there is none.
  const std::string& file() const { return m_file; }

  /// Marks a field as required: it must be given a value that is not empty.
  void Require(const std::string& name) { m_required.push_back(name); }

 private:
  struct Binding {
    std::string name;
    std::string text;
    std::string default_text;
    CLI::Option* option = nullptr;
    std::function<Result<Done>(std::string_view)> assign;
  };

  void AddBinding(const FieldInfo& field,
                  std::string default_text,
                  std::function<Result<Done>(std::string_view)> assign);
  void Assign(const std::string& name, std::string_view text);
  void ApplyFile(const std::string& path);
  void ApplyEnvironment(const std::map<std::string, std::string>& env);
  void ApplyFlags();
  void ReportUnknown(const std::string& shown, const std::string& name);
  Binding* Find(const std::string& name);

  CLI::App& m_app;
  std::deque<Binding> m_bindings;
  std::string m_file;
  std::vector<std::string> m_required;
  std::map<std::string, std::string> m_assigned;
  std::vector<Error> m_errors;
};

/// Returns the value of one setting in a settings file, or nullopt if it is
/// absent.
std::optional<std::string> ReadFileSetting(const std::string& path,
                                           const std::string& name);

/// Returns the path of the settings file that the environment names; empty if
/// there is none.
std::string SettingsFileOf(const std::map<std::string, std::string>& env);

/// Returns the environment of this process.
std::map<std::string, std::string> ReadEnvironment();

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_PROGRAMS_SETTINGS_READER_H_
