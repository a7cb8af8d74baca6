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
#include "rosemarywinch/decisions/traffic/cold_start_limit.h"
#include "rosemarywinch/decisions/traffic/concurrency_limit.h"
#include "rosemarywinch/schema/errors.h"
#include "rosemarywinch/schema/policy.h"

namespace rosemarywinch {

/// Call that requests admission to the local backend server.
struct Ticket {
  uint64_t id = 0;
  RequestClass request_class = RequestClass::kLookup;
  std::string account;
  uint32_t weight = 1;
  /// Call made while serving a request that has already been admitted.
  bool nested = false;
  TimePoint deadline;
  /// Explicit priority, 0 the highest. Replaces the request class in the order;
  /// nested calls still precede all others.
  std::optional<uint32_t> priority = std::nullopt;
  /// Number of earlier calls of the request that makes this nested call.
  uint32_t calls_before = 0;
  /// Shedding priority of the root request of a nested call, 0 the most urgent.
  /// Without it the call comes after the others.
  std::optional<uint32_t> entry_priority = std::nullopt;
};

/// Decision on a ticket.
enum class Verdict { kRun, kWait, kRefuse };

struct Admission {
  uint64_t ticket = 0;
  Verdict verdict = Verdict::kWait;
  /// Reason of a refusal, kNone otherwise.
  ErrorId reason = ErrorId::kNone;
};

/// Decides which calls run on the local backend server, which wait and which
/// are refused. Not thread-safe.
///
/// Order of waiting calls: essential request classes before lookups, or by
/// explicit priority where tickets have one; nested calls before root requests;
/// then weighted fair queueing between client accounts. Nested calls are
/// ordered by the number of earlier calls of their request, the most first,
/// then by the shedding priority of their root request. Those without earlier
/// calls run last in, first out, because the oldest have too little time left
/// to be worth a slot. When the queue is full, the call that would run last is
/// refused; a call that can't end in its time is refused as soon as that is
/// known.
///
/// While the backend server is cold, ColdStartLimit bounds the starts too, and
/// only calls wait that can start soon; the others are refused at once.
class AdmissionQueue {
 public:
  AdmissionQueue(ConcurrencyLimit limit, uint32_t queue_length);

  /// Offers a call. Returns its verdict, followed by the refusals of waiting
  /// calls, if any: of one that was evicted from the full queue, and of those
  /// that now can't end in their time. While the backend server is
  /// cold, a call that is not listed waits.
  /// Complexity: logarithmic in the queue length.
  std::vector<Admission> Offer(TimePoint now, Ticket ticket);

  /// Ends a running call. Returns the verdicts of waiting calls that are now
  /// started or refused.
  std::vector<Admission> Finish(TimePoint now, const CallSample& sample);

  /// Removes a waiting call, for example because its deadline has passed.
  /// Does nothing when the call isn't waiting.
  void Cancel(uint64_t ticket);

  /// Refuses all waiting calls. Returns their verdicts.
  std::vector<Admission> RefuseWaiting(ErrorId reason);

  /// Replaces the concurrency limit. Returns the verdicts of waiting calls that
  /// are now started or refused.
  std::vector<Admission> SetLimit(TimePoint now, ConcurrencyLimit limit);

  /// Sets the calls per second that the backend server bears while it is cold;
  /// 0 means that it is not. Returns the verdicts of waiting calls that are now
  /// started or refused.
  std::vector<Admission> SetColdRate(TimePoint now, double rate);

  /// Starts waiting calls that may start by now. Returns their verdicts.
  std::vector<Admission> Advance(TimePoint now);

  /// Returns when to call Advance(): the next time at which a waiting call may
  /// start, or must be refused, although no other has ended; nothing if there
  /// is none.
  std::optional<TimePoint> NextStart(TimePoint now) const;

  uint32_t in_flight() const { return m_in_flight; }
  size_t waiting() const { return m_positions.size(); }
  uint32_t limit() const;
  double cold_rate() const { return m_cold_limit.rate(); }
  /// Number of calls that were refused because the backend server is cold.
  uint64_t cold_refusals() const { return m_cold_refusals; }

  /// Returns the number of slots that calls can use at present. A cold backend
  /// server uses no more than its rate times the mean time of a call.
  double UsableSlots() const;

  /// Estimates the waiting time of a call offered now.
  Duration ExpectedWait() const;

  /// Estimates the time until a call offered now could start, if the backend
  /// server is cold also by its limit.
  Duration TimeUntilStart(TimePoint now) const;

 private:
  /// Sort key within a priority queue. Self-clocked fair queueing: the tag is a
  /// virtual finish time, which grows by 1 / weight with each call of a client
  /// account. Fair queueing does not apply to nested calls; their tag is the
  /// negated number of earlier calls.
  struct QueueKey {
    double tag = 0;
    /// Shedding priority of the root request of a nested call.
    uint32_t entry_priority = 0;
    uint64_t sequence = 0;
    auto operator<=>(const QueueKey&) const = default;
  };
  /// Waiting calls of one priority level.
  struct PriorityQueue {
    std::map<QueueKey, Ticket> waiting;
    std::map<std::string, double> last_tags;
    double virtual_time = 0;
  };
  struct Position {
    size_t level = 0;
    QueueKey key;
    TimePoint offered;
  };

  static constexpr size_t kPriorityLevels = 16;

  static size_t PriorityLevelOf(const Ticket& ticket);
  /// Returns the sort key of `ticket` in `queue`; the least runs first.
  QueueKey QueueKeyOf(PriorityQueue& queue, const Ticket& ticket);
  void Enqueue(TimePoint now, Ticket ticket);
  Ticket PopFirst();
  const Ticket& Last() const;
  Ticket PopLast();
  Ticket Remove(PriorityQueue& queue,
                std::map<QueueKey, Ticket>::iterator entry);
  Ticket Evict(PriorityQueue& queue,
               std::map<QueueKey, Ticket>::iterator entry);
  std::vector<Admission> AdmitWaiting(TimePoint now);
  void UpdateUsable(TimePoint now);
  bool MayStart(TimePoint now) const;
  void Start(TimePoint now);
  TimePoint StartTime(TimePoint now, size_t ahead) const;
  TimePoint LatestStart(const Ticket& ticket) const;
  void RefuseLate(TimePoint now, std::vector<Admission>& admissions);
  void RefuseHopeless(TimePoint now, std::vector<Admission>& admissions);
  Duration WaitBehind(size_t calls) const;

  ConcurrencyLimit m_limit;
  ColdStartLimit m_cold_limit;
  TimePoint m_cold_since;
  uint64_t m_cold_refusals = 0;
  /// Bound of the concurrent calls during and after a cold period.
  uint32_t m_usable_slots = UINT32_MAX;
  const uint32_t m_queue_length;
  uint32_t m_in_flight = 0;
  uint64_t m_sequence = 0;
  std::array<PriorityQueue, kPriorityLevels> m_queues;
  std::map<uint64_t, Position> m_positions;
  double m_mean_service_ms = 0;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_DECISIONS_TRAFFIC_ADMISSION_QUEUE_H_
