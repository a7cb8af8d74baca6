#ifndef ROSEMARYWINCH_DECISIONS_TRAFFIC_ADMISSION_QUEUE_H_
#define ROSEMARYWINCH_DECISIONS_TRAFFIC_ADMISSION_QUEUE_H_

#include <array>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "rosemarywinch/core/time.h"
#include "rosemarywinch/decisions/traffic/concurrency_limit.h"
#include "rosemarywinch/schema/errors.h"
#include "rosemarywinch/schema/fleet.h"

namespace rosemarywinch {

/// A call that asks to run on the local backend server.
struct Ticket {
  uint64_t id = 0;
  RequestClass request_class = RequestClass::kLookup;
  std::string account;
  uint32_t weight = 1;
  /// Part of a request that the fleet has already let in.
  bool nested = false;
  TimePoint deadline;
  /// Urgency that goes before the class, 0 first; nested calls go before all.
  std::optional<uint32_t> priority = std::nullopt;
  /// Calls that the request which makes this nested call has made before.
  uint32_t calls_before = 0;
};

/// What became of a ticket.
enum class Verdict { kRun, kWait, kRefuse };

struct Admission {
  uint64_t ticket = 0;
  Verdict verdict = Verdict::kWait;
  /// Why the ticket was refused.
  ErrorId reason = ErrorId::kNone;
};

/// Decides which calls run on the local backend server, which wait and which
/// are refused. The caller serialises all calls.
///
/// Order: essential classes before lookups; nested calls before fresh ones;
/// then the client account that has had least for its weight. Nested calls run
/// in the order of how many calls their request has made before; first calls
/// run newest first, since the oldest have no time left to be worth a slot.
/// When the queue is full, the call that would run last makes room.
class AdmissionQueue {
 public:
  AdmissionQueue(ConcurrencyLimit limit, uint32_t queue_length);

  /// Offers a call. Returns its verdict first, and then that of a waiting
  /// call that had to make room.
  /// Complexity: logarithmic in the queue.
  std::vector<Admission> Offer(TimePoint now, Ticket ticket);

  /// Ends a running call and returns the verdicts of calls that waited.
  std::vector<Admission> Finish(TimePoint now, const CallSample& sample);

  /// Withdraws a waiting call, for instance because its deadline passed.
  void Cancel(uint64_t ticket);

  /// Takes over a new number of slots.
  std::vector<Admission> SetLimit(TimePoint now, ConcurrencyLimit limit);

  uint32_t in_flight() const { return m_in_flight; }
  size_t waiting() const { return m_positions.size(); }
  uint32_t limit() const { return CurrentLimit(m_limit); }

  /// Returns the time that a call offered now would wait.
  Duration ExpectedWait() const;

 private:
  /// Place in a lane: start-time fair queueing orders calls by a tag that
  /// grows with each call of one client account, slower for greater weights.
  struct QueueKey {
    double tag = 0;
    uint64_t sequence = 0;
    auto operator<=>(const QueueKey&) const = default;
  };
  /// Waiting calls of one priority.
  struct PriorityQueue {
    std::map<QueueKey, Ticket> waiting;
    std::map<std::string, double> last_tags;
    double virtual_time = 0;
  };
  struct Position {
    size_t level = 0;
    QueueKey key;
  };

  static constexpr size_t kPriorityLevels = 16;

  static size_t PriorityLevelOf(const Ticket& ticket);
  /// Returns the place of `ticket` in its lane; the least goes first.
  QueueKey QueueKeyOf(PriorityQueue& queue, const Ticket& ticket);
  void Enqueue(Ticket ticket);
  Ticket PopFirst();
  Ticket PopLast();
  Ticket Remove(PriorityQueue& queue,
                std::map<QueueKey, Ticket>::iterator entry);
  std::vector<Admission> AdmitWaiting(TimePoint now);

  ConcurrencyLimit m_limit;
  const uint32_t m_queue_length;
  uint32_t m_in_flight = 0;
  uint64_t m_sequence = 0;
  std::array<PriorityQueue, kPriorityLevels> m_queues;
  std::map<uint64_t, Position> m_positions;
  double m_mean_service_ms = 0;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_DECISIONS_TRAFFIC_ADMISSION_QUEUE_H_
