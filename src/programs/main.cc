#include <CLI/CLI.hpp>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "platform/wire_protocol.h"
#include "rosemarywinch/adapters/curl_channel.h"
#include "rosemarywinch/adapters/system.h"
#include "rosemarywinch/programs/config_check_command.h"
#include "rosemarywinch/programs/mesh/mesh_programs.h"
#include "rosemarywinch/programs/operator_commands.h"
#include "rosemarywinch/programs/servers.h"
#include "rosemarywinch/programs/settings_reader.h"

namespace rosemarywinch {
namespace {

constexpr const char* kVersionText = "rosemarywinch 0.1.0";

// A subcommand, the reader of its settings and the function that runs it.
struct Subcommand {
  CLI::App* app = nullptr;
  std::unique_ptr<SettingsReader> reader;
  std::function<Result<ExitCode>()> run;
};

class CommandLine {
 public:
  CommandLine() : m_app("Overload control for service call graphs") {
    m_app.set_version_flag("--version", kVersionText);
    m_app.require_subcommand(1);
    AddServers();
    AddTree();
    AddKey();
    AddEvacuate();
    AddStatus();
    AddCheck();
    AddMesh();
  }

  int Run(int argc, char** argv) {
    try {
      m_app.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
      const int code = m_app.exit(error);
      return code == 0 ? 0 : static_cast<int>(ExitCode::kUsage);
    }
    for (Subcommand& subcommand : m_subcommands) {
      if (subcommand.app->parsed()) {
        return RunSubcommand(subcommand);
      }
    }
    return static_cast<int>(ExitCode::kUsage);
  }

 private:
  static int RunSubcommand(Subcommand& subcommand) {
    const std::vector<Error> errors =
        subcommand.reader->Apply(ReadEnvironment());
    for (const Error& error : errors) {
      std::cerr << error.Message() << "\n";
    }
    if (!errors.empty()) {
      return static_cast<int>(ExitCode::kUsage);
    }
    const Outcome<ExitCode> outcome = Capture(subcommand.run);
    if (const auto* error = std::get_if<Error>(&outcome)) {
      std::cerr << error->Message() << "\n";
      return static_cast<int>(ExitCode::kCannotStart);
    }
    return static_cast<int>(std::get<ExitCode>(outcome));
  }

  Subcommand& AddSubcommand(CLI::App* app) {
    Subcommand& subcommand = m_subcommands.emplace_back();
    subcommand.app = app;
    subcommand.reader = std::make_unique<SettingsReader>(*app);
    subcommand.reader->Register(m_common);
    return subcommand;
  }

  void AddServers() {
    Subcommand& control =
        AddSubcommand(m_app.add_subcommand("control", "run a control replica"));
    control.reader->Register(m_control);
    control.reader->Require("replica_id");
    control.reader->Require("data_folder");
    control.run = [this] {
      StopSignal stop;
      return RunControl(m_common, m_control, stop);
    };
    Subcommand& node = AddSubcommand(
        m_app.add_subcommand("node", "run a node beside a backend server"));
    node.reader->Register(m_node);
    node.reader->Require("control");
    node.run = [this] {
      StopSignal stop;
      return RunNode(m_common, m_node, stop);
    };
  }

  template <typename Command>
  CLI::App* AddOperatorCommand(CLI::App* parent,
                               const std::string& name,
                               const std::string& help,
                               std::shared_ptr<Command> command) {
    Subcommand& subcommand = AddSubcommand(parent->add_subcommand(name, help));
    subcommand.reader->Register(m_operator);
    subcommand.reader->Require("control");
    subcommand.run = [this, command] { return RunOperatorCommand(*command); };
    return subcommand.app;
  }

  Result<ExitCode> RunOperatorCommand(const OperatorCommand& command) {
    BOOST_LEAF_AUTO(replicas, ParseReplicas(m_common.control));
    CurlChannel channel;
    SystemRandom random;
    SystemClock clock;
    SodiumHasher hasher;
    ControlClient control(std::move(replicas), channel);
    OperatorCommands commands(m_operator,
                              {control, channel, hasher, random, clock});
    return commands.Run(command);
  }

  void AddTree() {
    CLI::App* tree = m_app.add_subcommand("tree", "read and change settings");
    tree->require_subcommand(1);
    auto get = std::make_shared<TreeGet>();
    CLI::App* app = AddOperatorCommand(tree, "get", "show settings", get);
    app->add_option("path", get->path, "/, /service, /service/route, .../@id");
    app->add_flag("--effective", get->effective,
                  "show inherited values and where they come from");
    auto set = std::make_shared<TreeSet>();
    app = AddOperatorCommand(tree, "set", "set fields atomically", set);
    app->add_option("words", set->words, "PATH FIELD VALUE ...")->required();
    auto clear = std::make_shared<TreeClear>();
    app = AddOperatorCommand(
        tree, "clear", "clear a field, so that it is inherited again", clear);
    app->add_option("path", clear->path)->required();
    app->add_option("field", clear->field)->required();
    auto apply = std::make_shared<TreeApply>();
    app = AddOperatorCommand(tree, "apply", "set the fields listed in a file",
                             apply);
    app->add_option("file", apply->file, "lines PATH FIELD VALUE")->required();
    AddOperatorCommand(tree, "history", "show changes",
                       std::make_shared<TreeHistory>());
    auto diff = std::make_shared<TreeDiff>();
    app =
        AddOperatorCommand(tree, "diff", "show changes after a version", diff);
    app->add_option("version", diff->since)->required();
  }

  void AddKey() {
    CLI::App* key = m_app.add_subcommand("key", "manage client keys");
    key->require_subcommand(1);
    auto give = std::make_shared<KeyGive>();
    CLI::App* app = AddOperatorCommand(key, "give", "create a key", give);
    app->add_option("account", give->account, "client account")->required();
    auto withdraw = std::make_shared<KeyWithdraw>();
    app = AddOperatorCommand(key, "withdraw", "withdraw a key", withdraw);
    app->add_option("key_id", withdraw->key_id)->required();
    AddOperatorCommand(key, "list", "list valid keys",
                       std::make_shared<KeyList>());
  }

  void AddEvacuate() {
    auto evacuate = std::make_shared<Evacuate>();
    CLI::App* app = AddOperatorCommand(
        &m_app, "evacuate", "take a data centre out of use", evacuate);
    app->add_option("data_centre", evacuate->data_centre)->required();
    app->add_flag("--end", evacuate->end, "put it into use again");
  }

  void AddStatus() {
    CLI::App* app =
        AddSubcommand(
            m_app.add_subcommand(
                "status", "show the state of the fleet, or of one request"))
            .app;
    Subcommand& subcommand = m_subcommands.back();
    subcommand.reader->Register(m_operator);
    app->add_option("--why", m_explain.request_id, "id of a request");
    app->add_option("--node", m_explain.nodes,
                    "local port of a node, HOST:PORT");
    subcommand.run = [this] {
      return m_explain.request_id.empty() ? RunOperatorCommand(FleetStatus{})
                                          : RunOperatorCommand(m_explain);
    };
  }

  void AddCheck() {
    Subcommand& subcommand = AddSubcommand(m_app.add_subcommand(
        "check", "validate the settings of a node or replica and exit"));
    subcommand.reader->Register(m_control);
    m_subcommands.back().run = [this]() -> Result<ExitCode> {
      BOOST_LEAF_CHECK(ParseReplicas(m_common.control));
      std::cout << "settings are valid\n";
      return ExitCode::kSuccess;
    };
  }

  void AddMesh() {
    CLI::App* mesh = m_app.add_subcommand(
        "mesh", "run a mesh node or a mesh control replica");
    mesh->require_subcommand(1);
    Subcommand& node = AddSubcommand(
        mesh->add_subcommand("node", "run a node beside a backend server"));
    node.reader->Register(m_mesh_node);
    for (const char* name :
         {"node_name", "backend_address", "caller_address", "local_address",
          "ready_address", "peer_address", "seeds"}) {
      node.reader->Require(name);
    }
    node.run = [this, &node] {
      return RunMeshNode(m_common, m_mesh_node, {node.reader->file()},
                         m_protocol);
    };
    Subcommand& control =
        AddSubcommand(mesh->add_subcommand("control", "run a control replica"));
    control.reader->Register(m_mesh_control);
    for (const char* name : {"node_name", "operator_address", "peer_address",
                             "seeds", "data_folder"}) {
      control.reader->Require(name);
    }
    control.run = [this, &control] {
      return RunMeshControl(m_common, m_mesh_control, {control.reader->file()},
                            m_protocol);
    };
    AddConfigCheck(mesh);
  }

  void AddConfigCheck(CLI::App* mesh) {
    Subcommand& check = AddSubcommand(mesh->add_subcommand(
        "check",
        "check a configuration before it is sent, and exit with 1 if "
        "control would refuse it"));
    check.app->add_option("file", m_config_check.file, "configuration, as JSON")
        ->required();
    check.app->add_option("--in-force", m_config_check.in_force_file,
                          "file with the version in force");
    check.app->add_option("--operator-address", m_config_check.operator_address,
                          "HOST:PORT of a control replica, to read the version "
                          "in force from");
    check.app->add_flag("--json", m_config_check.json, "print one JSON object");
    check.run = [this] {
      CurlChannel channel;
      return RunConfigCheck(m_config_check, channel);
    };
  }

  CLI::App m_app;
  std::deque<Subcommand> m_subcommands;
  CommonSettings m_common;
  ControlSettings m_control;
  NodeSettings m_node;
  OperatorSettings m_operator;
  RequestExplain m_explain;
  ConfigCheckOptions m_config_check;
  MeshNodeSettings m_mesh_node;
  MeshControlSettings m_mesh_control;
  WireProtocol m_protocol;
};

}  // namespace
}  // namespace rosemarywinch

int main(int argc, char** argv) {
  rosemarywinch::CommandLine command_line;
  return command_line.Run(argc, argv);
}
