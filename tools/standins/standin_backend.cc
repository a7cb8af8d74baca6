// A stand-in for a backend server, for tests and the demo: has slots, a service
// time, nested calls, draining, a cold start and a load page that always
// reports an idle server.

#include <signal.h>

#include <CLI/CLI.hpp>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <fstream>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "rosemarywinch/adapters/curl_channel.h"
#include "rosemarywinch/adapters/http_server.h"
#include "rosemarywinch/adapters/json_codec.h"
#include "rosemarywinch/schema/members.h"

namespace rosemarywinch {
namespace {

struct Options {
  std::string service;
  std::string node;
  uint32_t slots = 100;
  uint32_t queue = 1000;
  int64_t service_ms = 5;
  uint32_t answer_bytes = 0;
  std::vector<std::string> calls;
  uint32_t repeat_calls = 0;
  bool fail = false;
  bool cold = false;
  std::string record;
};

using Clock = std::chrono::steady_clock;

class StandinBackend {
 public:
  explicit StandinBackend(Options options)
      : m_options(std::move(options)), m_service_ms(m_options.service_ms) {}

  bool Start() {
    HttpServerOptions server;
    server.max_connections = 2000;
    const auto started = Capture([&] {
      return m_server.Start(server,
                            [this](const HttpRequest& r) { return Handle(r); });
    });
    if (std::holds_alternative<Error>(started)) {
      return false;
    }
    std::printf("{\"event\":\"listening\",\"port\":%u}\n", m_server.port());
    std::fflush(stdout);
    m_announcer = std::thread([this] { AnnounceLoop(); });
    return true;
  }

  // Announces that it is leaving, finishes the requests in progress and stops.
  void Shutdown() {
    {
      std::scoped_lock lock(m_mutex);
      m_state = BackendState::kLeaving;
      m_changed.notify_all();
    }
    Announce();
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, std::chrono::milliseconds(1500),
                       [] { return false; });
    m_stopping = true;
    m_changed.notify_all();
    lock.unlock();
    m_announcer.join();
    m_server.Drain(Duration{30'000});
    m_server.Stop();
  }

 private:
  HttpResponse Handle(const HttpRequest& request) {
    if (request.path == "/standin/stats") {
      return Stats();
    }
    if (request.path == "/standin/service-ms") {
      m_service_ms = std::stoll(request.query);
      return {};
    }
    if (request.path == "/standin/load") {
      // The load page is wrong on purpose: it always reports an idle server.
      return HttpResponse{200, {}, "{\"in_flight\":0}"};
    }
    return Serve(request);
  }

  HttpResponse Serve(const HttpRequest& request) {
    RecordRequest(request);
    if (!AcquireSlot()) {
      return HttpResponse{503, {}, "busy\n"};
    }
    SimulateWork();
    bool all_succeeded = true;
    for (const std::string& call : m_options.calls) {
      all_succeeded = CallNested(call, request) && all_succeeded;
    }
    ReleaseSlot();
    HttpResponse response;
    const bool failed = m_options.fail || !all_succeeded;
    response.status = failed ? 503 : 200;
    response.headers.Add("Content-Type", "text/plain");
    response.body = failed ? "failed\n" : "done " + request.path + "\n";
    response.body.resize(
        std::max<size_t>(response.body.size(), m_options.answer_bytes), 'x');
    if (!request.body.empty()) {
      response.headers.Add("X-Echo", request.body.substr(0, 64));
    }
    return response;
  }

  bool AcquireSlot() {
    std::unique_lock lock(m_mutex);
    if (m_waiting >= m_options.queue) {
      ++m_refused;
      return false;
    }
    ++m_waiting;
    m_slot_free.wait(lock, [this] { return m_busy < m_options.slots; });
    --m_waiting;
    ++m_busy;
    m_peak = std::max(m_peak, m_busy);
    return true;
  }

  void ReleaseSlot() {
    std::scoped_lock lock(m_mutex);
    --m_busy;
    m_slot_free.notify_one();
  }

  void SimulateWork() {
    std::unique_lock lock(m_work_mutex);
    m_timed_wait.wait_until(
        lock, Clock::now() + std::chrono::milliseconds(m_service_ms.load()),
        [] { return false; });
  }

  // Makes a call (METHOD:/service/path) through the local node, with the
  // request context of its parent.
  bool CallNested(const std::string& call, const HttpRequest& parent) {
    const size_t colon = call.find(':');
    HttpRequest request;
    request.method = call.substr(0, colon);
    request.path = call.substr(colon + 1);
    if (const auto* context = parent.headers.Find("X-Request-Context")) {
      request.headers.Add("X-Request-Context", *context);
    }
    HttpSendOptions options;
    options.timeout = Duration{60'000};
    options.fresh_connection = true;
    for (uint32_t attempt = 0; attempt <= m_options.repeat_calls; ++attempt) {
      HttpResult result = m_channel.Send(m_options.node, request, options);
      const auto* response = std::get_if<HttpResponse>(&result);
      if (response != nullptr && response->status == 428) {
        const auto* id = response->headers.Find("Idempotency-Key");
        request.headers.Add("Idempotency-Key", id == nullptr ? "" : *id);
        result = m_channel.Send(m_options.node, request, options);
        response = std::get_if<HttpResponse>(&result);
      }
      if (response != nullptr && response->status == 200) {
        return true;
      }
    }
    return false;
  }

  void RecordRequest(const HttpRequest& request) {
    std::scoped_lock lock(m_mutex);
    ++m_requests;
    const auto* id = request.headers.Find("Idempotency-Key");
    if (id != nullptr) {
      ++m_runs_by_id[*id];
    }
    if (m_options.record.empty()) {
      return;
    }
    std::ofstream file(m_options.record, std::ios::app);
    file << request.method << " " << request.path << "?" << request.query
         << "\n";
    for (const HttpHeader& header : request.headers.all()) {
      file << header.name << ": " << header.value << "\n";
    }
    file << request.body << "\n\n";
  }

  HttpResponse Stats() {
    std::scoped_lock lock(m_mutex);
    uint32_t max_runs = 0;
    for (const auto& [id, count] : m_runs_by_id) {
      max_runs = std::max(max_runs, count);
    }
    const Json json = {{"requests", m_requests},
                       {"refused", m_refused},
                       {"peak", m_peak},
                       {"ids", m_runs_by_id.size()},
                       {"most_runs_of_an_id", max_runs}};
    return HttpResponse{200, {}, json.dump() + "\n"};
  }

  void AnnounceLoop() {
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
      lock.unlock();
      Announce();
      lock.lock();
      m_changed.wait_for(lock, std::chrono::milliseconds(300),
                         [this] { return m_stopping; });
    }
  }

  void Announce() {
    Announcement announcement;
    announcement.service = m_options.service;
    announcement.address = "127.0.0.1:" + std::to_string(m_server.port());
    announcement.slots = m_options.slots;
    {
      std::scoped_lock lock(m_mutex);
      announcement.state = m_state;
    }
    if (m_options.cold && announcement.state == BackendState::kReady) {
      const bool warm = Clock::now() > m_started + std::chrono::seconds(10);
      announcement.state =
          warm ? BackendState::kReady : BackendState::kStarting;
    }
    HttpRequest request;
    request.method = "POST";
    request.path = "/rosemarywinch/announce";
    request.body = ToJson(announcement).dump();
    m_channel.Send(m_options.node, request, {});
  }

  const Options m_options;
  const Clock::time_point m_started = Clock::now();
  std::atomic<int64_t> m_service_ms;
  CurlChannel m_channel;
  HttpServer m_server;
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::condition_variable m_slot_free;
  std::mutex m_work_mutex;
  std::condition_variable m_timed_wait;
  BackendState m_state = BackendState::kReady;
  bool m_stopping = false;
  uint32_t m_busy = 0;
  uint32_t m_waiting = 0;
  uint32_t m_peak = 0;
  uint64_t m_requests = 0;
  uint64_t m_refused = 0;
  std::map<std::string, uint32_t> m_runs_by_id;
  std::thread m_announcer;
};

}  // namespace
}  // namespace rosemarywinch

int main(int argc, char** argv) {
  rosemarywinch::Options options;
  CLI::App app("stand-in for a backend server");
  app.add_option("--service", options.service)->required();
  app.add_option("--node", options.node, "HOST:PORT of the node's local port")
      ->required();
  app.add_option("--slots", options.slots);
  app.add_option("--queue", options.queue);
  app.add_option("--service-ms", options.service_ms);
  app.add_option("--answer-bytes", options.answer_bytes);
  app.add_option("--call", options.calls, "METHOD:/service/path");
  app.add_option("--repeat-calls", options.repeat_calls,
                 "retries of a failed nested call");
  app.add_flag("--fail", options.fail);
  app.add_flag("--cold", options.cold);
  app.add_option("--record", options.record,
                 "file to which received requests are appended");
  CLI11_PARSE(app, argc, argv);
  sigset_t set;
  sigemptyset(&set);
  sigaddset(&set, SIGTERM);
  sigaddset(&set, SIGINT);
  pthread_sigmask(SIG_BLOCK, &set, nullptr);
  rosemarywinch::StandinBackend backend(options);
  if (!backend.Start()) {
    return 1;
  }
  int number = 0;
  sigwait(&set, &number);
  backend.Shutdown();
  return 0;
}
