#ifndef ROSEMARYWINCH_DECISIONS_TRAFFIC_IDEMPOTENCY_STORE_H_
#define ROSEMARYWINCH_DECISIONS_TRAFFIC_IDEMPOTENCY_STORE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>

#include "rosemarywinch/core/error.h"
#include "rosemarywinch/core/sharded.h"
#include "rosemarywinch/core/time.h"
#include "rosemarywinch/interfaces/http.h"
#include "rosemarywinch/schema/hop.h"

namespace rosemarywinch {

/// Formats a request id: the only node that may run the request, service,
/// client account, a nonce and the time of issue on that node's clock.
std::string RequestIdText(const RequestIdParts& parts);

/// Parses a request id written by RequestIdText(). Errors: kBadRequestId.
Result<RequestIdParts> ParseRequestId(std::string_view text);

/// The request is new: the caller must run it and record the outcome.
struct FirstAttempt {};
/// The request has already been executed; holds the stored response.
struct AlreadyExecuted {
  HttpResponse answer;
};
/// This attempt must not run; the error gives the reason.
struct NotRunnable {
  Error error;
};
using AttemptResult = std::variant<FirstAttempt, AlreadyExecuted, NotRunnable>;

/// Stores the outcome of every request that must run at most once and is bound
/// to this node. Thread-safe; state in shards.
///
/// A request runs only under an id that this process issued: nodes take a new
/// name at each start, so a restarted node refuses the ids of its predecessor,
/// of which it has no records. Ids expire after `window`; a record is kept for
/// `window` from the first attempt and thus outlives its id.
class IdempotencyStore {
 public:
  IdempotencyStore(std::string node, Duration window)
      : m_node(std::move(node)), m_window(window) {}

  std::string Issue(TimePoint now,
                    const std::string& service,
                    const std::string& account,
                    std::string nonce) const;

  /// Begins an attempt. `fingerprint` detects the use of one id for different
  /// requests.
  AttemptResult Begin(TimePoint now,
                      const std::string& id,
                      const std::string& fingerprint);

  /// Removes the record of an attempt that never reached the backend server, so
  /// that it may be repeated.
  void Forget(const std::string& id);
  /// Records the response of the backend server.
  void Finish(const std::string& id, const HttpResponse& answer);
  /// Records that the backend server may or may not have run the request.
  void MarkUnknown(const std::string& id);
  /// Prevents all attempts under this id. Returns false when one has started
  /// already, or when the id is not valid on this node.
  bool Fence(TimePoint now, const std::string& id);

  /// Returns true if the id is valid on this node, not fenced, and no attempt
  /// under it has started. False also when that is unknown.
  bool IsFresh(TimePoint now, const std::string& id);

  /// Larger responses are not stored; the response to a repeated request then
  /// only states that the request was executed.
  static constexpr size_t kMaxResponseBytes = 64UL * 1024;

 private:
  struct Running {};
  struct Ran {
    HttpResponse answer;
    bool complete = true;
  };
  struct Unknown {};
  struct Fenced {};
  using State = std::variant<Running, Ran, Unknown, Fenced>;
  struct Record {
    std::string fingerprint;
    State state;
  };
  struct Shard {
    std::map<std::string, Record> records;
    std::deque<std::pair<TimePoint, std::string>> expiries;
  };

  std::optional<Error> CheckId(TimePoint now, const std::string& id) const;
  void Expire(Shard& shard, TimePoint now) const;
  static AttemptResult Repeat(const Record& record,
                              const std::string& fingerprint);
  void SetState(const std::string& id, State state);

  const std::string m_node;
  const Duration m_window;
  Sharded<Shard> m_shards;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_DECISIONS_TRAFFIC_IDEMPOTENCY_STORE_H_
