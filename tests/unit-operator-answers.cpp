#define BOOST_TEST_MODULE operator_answers
#include <boost/test/unit_test.hpp>
#include <fstream>
#include <functional>
#include <string>
#include <vector>

#include "rosemarywinch/adapters/curl_channel.h"
#include "rosemarywinch/programs/config_check_command.h"
#include "rosemarywinch/programs/operator_commands.h"
#include "rosemarywinch/schema/control.h"
#include "support/fakes.h"
#include "support/process.h"
#include "support/scripted_peer.h"

// Pattern: a process in trouble answers a command of an operator with a status
// that is no success, or none of HTTP, and a body that looks like a result.

using namespace rosemarywinch;
using test::PeerConnection;
using test::ScriptedPeer;

namespace {

// Serves as the version in force, as a result of JSON-RPC and as the record of
// a request.
const std::string kBody =
    R"({"version":3,"jsonrpc":"2.0","id":1,"result":{"leader_id":1}})";

// A command that reads an answer at `address`. Returns whether it took the
// answer for a success.
struct Command {
  std::string name;
  std::function<bool(const std::string& address)> succeeds;
};

bool CheckAgainstVersionInForce(const std::string& address) {
  const test::TempFolder folder;
  const std::string file = folder.At("new.json");
  std::ofstream(file) << R"({"version":4,"base_version":3})";
  CurlChannel channel;
  const auto outcome = Capture([&] {
    return RunConfigCheck({file, "", address, false}, channel);
  });
  if (const auto* error = std::get_if<Error>(&outcome)) {
    BOOST_TEST((error->id == ErrorId::kUnreachable));
    return false;
  }
  return std::get<ExitCode>(outcome) == ExitCode::kSuccess;
}

Outcome<ExitCode> Run(const std::string& control,
                      const OperatorCommand& command) {
  CurlChannel channel;
  ControlClient client({{1, control}}, channel);
  test::PlainHasher hasher;
  test::SeededRandom random{1};
  test::FakeClock clock;
  OperatorCommands commands(OperatorSettings{},
                            {client, channel, hasher, random, clock});
  return Capture([&] { return commands.Run(command); });
}

bool Explain(const std::string& address) {
  return std::get<ExitCode>(Run("", RequestExplain{"id", {address}})) ==
         ExitCode::kSuccess;
}

bool CallControl(const std::string& address) {
  CurlChannel channel;
  ControlClient client({{1, address}}, channel);
  const auto outcome = Capture([&] {
    return client.Call<ControlStatus>("operator.status", ControlStatusRequest{},
                                      Duration{2'000});
  });
  return std::holds_alternative<ControlStatus>(outcome);
}

const std::vector<Command> kCommands{{"mesh check", CheckAgainstVersionInForce},
                                     {"request explain", Explain},
                                     {"call of control", CallControl}};

bool Succeeds(const Command& command, const std::string& status) {
  ScriptedPeer peer([&](PeerConnection& connection) {
    connection.ReadRequest();
    connection.Write("HTTP/1.1 " + status + " X\r\nContent-Length: " +
                     std::to_string(kBody.size()) + "\r\n\r\n" + kBody);
  });
  return command.succeeds(peer.Address());
}

}  // namespace

// Failure guarded against: a command takes an answer of the status 000, or of a
// failure, for its result.
BOOST_AUTO_TEST_CASE(a_command_takes_the_status_200_only) {
  for (const Command& command : kCommands) {
    BOOST_TEST(Succeeds(command, "200"), command.name);
    for (const char* status : {"000", "099", "204", "404", "500", "999"}) {
      BOOST_TEST(!Succeeds(command, status), command.name << " " << status);
    }
  }
}
