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
#include "rosemarywinch/schema/control.h"

namespace rosemarywinch {

/// Writes a request id: the node that alone may run it, service, client
/// account, a nonce and the time of issue on that node's clock.
std::string RequestIdText(const RequestIdParts& parts);

/// Reads what RequestIdText() wrote. Errors: kBadRequestId.
Result<RequestIdParts> ParseRequestId(std::string_view text);

/// The request is new: run it and report what came of it.
struct FirstAttempt {};
/// The request ran; this is its whole answer.
struct AlreadyExecuted {
  HttpResponse answer;
};
/// The request cannot be run now or ever; the error says why.
struct NotRunnable {
  Error error;
};
using AttemptResult = std::variant<FirstAttempt, AlreadyExecuted, NotRunnable>;

/// Remembers the outcome of every request that must run at most once and that
/// is bound to this node. Thread-safe; state in shards.
///
/// A request runs here only under an id that this life of the node issued, so
/// a node that restarted refuses what it cannot vouch for. Ids die after
/// `window`, and their records live as long.
class IdempotencyStore {
 public:
  IdempotencyStore(std::string node, Duration window)
      : m_node(std::move(node)), m_window(window) {}

  /// Issues an id.
  std::string Issue(TimePoint now,
                    const std::string& service,
                    const std::string& account,
                    std::string nonce) const;

  /// Begins an attempt. `fingerprint` tells requests apart that use one id.
  AttemptResult Begin(TimePoint now,
                      const std::string& id,
                      const std::string& fingerprint);

  /// The attempt was refused before the backend server saw anything of it.
  void Forget(const std::string& id);
  /// The backend server answered.
  void Finish(const std::string& id, const HttpResponse& answer);
  /// The backend server may or may not have run the request.
  void MarkUnknown(const std::string& id);
  /// No attempt under this id may ever begin here; false when one has begun.
  bool Fence(TimePoint now, const std::string& id);

  /// Tells whether it is certain that no attempt under this id has begun.
  bool IsFresh(TimePoint now, const std::string& id);

  /// Answers larger than this are not kept; a repeat learns that it ran.
  static constexpr size_t kMaxAnswerBytes = 64UL * 1024;

 private:
  struct Running {};
  struct Ran {
    HttpResponse answer;
    bool whole = true;
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
