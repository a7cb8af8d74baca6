#include "rosemarywinch/adapters/log.h"

#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <mutex>
#include <optional>
#include <utility>

#include "rosemarywinch/adapters/json_codec.h"

namespace rosemarywinch {

namespace {

spdlog::level::level_enum SpdlogLevel(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return spdlog::level::debug;
    case LogLevel::kError:
      return spdlog::level::err;
    case LogLevel::kInfo:
      break;
  }
  return spdlog::level::info;
}

struct LogIdentity {
  std::string role;
  std::string id;
};

LogIdentity& Identity() {
  static LogIdentity identity;
  return identity;
}

// Burst size of the rate limit on request events, in lines.
constexpr double kRequestEventBurst = 200;
// Queue size of the asynchronous logger, in lines; on overflow the oldest lines
// are dropped.
constexpr size_t kAsyncQueueLines = 1024;

/// Token bucket that limits the rate of request events.
class RequestEventLimiter {
 public:
  /// Returns the number of lines suppressed since the last written one, or
  /// nothing when this line is suppressed too.
  std::optional<uint64_t> TryAcquire() {
    const auto now = std::chrono::steady_clock::now();
    std::scoped_lock lock(m_mutex);
    const std::chrono::duration<double> elapsed = now - m_last_refill;
    m_tokens = std::min(kRequestEventBurst,
                        m_tokens + elapsed.count() * kRequestEventsPerSecond);
    m_last_refill = now;
    if (m_tokens < 1) {
      ++m_suppressed;
      return std::nullopt;
    }
    m_tokens -= 1;
    return std::exchange(m_suppressed, 0);
  }

 private:
  std::mutex m_mutex;
  double m_tokens = kRequestEventBurst;
  uint64_t m_suppressed = 0;
  std::chrono::steady_clock::time_point m_last_refill =
      std::chrono::steady_clock::now();
};

}  // namespace

void LogRequestEvent(std::string_view event, std::vector<LogField> fields) {
  static RequestEventLimiter limiter;
  const std::optional<uint64_t> suppressed = limiter.TryAcquire();
  if (!suppressed) {
    return;
  }
  if (*suppressed > 0) {
    fields.push_back({"left_out", std::to_string(*suppressed)});
  }
  LogEvent(LogLevel::kInfo, event, fields);
}

void StartLog(LogLevel level,
              const std::string& role,
              const std::string& id,
              LogTarget target) {
  Identity() = {role, id};
  spdlog::sink_ptr sink;
  if (target == LogTarget::kStdout) {
    sink = std::make_shared<spdlog::sinks::stdout_sink_mt>();
  } else {
    sink = std::make_shared<spdlog::sinks::stderr_sink_mt>();
  }
  std::shared_ptr<spdlog::logger> logger;
  if (target == LogTarget::kStdout) {
    // A slow reader of stdout must not block requests.
    spdlog::init_thread_pool(kAsyncQueueLines, 1);
    logger = std::make_shared<spdlog::async_logger>(
        "rosemarywinch", std::move(sink), spdlog::thread_pool(),
        spdlog::async_overflow_policy::overrun_oldest);
  } else {
    logger = std::make_shared<spdlog::logger>("rosemarywinch", std::move(sink));
  }
  logger->set_pattern("{\"time\":\"%Y-%m-%dT%H:%M:%S.%eZ\",%v}",
                      spdlog::pattern_time_type::utc);
  logger->set_level(SpdlogLevel(level));
  logger->flush_on(spdlog::level::debug);
  spdlog::set_default_logger(std::move(logger));
}

void StopLog() {
  spdlog::shutdown();
}

void LogEvent(LogLevel level,
              std::string_view event,
              const std::vector<LogField>& fields) {
  nlohmann::ordered_json line;
  line["level"] = NameOf(level);
  line["role"] = Identity().role;
  line["id"] = Identity().id;
  line["event"] = event;
  for (const LogField& field : fields) {
    line[std::string(field.name)] = field.value;
  }
  const std::string text = WriteJson(line);
  spdlog::log(SpdlogLevel(level), "{}", text.substr(1, text.size() - 2));
}

}  // namespace rosemarywinch
