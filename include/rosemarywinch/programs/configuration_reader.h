#ifndef ROSEMARYWINCH_PROGRAMS_CONFIGURATION_READER_H_
#define ROSEMARYWINCH_PROGRAMS_CONFIGURATION_READER_H_

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

#include "rosemarywinch/adapters/mesh_codec.h"
#include "rosemarywinch/schema/fleet.h"

namespace rosemarywinch {

/// Reads the mesh configurations that a replica applies, on a thread of its
/// own: to read a large one takes longer than a leader may be silent, so that
/// no thread that serves peers or nodes may do it. Thread-safe.
class ConfigurationReader {
 public:
  /// Reads a document. Errors: those of ParseWithoutRoutes().
  using Parser = std::function<Result<std::shared_ptr<const Configuration>>(
      const std::string& document)>;

  explicit ConfigurationReader(Parser parser);
  ~ConfigurationReader();
  ConfigurationReader(const ConfigurationReader&) = delete;
  ConfigurationReader& operator=(const ConfigurationReader&) = delete;

  /// Begins to read `record` and returns at once. One that waits to be read is
  /// dropped; version 0 stands for no configuration and is ignored.
  void Read(const ConfigurationRecord& record);

  /// Returns the configuration that was read last, null before the first.
  std::shared_ptr<const Configuration> Current() const;

 private:
  void Loop();
  void Publish(uint64_t version,
               const Outcome<std::shared_ptr<const Configuration>>& read);

  const Parser m_parser;
  mutable std::mutex m_mutex;
  std::condition_variable m_changed;
  std::optional<ConfigurationRecord> m_next;
  std::shared_ptr<const Configuration> m_current;
  bool m_stopping = false;
  std::thread m_thread;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_PROGRAMS_CONFIGURATION_READER_H_
