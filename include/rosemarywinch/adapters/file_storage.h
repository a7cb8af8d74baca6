#ifndef ROSEMARYWINCH_ADAPTERS_FILE_STORAGE_H_
#define ROSEMARYWINCH_ADAPTERS_FILE_STORAGE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "rosemarywinch/interfaces/storage.h"

namespace rosemarywinch {

/// Storage in one folder: `state`, `snapshot`, `log` and `synced`.
///
/// Every record has a length and a checksum. A record truncated by a crash at
/// the end of the log was never acknowledged and is dropped. `synced` holds the
/// index of the last synced entry: a log that ends before it has lost
/// acknowledged entries, so Recover() fails.
class FileStorage : public Storage {
 public:
  explicit FileStorage(std::string folder) : m_folder(std::move(folder)) {}
  ~FileStorage() override;
  FileStorage(const FileStorage&) = delete;
  FileStorage& operator=(const FileStorage&) = delete;

  Result<RecoveredState> Recover() override;
  Result<Done> SaveHardState(const HardState& state) override;
  Result<Done> Append(const std::vector<LogEntry>& entries) override;
  Result<Done> TruncateFrom(uint64_t index) override;
  Result<Done> SaveSnapshot(
      const Snapshot& snapshot,
      const std::vector<LogEntry>& entries_after) override;

 private:
  std::string PathOf(const char* name) const;
  Result<Done> OpenLog();
  Result<Done> SyncLog() const;
  Result<Done> ReplaceFile(const char* name, const std::string& bytes) const;
  Result<Done> RewriteLog(const std::vector<LogEntry>& entries);
  Result<Done> WriteSyncedIndex(uint64_t index);
  Result<Done> LowerSyncedIndex(uint64_t index);
  Result<std::vector<LogEntry>> ReadLog();

  const std::string m_folder;
  int m_log_fd = -1;
  /// A write failed, so that what can be read of the log may not be stored.
  bool m_log_suspect = false;
  int m_synced_fd = -1;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_ADAPTERS_FILE_STORAGE_H_
