#include "rosemarywinch/programs/mesh/seed_watch.h"

#include <chrono>
#include <csignal>
#include <optional>
#include <sstream>
#include <utility>

#include "rosemarywinch/adapters/log.h"
#include "rosemarywinch/programs/settings_reader.h"

namespace rosemarywinch {

namespace {

constexpr std::chrono::seconds kReadInterval{2};

}  // namespace

std::vector<std::string> SplitList(const std::string& text) {
  std::vector<std::string> parts;
  std::istringstream stream(text);
  for (std::string part; std::getline(stream, part, ',');) {
    if (!part.empty()) {
      parts.push_back(part);
    }
  }
  return parts;
}

SeedWatch::SeedWatch(asio::io_context& context,
                     std::string file,
                     std::string seeds,
                     Told told)
    : m_strand(asio::make_strand(context.get_executor())),
      m_signals(m_strand, SIGHUP),
      m_timer(m_strand),
      m_file(std::move(file)),
      m_seeds(std::move(seeds)),
      m_told(std::move(told)) {}

void SeedWatch::Start() {
  m_told(SplitList(m_seeds));
  WaitForSignal();
  WaitForTimer();
}

void SeedWatch::WaitForSignal() {
  m_signals.async_wait([this](boost::system::error_code error, int) {
    if (!error) {
      LogEvent(LogLevel::kInfo, "reload");
      Read("signal");
      WaitForSignal();
    }
  });
}

void SeedWatch::WaitForTimer() {
  m_timer.expires_after(kReadInterval);
  m_timer.async_wait([this](boost::system::error_code error) {
    if (!error) {
      Read("timer");
      WaitForTimer();
    }
  });
}

void SeedWatch::Read(const char* cause) {
  const std::optional<std::string> seeds = ReadFileSetting(m_file, "seeds");
  if (!seeds || *seeds == m_seeds) {
    return;
  }
  m_seeds = *seeds;
  LogEvent(LogLevel::kInfo, "seeds_changed",
           {{"seeds", m_seeds}, {"cause", cause}});
  m_told(SplitList(m_seeds));
}

}  // namespace rosemarywinch
