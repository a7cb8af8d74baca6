#ifndef ROSEMARYWINCH_INTERFACES_STORAGE_H_
#define ROSEMARYWINCH_INTERFACES_STORAGE_H_

#include <cstdint>
#include <vector>

#include "rosemarywinch/core/error.h"
#include "rosemarywinch/schema/consensus.h"

namespace rosemarywinch {

/// State that a control replica recovers from its data folder at start.
struct RecoveredState {
  /// Empty when the data folder is new or was lost.
  HardState hard;
  Snapshot snapshot;
  /// Entries after the snapshot, without gaps.
  std::vector<LogEntry> entries;
};

/// Persistent state of one control replica. Each call returns after the change
/// is synced to disk. After an error the replica must stop.
class Storage {
 public:
  virtual ~Storage() = default;

  /// Reads the data folder. Errors: kCorruptRecord, kFolderNotWritable.
  virtual Result<RecoveredState> Recover() = 0;
  virtual Result<Done> SaveHardState(const HardState& state) = 0;
  virtual Result<Done> Append(const std::vector<LogEntry>& entries) = 0;
  /// Removes the entries from `index` on.
  virtual Result<Done> TruncateFrom(uint64_t index) = 0;
  /// Replaces the snapshot; `entries_after` are the log entries retained after
  /// it.
  virtual Result<Done> SaveSnapshot(
      const Snapshot& snapshot,
      const std::vector<LogEntry>& entries_after) = 0;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_INTERFACES_STORAGE_H_
