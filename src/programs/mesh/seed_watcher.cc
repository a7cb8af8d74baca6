#include "rosemarywinch/programs/mesh/seed_watcher.h"

#include <chrono>
#include <csignal>
#include <optional>
#include <sstream>
#include <utility>

#include "rosemarywinch/adapters/log.h"
#include "rosemarywinch/programs/settings_reader.h"

namespace rosemarywinch {

namespace {

constexpr std::chrono::seconds kReloadInterval{2};

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

SeedWatcher::SeedWatcher(asio::io_context& context,
                         std::string file,
                         std::string seeds,
                         ChangeCallback on_change)
    : m_strand(asio::make_strand(context.get_executor())),
      m_signals(m_strand, SIGHUP),
      m_timer(m_strand),
      m_file(std::move(file)),
      m_seeds(std::move(seeds)),
      m_on_change(std::move(on_change)) {}

void SeedWatcher::Start() {
  m_on_change(SplitList(m_seeds));
  WaitForSignal();
  WaitForTimer();
}

void SeedWatcher::WaitForSignal() {
  m_signals.async_wait([this](boost::system::error_code error, int) {
    if (!error) {
      LogEvent(LogLevel::kInfo, "reload");
      Reload("signal");
      WaitForSignal();
    }
  });
}

void SeedWatcher::WaitForTimer() {
  m_timer.expires_after(kReloadInterval);
  m_timer.async_wait([this](boost::system::error_code error) {
    if (!error) {
      Reload("timer");
      WaitForTimer();
    }
  });
}

void SeedWatcher::Reload(const char* cause) {
  const std::optional<std::string> seeds = ReadFileSetting(m_file, "seeds");
  if (!seeds || *seeds == m_seeds) {
    return;
  }
  m_seeds = *seeds;
  LogEvent(LogLevel::kInfo, "seeds_changed",
           {{"seeds", m_seeds}, {"cause", cause}});
  m_on_change(SplitList(m_seeds));
}

}  // namespace rosemarywinch
