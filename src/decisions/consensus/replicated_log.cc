#include "rosemarywinch/decisions/consensus/replicated_log.h"

#include <algorithm>
#include <utility>

namespace rosemarywinch::consensus {

ReplicatedLog::ReplicatedLog(Snapshot snapshot, std::vector<LogEntry> entries)
    : m_snapshot(std::move(snapshot)),
      m_entries(std::make_move_iterator(entries.begin()),
                std::make_move_iterator(entries.end())) {}

uint64_t ReplicatedLog::LastIndex() const {
  return m_snapshot.last_index + m_entries.size();
}

uint64_t ReplicatedLog::LastTerm() const {
  return m_entries.empty() ? m_snapshot.last_term : m_entries.back().term;
}

uint64_t ReplicatedLog::TermAt(uint64_t index) const {
  if (index == m_snapshot.last_index) {
    return m_snapshot.last_term;
  }
  if (index < FirstIndex() || index > LastIndex()) {
    return 0;
  }
  return At(index).term;
}

bool ReplicatedLog::Matches(uint64_t index, uint64_t term) const {
  if (index == 0) {
    return true;
  }
  const bool known = index >= m_snapshot.last_index && index <= LastIndex();
  return known && TermAt(index) == term;
}

std::vector<LogEntry> ReplicatedLog::EntriesFrom(uint64_t index,
                                                 size_t limit) const {
  std::vector<LogEntry> entries;
  for (uint64_t i = index; i <= LastIndex() && entries.size() < limit; ++i) {
    entries.push_back(At(i));
  }
  return entries;
}

const LogEntry& ReplicatedLog::At(uint64_t index) const {
  return m_entries.at(index - FirstIndex());
}

void ReplicatedLog::Append(LogEntry entry) {
  m_entries.push_back(std::move(entry));
}

void ReplicatedLog::TruncateFrom(uint64_t index) {
  while (LastIndex() >= index && !m_entries.empty()) {
    m_entries.pop_back();
  }
}

void ReplicatedLog::InstallSnapshot(Snapshot snapshot) {
  if (Matches(snapshot.last_index, snapshot.last_term)) {
    const uint64_t covered = snapshot.last_index - m_snapshot.last_index;
    m_entries.erase(m_entries.begin(),
                    m_entries.begin() + static_cast<ptrdiff_t>(covered));
  } else {
    m_entries.clear();
  }
  m_snapshot = std::move(snapshot);
}

const std::vector<ReplicaRef>& ReplicatedLog::Voters() const {
  const uint64_t index = VotersIndex();
  if (index <= m_snapshot.last_index) {
    return m_snapshot.voters;
  }
  return std::get<VoterChange>(At(index).payload).voters;
}

uint64_t ReplicatedLog::VotersIndex() const {
  const auto newest =
      std::find_if(m_entries.rbegin(), m_entries.rend(), [](const auto& entry) {
        return std::holds_alternative<VoterChange>(entry.payload);
      });
  return newest == m_entries.rend() ? m_snapshot.last_index : newest->index;
}

}  // namespace rosemarywinch::consensus
