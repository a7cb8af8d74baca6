#include "rosemarywinch/programs/request_journal.h"

#include <algorithm>
#include <utility>

namespace rosemarywinch {

void RequestJournal::Add(JournalRecord record) {
  const std::string id = record.request_id;
  m_shards.With(id, [&](auto& records) {
    records.push_back(std::move(record));
    if (records.size() > kRecordsPerShard) {
      records.pop_front();
    }
  });
}

std::optional<JournalRecord> RequestJournal::Find(
    const std::string& request_id) {
  return m_shards.With(
      request_id, [&](const auto& records) -> std::optional<JournalRecord> {
        const auto found = std::find_if(
            records.rbegin(), records.rend(),
            [&](const auto& r) { return r.request_id == request_id; });
        return found == records.rend() ? std::nullopt : std::optional(*found);
      });
}

}  // namespace rosemarywinch
