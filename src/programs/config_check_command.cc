#include "rosemarywinch/programs/config_check_command.h"

#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>

#include "rosemarywinch/adapters/json_codec.h"
#include "rosemarywinch/decisions/mesh/config_check.h"
#include "rosemarywinch/interfaces/http_request_builder.h"

namespace rosemarywinch {

namespace {

constexpr Duration kReadTimeout{3'000};
constexpr int kOk = 200;
constexpr int kTemporaryRedirect = 307;
constexpr int kMaxRedirects = 2;
constexpr std::string_view kScheme = "http://";

Result<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return Fail(ErrorId::kSettingsFile, path);
  }
  return std::string(std::istreambuf_iterator<char>(file), {});
}

Result<Configuration> Parse(const std::string& document) {
  BOOST_LEAF_AUTO(json, ParseJson(document));
  return FromJson<Configuration>(json);
}

// Returns the address of a redirect to another replica.
std::string RedirectAddress(const HttpResponse& response) {
  const std::string* location = response.headers.Find("Location");
  if (location == nullptr || !location->starts_with(kScheme)) {
    return "";
  }
  const std::string rest = location->substr(kScheme.size());
  return rest.substr(0, rest.find('/'));
}

// Reads the version in force. Only the leader of control answers; the others
// redirect to it.
Result<std::string> ReadInForce(std::string address, HttpChannel& channel) {
  for (int redirects = 0; redirects <= kMaxRedirects; ++redirects) {
    const HttpResult result = channel.Send(
        address, HttpRequestBuilder("GET", "/configuration").Build(),
        HttpSendOptionsBuilder(kReadTimeout).Build());
    const auto* response = std::get_if<HttpResponse>(&result);
    if (response != nullptr && response->status == kOk) {
      return response->body;
    }
    if (response == nullptr || response->status != kTemporaryRedirect) {
      break;
    }
    address = RedirectAddress(*response);
  }
  return Fail(ErrorId::kUnreachable, address);
}

void PrintLines(const ConfigReport& report) {
  for (const ConfigFinding& finding : report.findings) {
    std::cout << NameOf(finding.kind) << "  " << finding.entry << ": "
              << finding.text << "\n";
  }
  for (const ConfigDifference& difference : report.differences) {
    std::cout << NameOf(difference.kind) << "  " << difference.entry;
    if (!difference.field.empty()) {
      std::cout << " " << difference.field << ": " << difference.before
                << " -> " << difference.after;
    }
    std::cout << "\n";
  }
  std::cout << report.findings.size() << " findings, "
            << report.differences.size() << " differences\n";
}

// Both lists are always there, and kinds are written by name.
void PrintJson(const ConfigReport& report) {
  Json json = {{"findings", Json::array()}, {"differences", Json::array()}};
  for (const ConfigFinding& finding : report.findings) {
    Json entry = ToJson(finding);
    entry["kind"] = NameOf(finding.kind);
    json["findings"].push_back(std::move(entry));
  }
  for (const ConfigDifference& difference : report.differences) {
    Json entry = ToJson(difference);
    entry["kind"] = NameOf(difference.kind);
    json["differences"].push_back(std::move(entry));
  }
  std::cout << WriteJson(json) << "\n";
}

}  // namespace

Result<ExitCode> RunConfigCheck(const ConfigCheckOptions& options,
                                HttpChannel& channel) {
  BOOST_LEAF_AUTO(document, ReadFile(options.file));
  BOOST_LEAF_AUTO(candidate, Parse(document));
  std::string in_force_document;
  if (!options.in_force_file.empty()) {
    BOOST_LEAF_ASSIGN(in_force_document, ReadFile(options.in_force_file));
  } else if (!options.operator_address.empty()) {
    BOOST_LEAF_ASSIGN(in_force_document,
                      ReadInForce(options.operator_address, channel));
  }
  std::optional<Configuration> in_force;
  if (!in_force_document.empty()) {
    BOOST_LEAF_ASSIGN(in_force, Parse(in_force_document));
  }
  const ConfigReport report =
      CheckConfiguration(candidate, in_force ? &*in_force : nullptr);
  if (options.json) {
    PrintJson(report);
  } else {
    PrintLines(report);
  }
  return HasErrors(report) ? ExitCode::kRefused : ExitCode::kSuccess;
}

}  // namespace rosemarywinch
