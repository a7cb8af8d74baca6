#ifndef ROSEMARYWINCH_TESTS_SUPPORT_MESH_H_
#define ROSEMARYWINCH_TESTS_SUPPORT_MESH_H_

#include <algorithm>
#include <atomic>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <fstream>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "rosemarywinch/adapters/async/async_http_server.h"
#include "rosemarywinch/adapters/curl_channel.h"
#include "rosemarywinch/interfaces/http_request_builder.h"
#include "support/loopback.h"
#include "support/process.h"

namespace rosemarywinch::test {

inline constexpr int kReplicas = 3;
inline constexpr Duration kCallTimeout{5'000};

// A backend server on the platform: returns the id of the request and the seal
// header. Can be set to delay its responses, and to send another request's id
// or another status.
class BackendStandIn {
 public:
  explicit BackendStandIn(const std::string& address)
      : m_server(std::make_shared<AsyncHttpServer>(
            m_context,
            [this](HttpRequest request,
                   std::shared_ptr<CancellationToken> cancellation) {
              return Answer(std::move(request), std::move(cancellation));
            })) {
    BOOST_REQUIRE(!std::holds_alternative<Error>(
        Capture([&] { return m_server->Start(address); })));
    m_thread = std::thread([this] { m_context.run(); });
  }
  ~BackendStandIn() {
    m_context.stop();
    m_thread.join();
  }

  std::vector<HttpRequest> Received() {
    std::scoped_lock lock(m_mutex);
    return m_received;
  }

  // Times at which the requests arrived.
  std::vector<std::chrono::steady_clock::time_point> Arrivals() {
    std::scoped_lock lock(m_mutex);
    return m_arrivals;
  }

  std::atomic<int> delay_ms{0};
  // Delay of requests whose path ends in "slow".
  std::atomic<int> slow_delay_ms{60'000};
  std::atomic<bool> wrong_id{false};
  std::atomic<int> status{200};
  std::atomic<int> abandoned{0};

 private:
  asio::awaitable<HttpResponse> Answer(
      HttpRequest request,
      std::shared_ptr<CancellationToken> cancellation) {
    {
      std::scoped_lock lock(m_mutex);
      // Received() copies what is kept.
      constexpr size_t kKeptBytes = 65'536;
      request.body.resize(std::min(request.body.size(), kKeptBytes));
      m_received.push_back(request);
      m_arrivals.push_back(std::chrono::steady_clock::now());
    }
    asio::steady_timer timer(m_context);
    const auto& delay =
        request.path.ends_with("slow") ? slow_delay_ms : delay_ms;
    for (int waited = 0; waited < delay && !cancellation->cancelled();
         waited += 10) {
      timer.expires_after(std::chrono::milliseconds(10));
      co_await timer.async_wait(asio::use_awaitable);
    }
    abandoned += cancellation->cancelled() ? 1 : 0;
    HttpResponse response;
    response.status = status;
    const std::string* id = request.headers.Find("X-Request-Id");
    response.headers.Add("X-Request-Id", wrong_id ? "another" : *id);
    response.headers.Add("X-Server-Seal", "seal");
    response.body = "answer to " + *id;
    co_return response;
  }

  asio::io_context m_context;
  std::shared_ptr<AsyncHttpServer> m_server;
  std::thread m_thread;
  std::mutex m_mutex;
  std::vector<HttpRequest> m_received;
  std::vector<std::chrono::steady_clock::time_point> m_arrivals;
};

// Three control replicas and two nodes, each on its own loopback address,
// started as the platform does: with a settings file named in the environment.
class Mesh {
 public:
  Mesh() {
    for (int i = 1; i <= kReplicas; ++i) {
      StartControl(i, /*founding=*/true);
    }
    StartNode(0, "shop");
    StartNode(1, "till");
  }

  static std::string ControlHost(int i) {
    return "127.0.7." + std::to_string(i);
  }
  static std::string NodeHost(size_t i) {
    return "127.0.7." + std::to_string(11 + i);
  }
  std::string At(const std::string& host, uint16_t port) const {
    return host + ":" + std::to_string(port);
  }
  std::string OperatorAddress(int i) const {
    return At(ControlHost(i), m_ports[1]);
  }
  std::string Callers(size_t i) const { return At(NodeHost(i), m_ports[0]); }
  std::string Local(size_t i) const { return At(NodeHost(i), m_ports[1]); }
  std::string Ready(size_t i) const { return At(NodeHost(i), m_ports[2]); }
  std::string Backend(size_t i) const { return At(NodeHost(i), m_ports[3]); }

  void StartControl(int i, bool founding) {
    const std::string host = ControlHost(i);
    const std::string name = "control" + std::to_string(i);
    controls[i] = Start(
        name, "control",
        "node_name = " + name + "\noperator_address = " + At(host, m_ports[1]) +
            "\npeer_address = " + At(host, m_ports[4]) + "\nseeds = " +
            Seeds() + "\ndata_folder = " + folder.At(name + "d") +
            "\nfounding = " + (founding ? "true" : "false") +
            "\ndata_centres = dc,dc-b\n");
  }

  void StartNode(size_t i,
                 const std::string& service,
                 const std::string& data_centre = "dc") {
    const std::string name = "node" + std::to_string(i);
    nodes.resize(std::max(nodes.size(), i + 1));
    nodes[i] = Start(
        name, "node",
        "node_name = " + name + "\ndata_centre = " + data_centre +
            "\nservice = " + service + "\nbackend_address = " + Backend(i) +
            "\ncaller_address = " + Callers(i) +
            "\nlocal_address = " + Local(i) + "\nready_address = " + Ready(i) +
            "\npeer_address = " + At(NodeHost(i), m_ports[4]) + "\nseeds = " +
            Seeds() + "\ncontrol_peer_port = " + std::to_string(m_ports[4]) +
            "\nmemory_limit = 260\n");
  }

  HttpResult Send(const std::string& address, const HttpRequest& request) {
    return channel.Send(address, request, {kCallTimeout, true, {}});
  }

  int StatusOf(const std::string& address, const HttpRequest& request) {
    const HttpResult result = Send(address, request);
    if (const auto* lost = std::get_if<ResponseLost>(&result)) {
      BOOST_TEST_MESSAGE(address << " " << lost->error.Message());
    } else if (const auto* unsent = std::get_if<NotSent>(&result)) {
      BOOST_TEST_MESSAGE(address << " " << unsent->error.Message());
    }
    const auto* response = std::get_if<HttpResponse>(&result);
    return response == nullptr ? 0 : response->status;
  }

  // Puts a configuration, trying all replicas until one accepts or rejects it.
  int Put(const std::string& body) {
    int status = 0;
    WaitUntil([&] {
      for (int i = 1;
           i <= kReplicas && (status < 200 || status == 307 || status == 503);
           ++i) {
        status = StatusOf(
            OperatorAddress(i),
            HttpRequestBuilder("PUT", "/configuration").Body(body).Build());
      }
      return status >= 200 && status != 307 && status != 503;
    });
    return status;
  }

  std::string Get() {
    std::string body;
    WaitUntil([&] {
      for (int i = 1; i <= kReplicas; ++i) {
        const HttpResult result =
            Send(OperatorAddress(i),
                 HttpRequestBuilder("GET", "/configuration").Build());
        const auto* response = std::get_if<HttpResponse>(&result);
        if (response != nullptr && response->status == 200) {
          body = response->body;
          return true;
        }
      }
      return false;
    });
    return body;
  }

  // Reports the state of incarnation `born` of the backend server beside node
  // `i`; its id is "i-1" for 5, "i-2" for 6 and so on.
  int Report(size_t i,
             const std::string& service,
             const std::string& state,
             int sequence,
             int born = 5) {
    const Json report{{"service", service},   {"address", Backend(i)},
                      {"state", state},       {"slots", 4},
                      {"sequence", sequence}, {"born", born}};
    return StatusOf(Local(i), HttpRequestBuilder("PUT", BackendPath(born))
                                  .Body(report.dump())
                                  .Build());
  }

  // Sends the notice that incarnation `born` shuts down.
  int Withdraw(size_t i, int born = 5) {
    return StatusOf(Local(i), HttpRequestBuilder("DELETE", BackendPath(born))
                                  .Body(Json{{"born", born}}.dump())
                                  .Build());
  }

  static std::string BackendPath(int born) {
    return "/backends/i-" + std::to_string(born - 4);
  }

  static HttpRequest Request(const std::string& path,
                             const std::string& id,
                             const std::string& key) {
    return HttpRequestBuilder("GET", path)
        .Header("Host", "a.example")
        .Header("X-Request-Id", id)
        .Header("X-Deadline-Ms", "4000")
        .Header("X-Tenant-Name", "forged")
        .Header("Authorization", "Token " + key)
        .Build();
  }

  TempFolder folder;
  CurlChannel channel;
  std::map<int, std::unique_ptr<Process>> controls;
  std::vector<std::unique_ptr<Process>> nodes;

 private:
  std::string Seeds() const {
    std::string seeds;
    for (int i = 1; i <= kReplicas; ++i) {
      seeds += (i > 1 ? "," : "") + At(ControlHost(i), m_ports[1]);
    }
    return seeds;
  }

  std::unique_ptr<Process> Start(const std::string& name,
                                 const std::string& program,
                                 const std::string& settings) {
    const std::string file = folder.At(name + ".settings");
    std::ofstream(file) << settings;
    ::setenv("ROSEMARYWINCH_CONFIG", file.c_str(), 1);
    auto process = std::make_unique<Process>(
        "rosemarywinch", std::vector<std::string>{"mesh", program},
        folder.At(name));
    ::unsetenv("ROSEMARYWINCH_CONFIG");
    return process;
  }

  // Ports for: callers; local calls and operators; readiness; backend servers;
  // peers.
  const std::vector<uint16_t> m_ports{FreePort(), FreePort(), FreePort(),
                                      FreePort(), FreePort()};
};

// Returns a configuration with one route, for one client account with `key`.
inline std::string ConfigurationText(int version,
                                     int base,
                                     const std::string& key) {
  const Json route{{"hostname", "a.example"}, {"path_prefix", "/pay/"},
                   {"kind", "at_most_once"},  {"timeout", 3000},
                   {"target_latency", 1000},  {"service", "till"},
                   {"max_attempts", 2},       {"open", false}};
  return Json{
      {"version", version},
      {"base_version", base},
      {"routes", {{"r-pay", route}}},
      {"services",
       {{"shop", {{"health_path", "/health"}}},
        {"till", {{"health_path", "/health"}}}}},
      {"accounts", {{"ann", {{"keys", {key}}, {"rate", 50}, {"burst", 50}}}}},
      {"limits",
       {{"max_header_bytes", 16384},
        {"max_body_bytes", 1048576},
        {"header_timeout", 3000},
        {"idle_timeout", 15000}}}}
      .dump();
}

}  // namespace rosemarywinch::test

#endif  // ROSEMARYWINCH_TESTS_SUPPORT_MESH_H_
