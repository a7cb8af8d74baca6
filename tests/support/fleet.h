#ifndef ROSEMARYWINCH_TESTS_SUPPORT_FLEET_H_
#define ROSEMARYWINCH_TESTS_SUPPORT_FLEET_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "rosemarywinch/adapters/curl_channel.h"
#include "rosemarywinch/adapters/json_codec.h"
#include "support/process.h"
#include "support/relay.h"

namespace rosemarywinch::test {

// A fleet of separate processes that communicate over loopback.
class Fleet {
 public:
  explicit Fleet(uint32_t replicas = 3) {
    for (uint32_t id = 1; id <= replicas; ++id) {
      m_control_ports[id] = FreePort();
    }
    for (uint32_t id = 1; id <= replicas; ++id) {
      StartControl(id);
    }
  }

  // List of the replicas as passed to nodes and operators.
  std::string ControlList() const {
    std::string list;
    for (const auto& [id, port] : m_control_ports) {
      list += (list.empty() ? "" : ",") + std::to_string(id) +
              "=127.0.0.1:" + std::to_string(port);
    }
    return list;
  }

  void StartControl(uint32_t id) {
    controls.erase(id);
    controls.emplace(id, Process("rosemarywinch",
                                 {"control", "--control", ControlList(),
                                  "--replica-id", std::to_string(id), "--port",
                                  std::to_string(m_control_ports.at(id)),
                                  "--data-folder", DataFolder(id)},
                                 folder.At("control" + std::to_string(id))));
  }

  std::string DataFolder(uint32_t id) const {
    return folder.At("data" + std::to_string(id));
  }

  // Starts a node and returns its index. `control` replaces the list of the
  // replicas, e.g. with the addresses of relays.
  size_t StartNode(std::vector<std::string> arguments = {},
                   const std::string& control = "") {
    std::vector<std::string> words{"node", "--control",
                                   control.empty() ? ControlList() : control};
    words.insert(words.end(), arguments.begin(), arguments.end());
    nodes.push_back(std::make_unique<Process>(
        "rosemarywinch", words,
        folder.At("node" + std::to_string(nodes.size()))));
    return nodes.size() - 1;
  }

  std::string AddressOf(size_t node, const std::string& port = "port") {
    return "127.0.0.1:" + nodes.at(node)->Field(port);
  }

  // Starts a stand-in backend server beside a node and returns its index.
  size_t StartBackend(size_t node,
                      const std::string& service,
                      std::vector<std::string> arguments = {}) {
    std::vector<std::string> words{"--service", service, "--node",
                                   AddressOf(node, "local_port")};
    words.insert(words.end(), arguments.begin(), arguments.end());
    backends.push_back(std::make_unique<Process>(
        "standin_backend", words,
        folder.At("backend" + std::to_string(backends.size()))));
    return backends.size() - 1;
  }

  struct ProcessResult {
    int code = 0;
    std::string output;
  };

  // Runs an operator's command until it exits.
  ProcessResult RunOperatorCommand(std::vector<std::string> words) {
    words.push_back("--control");
    words.push_back(ControlList());
    Process process("rosemarywinch", words,
                    folder.At("op" + std::to_string(m_commands++)));
    const int code = process.Wait();
    return {code, process.Output() + process.Log()};
  }

  // Repeats an operator's command until it succeeds, e.g. until a leader is
  // elected.
  bool RetryOperatorCommand(const std::vector<std::string>& words) {
    return WaitUntil([&] { return RunOperatorCommand(words).code == 0; },
                     std::chrono::milliseconds(30'000));
  }

  std::string GiveKey(const std::string& account) {
    const std::string output =
        RunOperatorCommand({"key", "give", account}).output;
    const size_t at = output.find("rwk_");
    return at == std::string::npos ? "" : output.substr(at, 85);
  }

  HttpResult Send(const std::string& address,
                  HttpRequest request,
                  Duration timeout = {10'000}) {
    HttpSendOptions options;
    options.timeout = timeout;
    return channel.Send(address, request, options);
  }

  // Sends a GET with a key. Status 0 means that there was no response.
  HttpResponse Get(size_t node,
                   const std::string& path,
                   const std::string& key) {
    HttpRequest request;
    request.path = path;
    if (!key.empty()) {
      request.headers.Add("Authorization", "Bearer " + key);
    }
    return ResponseOf(Send(AddressOf(node), request));
  }

  // Sends an at-most-once POST. Obtains an id first if `id` is empty.
  HttpResponse Post(size_t node,
                    const std::string& path,
                    const std::string& key,
                    std::string& id) {
    HttpRequest request;
    request.method = "POST";
    request.path = path;
    request.body = "work";
    request.headers.Add("Authorization", "Bearer " + key);
    if (id.empty()) {
      const HttpResponse refused = ResponseOf(Send(AddressOf(node), request));
      const std::string* issued_id = refused.headers.Find("Idempotency-Key");
      if (refused.status != 428 || issued_id == nullptr) {
        return refused;
      }
      id = *issued_id;
    }
    request.headers.Add("Idempotency-Key", id);
    return ResponseOf(Send(AddressOf(node), request));
  }

  static HttpResponse ResponseOf(const HttpResult& result) {
    const auto* response = std::get_if<HttpResponse>(&result);
    return response == nullptr ? HttpResponse{0, {}, ""} : *response;
  }

  // Returns the statistics of a stand-in backend server.
  Json Stats(size_t backend) {
    HttpRequest request;
    request.path = "/standin/stats";
    const HttpResponse response = ResponseOf(
        Send("127.0.0.1:" + backends.at(backend)->Field("port"), request));
    return Json::parse(response.body, nullptr, false);
  }

  // Returns the status of a control replica, or an empty object.
  Json StatusOf(uint32_t id) {
    HttpRequest request;
    request.method = "POST";
    request.path = "/rpc";
    request.body = R"({"id":1,"method":"operator.status","params":{}})";
    const HttpResponse response =
        ResponseOf(Send("127.0.0.1:" + std::to_string(m_control_ports.at(id)),
                        request, {2000}));
    const Json json = Json::parse(response.body, nullptr, false);
    return json.is_object() && json.contains("result") ? json["result"]
                                                       : Json::object();
  }

  // Returns the id of the serving leader, or 0.
  uint32_t Leader() {
    for (const auto& [id, port] : m_control_ports) {
      if (StatusOf(id).value("leader", false)) {
        return id;
      }
    }
    return 0;
  }

  bool WaitForLeader() {
    return WaitUntil([this] { return Leader() != 0; });
  }

  // Waits until every node has settings under a valid lease.
  bool WaitForNodes() {
    for (size_t i = 0; i < nodes.size(); ++i) {
      HttpRequest request;
      request.path = "/health";
      const std::string address = AddressOf(i, "local_port");
      const bool ready = WaitUntil(
          [&] { return ResponseOf(Send(address, request)).status == 200; });
      if (!ready) {
        return false;
      }
    }
    return true;
  }

  // Returns the number of members that control lists as ready.
  size_t ReadyMembers() {
    const uint32_t leader = Leader();
    size_t ready = 0;
    if (leader == 0) {
      return 0;
    }
    for (const Json& member :
         StatusOf(leader).value("members", Json::array())) {
      ready += member.value("state", 0) == 1 ? 1 : 0;
    }
    return ready;
  }

  uint16_t ControlPort(uint32_t id) const { return m_control_ports.at(id); }

  TempFolder folder;
  CurlChannel channel;
  std::map<uint32_t, Process> controls;
  std::vector<std::unique_ptr<Process>> nodes;
  std::vector<std::unique_ptr<Process>> backends;

 private:
  std::map<uint32_t, uint16_t> m_control_ports;
  size_t m_commands = 0;
};

}  // namespace rosemarywinch::test

#endif  // ROSEMARYWINCH_TESTS_SUPPORT_FLEET_H_
