#include "rosemarywinch/programs/configuration_reader.h"

#include <utility>

#include "rosemarywinch/adapters/log.h"

namespace rosemarywinch {

ConfigurationReader::ConfigurationReader(Parser parser)
    : m_parser(std::move(parser)), m_thread([this] { Loop(); }) {}

ConfigurationReader::~ConfigurationReader() {
  {
    std::scoped_lock lock(m_mutex);
    m_stopping = true;
    m_changed.notify_all();
  }
  m_thread.join();
}

void ConfigurationReader::Read(const ConfigurationRecord& record) {
  if (record.version == 0) {
    return;
  }
  std::scoped_lock lock(m_mutex);
  m_next = record;
  m_changed.notify_all();
}

std::shared_ptr<const Configuration> ConfigurationReader::Current() const {
  std::scoped_lock lock(m_mutex);
  return m_current;
}

void ConfigurationReader::Loop() {
  std::unique_lock lock(m_mutex);
  while (true) {
    m_changed.wait(lock, [this] { return m_stopping || m_next; });
    if (m_stopping) {
      return;
    }
    const ConfigurationRecord record = *std::exchange(m_next, std::nullopt);
    lock.unlock();
    const auto read = Capture([&] { return m_parser(record.document); });
    lock.lock();
    Publish(record.version, read);
  }
}

// Requires m_mutex to be held.
void ConfigurationReader::Publish(
    uint64_t version,
    const Outcome<std::shared_ptr<const Configuration>>& read) {
  if (const auto* error = std::get_if<Error>(&read)) {
    LogEvent(
        LogLevel::kError, "configuration_unreadable",
        {{"version", std::to_string(version)}, {"error", error->Message()}});
    return;
  }
  m_current = std::get<std::shared_ptr<const Configuration>>(read);
}

}  // namespace rosemarywinch
