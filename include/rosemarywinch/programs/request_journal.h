#ifndef ROSEMARYWINCH_PROGRAMS_REQUEST_JOURNAL_H_
#define ROSEMARYWINCH_PROGRAMS_REQUEST_JOURNAL_H_

#include <deque>
#include <optional>
#include <string>

#include "rosemarywinch/core/sharded.h"
#include "rosemarywinch/schema/errors.h"
#include "rosemarywinch/schema/policy.h"

namespace rosemarywinch {

/// Record of one request on this node.
struct JournalRecord {
  std::string request_id;
  std::string account;
  std::string service;
  std::string route;
  RequestClass request_class = RequestClass::kLookup;
  std::string outcome;
  ErrorId reason = ErrorId::kNone;
  std::string detail;
  std::string level;
  uint64_t config_version = 0;
  double total_ms = 0;
};

/// The most recent requests of this node, for `status --why`. Thread-safe;
/// sharded by request id.
class RequestJournal {
 public:
  void Add(JournalRecord record);

  /// Returns the newest record of the request, or nullopt.
  std::optional<JournalRecord> Find(const std::string& request_id);

  /// Maximum number of records per shard.
  static constexpr size_t kRecordsPerShard = 256;

 private:
  Sharded<std::deque<JournalRecord>> m_shards;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_PROGRAMS_REQUEST_JOURNAL_H_
