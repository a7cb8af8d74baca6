#ifndef ROSEMARYWINCH_DECISIONS_CONSENSUS_REPLICATED_LOG_H_
#define ROSEMARYWINCH_DECISIONS_CONSENSUS_REPLICATED_LOG_H_

#include <cstdint>
#include <deque>
#include <vector>

#include "rosemarywinch/schema/consensus.h"

namespace rosemarywinch::consensus {

/// In-memory view of the log: a snapshot and the entries after it.
class ReplicatedLog {
 public:
  ReplicatedLog(Snapshot snapshot, std::vector<LogEntry> entries);

  uint64_t LastIndex() const;
  uint64_t LastTerm() const;
  uint64_t FirstIndex() const { return m_snapshot.last_index + 1; }

  /// Returns the term of the entry at `index`, or 0 if it is unknown.
  uint64_t TermAt(uint64_t index) const;

  /// Returns true if the log contains an entry with this index and term. Index
  /// 0, before the first entry, always matches.
  bool Matches(uint64_t index, uint64_t term) const;

  /// Returns up to `limit` entries, starting at `index`.
  std::vector<LogEntry> EntriesFrom(uint64_t index, size_t limit) const;

  const LogEntry& At(uint64_t index) const;
  void Append(LogEntry entry);
  void TruncateFrom(uint64_t index);

  /// Replaces the entries that the snapshot covers. Later entries are kept if
  /// the log contains the snapshot's last entry, and dropped otherwise.
  void InstallSnapshot(Snapshot snapshot);

  const Snapshot& snapshot() const { return m_snapshot; }

  /// Returns the latest voter set in the log, whether or not it is committed.
  const std::vector<ReplicaRef>& Voters() const;

  /// Returns the index of the latest voter change, or of the snapshot if no
  /// change follows it.
  uint64_t VotersIndex() const;

 private:
  Snapshot m_snapshot;
  std::deque<LogEntry> m_entries;
};

}  // namespace rosemarywinch::consensus

#endif  // ROSEMARYWINCH_DECISIONS_CONSENSUS_REPLICATED_LOG_H_
