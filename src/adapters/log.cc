#include "rosemarywinch/adapters/log.h"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <memory>

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

}  // namespace

void StartLog(LogLevel level,
              const std::string& role,
              const std::string& id,
              LogTarget target) {
  Identity() = {role, id};
  spdlog::sink_ptr sink;
  if (target == LogTarget::kOutput) {
    sink = std::make_shared<spdlog::sinks::stdout_sink_mt>();
  } else {
    sink = std::make_shared<spdlog::sinks::stderr_sink_mt>();
  }
  auto logger =
      std::make_shared<spdlog::logger>("rosemarywinch", std::move(sink));
  logger->set_pattern("{\"time\":\"%Y-%m-%dT%H:%M:%S.%eZ\",%v}",
                      spdlog::pattern_time_type::utc);
  logger->set_level(SpdlogLevel(level));
  logger->flush_on(spdlog::level::debug);
  spdlog::set_default_logger(std::move(logger));
}

void LogChange(LogLevel level,
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
  const std::string text = line.dump(-1, ' ', /*ensure_ascii=*/false,
                                     Json::error_handler_t::replace);
  spdlog::log(SpdlogLevel(level), "{}", text.substr(1, text.size() - 2));
}

}  // namespace rosemarywinch
