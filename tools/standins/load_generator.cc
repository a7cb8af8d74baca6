// Load generator for tests and experiments: sends requests at a fixed rate to
// several nodes (open loop, up to the number of threads), retries
// without delay, and prints a report in JSON.

#include <CLI/CLI.hpp>
#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "rosemarywinch/adapters/curl_channel.h"
#include "rosemarywinch/adapters/json_codec.h"

namespace rosemarywinch {
namespace {

using Clock = std::chrono::steady_clock;

struct Options {
  std::vector<std::string> nodes;
  std::string key;
  std::string method = "GET";
  std::string path;
  std::string body;
  double rate = 100;
  double seconds = 1;
  uint32_t threads = 16;
  uint32_t caller_retries = 0;
  int64_t timeout_ms = 2000;
  std::string name = "load";
};

struct Sample {
  double at_seconds = 0;
  double latency_ms = 0;
  int status = 0;
  std::string outcome;
  std::string reason;
};

class LoadGenerator {
 public:
  explicit LoadGenerator(Options options) : m_options(std::move(options)) {}

  void Run() {
    m_start = Clock::now();
    std::vector<std::thread> threads;
    for (uint32_t i = 0; i < m_options.threads; ++i) {
      threads.emplace_back([this] { CallLoop(); });
    }
    for (std::thread& thread : threads) {
      thread.join();
    }
  }

  Json Report() const {
    std::map<std::string, uint64_t> outcomes;
    std::map<std::string, uint64_t> reasons;
    std::map<int, uint64_t> per_second;
    std::vector<double> latencies;
    for (const Sample& sample : m_samples) {
      ++outcomes[sample.outcome];
      if (!sample.reason.empty()) {
        ++reasons[sample.reason];
      }
      if (sample.status == 200) {
        latencies.push_back(sample.latency_ms);
        ++per_second[static_cast<int>(sample.at_seconds)];
      }
    }
    std::sort(latencies.begin(), latencies.end());
    std::vector<uint64_t> goodput;
    for (int s = 0; s < static_cast<int>(m_options.seconds); ++s) {
      goodput.push_back(per_second.contains(s) ? per_second.at(s) : 0);
    }
    return {{"name", m_options.name},
            {"sent", m_samples.size()},
            {"answered", latencies.size()},
            {"outcomes", outcomes},
            {"reasons", reasons},
            {"p50_ms", Quantile(latencies, 0.5)},
            {"p99_ms", Quantile(latencies, 0.99)},
            {"answered_per_second", goodput}};
  }

 private:
  static double Quantile(const std::vector<double>& sorted, double q) {
    if (sorted.empty()) {
      return 0;
    }
    const auto last = static_cast<double>(sorted.size() - 1);
    return sorted[static_cast<size_t>(q * last)];
  }

  // Takes the next start time until the run is over. Requests are due at a
  // fixed rate, whether or not earlier ones were answered.
  void CallLoop() {
    std::unique_lock lock(m_mutex);
    while (true) {
      const uint64_t number = m_next++;
      const double due = static_cast<double>(number) / m_options.rate;
      if (due >= m_options.seconds) {
        return;
      }
      const auto start = m_start + std::chrono::duration_cast<Clock::duration>(
                                       std::chrono::duration<double>(due));
      m_timed_wait.wait_until(lock, start, [] { return false; });
      lock.unlock();
      Sample sample = CallWithRetries(number);
      lock.lock();
      m_samples.push_back(std::move(sample));
    }
  }

  Sample CallWithRetries(uint64_t number) {
    const auto begin = Clock::now();
    Sample sample;
    for (uint32_t attempt = 0; attempt <= m_options.caller_retries; ++attempt) {
      sample = CallOnce(
          m_options.nodes[(number + attempt) % m_options.nodes.size()]);
      if (sample.status == 200) {
        break;
      }
    }
    const auto end = Clock::now();
    sample.latency_ms =
        std::chrono::duration<double, std::milli>(end - begin).count();
    sample.at_seconds = std::chrono::duration<double>(end - m_start).count();
    return sample;
  }

  Sample CallOnce(const std::string& node) {
    HttpRequest request;
    request.method = m_options.method;
    const size_t mark = m_options.path.find('?');
    request.path = m_options.path.substr(0, mark);
    if (mark != std::string::npos) {
      request.query = m_options.path.substr(mark + 1);
    }
    request.body = m_options.body;
    request.headers.Add("X-Request-Timeout-Ms",
                        std::to_string(m_options.timeout_ms));
    if (!m_options.key.empty()) {
      request.headers.Add("Authorization", "Bearer " + m_options.key);
    }
    HttpSendOptions options;
    options.timeout = Duration{m_options.timeout_ms + 1000};
    HttpResult result = m_channel.Send(node, request, options);
    const auto* response = std::get_if<HttpResponse>(&result);
    if (response != nullptr && response->status == 428) {
      const auto* id = response->headers.Find("Idempotency-Key");
      request.headers.Add("Idempotency-Key", id == nullptr ? "" : *id);
      result = m_channel.Send(node, request, options);
      response = std::get_if<HttpResponse>(&result);
    }
    Sample sample;
    if (response == nullptr) {
      sample.outcome = "no-answer";
      return sample;
    }
    sample.status = response->status;
    const auto* outcome = response->headers.Find("X-Request-Outcome");
    const auto* reason = response->headers.Find("X-Refusal-Reason");
    sample.outcome = outcome == nullptr ? "no-outcome" : *outcome;
    sample.reason = reason == nullptr ? "" : *reason;
    return sample;
  }

  const Options m_options;
  CurlChannel m_channel;
  Clock::time_point m_start;
  std::mutex m_mutex;
  std::condition_variable m_timed_wait;
  uint64_t m_next = 0;
  std::vector<Sample> m_samples;
};

}  // namespace
}  // namespace rosemarywinch

int main(int argc, char** argv) {
  rosemarywinch::Options options;
  CLI::App app("load generator");
  app.add_option("--node", options.nodes,
                 "HOST:PORT of a node's port for callers")
      ->required();
  app.add_option("--key", options.key);
  app.add_option("--method", options.method);
  app.add_option("--path", options.path)->required();
  app.add_option("--body", options.body);
  app.add_option("--rate", options.rate, "requests per second");
  app.add_option("--seconds", options.seconds);
  app.add_option("--threads", options.threads);
  app.add_option("--caller-retries", options.caller_retries);
  app.add_option("--timeout-ms", options.timeout_ms);
  app.add_option("--name", options.name);
  CLI11_PARSE(app, argc, argv);
  rosemarywinch::LoadGenerator generator(options);
  generator.Run();
  std::printf("%s\n", generator.Report().dump().c_str());
  return 0;
}
