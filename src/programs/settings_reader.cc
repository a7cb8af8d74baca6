#include "rosemarywinch/programs/settings_reader.h"

#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <fstream>
#include <utility>

namespace rosemarywinch {

namespace {

constexpr const char* kFileSetting = "settings_file";
// Its variable, ROSEMARYWINCH_CONFIG, also names the settings file; process
// supervisors set it.
constexpr const char* kSupervisorFile = "config";

std::string FlagName(const std::string& name) {
  std::string flag = "--" + name;
  std::replace(flag.begin(), flag.end(), '_', '-');
  return flag;
}

std::string VariableName(const std::string& name) {
  std::string variable(kEnvironmentPrefix);
  for (const char c : name) {
    variable += static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
  }
  return variable;
}

std::string Trim(const std::string& text) {
  const size_t first = text.find_first_not_of(" \t\r");
  const size_t last = text.find_last_not_of(" \t\r");
  return first == std::string::npos ? "" : text.substr(first, last - first + 1);
}

std::string HelpText(const FieldInfo& field, const std::string& default_text) {
  std::string help(field.help);
  if (!field.unit.empty()) {
    help += " [" + std::string(field.unit) + "]";
  }
  if (field.HasRange()) {
    help += " (" + NumberText(field.min) + " to " + NumberText(field.max) + ")";
  }
  if (!default_text.empty()) {
    help += ", default " + default_text;
  }
  return help + ", or " + VariableName(std::string(field.name));
}

}  // namespace

SettingsReader::SettingsReader(CLI::App& app) : m_app(app) {
  m_app.allow_extras();
  m_app.add_option(FlagName(kFileSetting), m_file,
                   "file with lines `name = value`");
}

void SettingsReader::AddBinding(
    const FieldInfo& field,
    std::string default_text,
    std::function<Result<Done>(std::string_view)> assign) {
  Binding& binding = m_bindings.emplace_back();
  binding.name = field.name;
  binding.default_text = std::move(default_text);
  binding.assign = std::move(assign);
  binding.option = m_app.add_option(FlagName(binding.name), binding.text,
                                    HelpText(field, binding.default_text));
}

std::vector<Error> SettingsReader::Apply(
    const std::map<std::string, std::string>& env) {
  if (m_file.empty()) {
    m_file = SettingsFileOf(env);
  }
  if (!m_file.empty()) {
    ApplyFile(m_file);
  }
  ApplyEnvironment(env);
  ApplyFlags();
  for (const std::string& name : m_required) {
    if (m_assigned[name].empty()) {
      m_errors.push_back({ErrorId::kMissingSetting,
                          FlagName(name) + " or " + VariableName(name)});
    }
  }
  return std::move(m_errors);
}

void SettingsReader::Assign(const std::string& name, std::string_view text) {
  Binding* binding = Find(name);
  m_assigned[name] = text;
  const Outcome<Done> outcome = Capture([&] { return binding->assign(text); });
  if (const auto* error = std::get_if<Error>(&outcome)) {
    m_errors.push_back(*error);
  }
}

void SettingsReader::ApplyFile(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    m_errors.push_back({ErrorId::kSettingsFile, path});
    return;
  }
  std::string line;
  for (int number = 1; std::getline(file, line); ++number) {
    line = Trim(line);
    if (line.empty() || line.starts_with('#')) {
      continue;
    }
    const size_t equals = line.find('=');
    const std::string where = path + ":" + std::to_string(number);
    if (equals == std::string::npos) {
      m_errors.push_back({ErrorId::kSettingsFile, where});
      continue;
    }
    const std::string name = Trim(line.substr(0, equals));
    if (Find(name) == nullptr) {
      ReportUnknown(where + " " + name, name);
      continue;
    }
    // An empty value keeps the default.
    if (const std::string value = Trim(line.substr(equals + 1));
        !value.empty()) {
      Assign(name, value);
    }
  }
}

void SettingsReader::ApplyEnvironment(
    const std::map<std::string, std::string>& env) {
  for (const auto& [variable, value] : env) {
    if (!variable.starts_with(kEnvironmentPrefix) ||
        variable == VariableName(kFileSetting) ||
        variable == VariableName(kSupervisorFile)) {
      continue;
    }
    std::string name = variable.substr(kEnvironmentPrefix.size());
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    if (Find(name) == nullptr) {
      ReportUnknown(variable, name);
      continue;
    }
    Assign(name, value);
  }
}

void SettingsReader::ApplyFlags() {
  for (const Binding& binding : m_bindings) {
    if (binding.option->count() > 0) {
      Assign(binding.name, binding.text);
    }
  }
  for (const std::string& extra : m_app.remaining()) {
    std::string name = extra;
    name.erase(0, name.find_first_not_of('-'));
    std::replace(name.begin(), name.end(), '-', '_');
    ReportUnknown(extra, name.substr(0, name.find('=')));
  }
}

void SettingsReader::ReportUnknown(const std::string& shown,
                                   const std::string& name) {
  std::vector<std::string> names;
  for (const Binding& binding : m_bindings) {
    names.push_back(binding.name);
  }
  const std::string nearest = NearestName(name, names);
  m_errors.push_back({ErrorId::kUnknownSetting, shown + ", nearest is " +
                                                    FlagName(nearest) + " or " +
                                                    VariableName(nearest)});
}

SettingsReader::Binding* SettingsReader::Find(const std::string& name) {
  const auto found =
      std::find_if(m_bindings.begin(), m_bindings.end(),
                   [&](const Binding& b) { return b.name == name; });
  return found == m_bindings.end() ? nullptr : &*found;
}

std::string SettingsFileOf(const std::map<std::string, std::string>& env) {
  for (const char* setting : {kFileSetting, kSupervisorFile}) {
    const auto file = env.find(VariableName(setting));
    if (file != env.end()) {
      return file->second;
    }
  }
  return "";
}

std::optional<std::string> ReadFileSetting(const std::string& path,
                                           const std::string& name) {
  std::ifstream file(path);
  for (std::string line; std::getline(file, line);) {
    const size_t equals = line.find('=');
    if (equals != std::string::npos && Trim(line.substr(0, equals)) == name) {
      return Trim(line.substr(equals + 1));
    }
  }
  return std::nullopt;
}

std::map<std::string, std::string> ReadEnvironment() {
  std::map<std::string, std::string> env;
  for (char** entry = environ; *entry != nullptr; ++entry) {
    const std::string text = *entry;
    const size_t equals = text.find('=');
    if (equals != std::string::npos) {
      env[text.substr(0, equals)] = text.substr(equals + 1);
    }
  }
  return env;
}

}  // namespace rosemarywinch
