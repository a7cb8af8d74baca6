#include "rosemarywinch/decisions/traffic/admission_queue.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "rosemarywinch/decisions/fleet/policy.h"

namespace rosemarywinch {

namespace {

// Weight of the latest call in the moving average of service times.
constexpr double kEwmaWeight = 0.1;
// Calls wait for a cold backend server this long at most, so that they can go
// elsewhere in time: an eighth of a target latency of 1 s. Refusing a nested
// call wastes the work of the request that makes it, so that it waits longer.
constexpr Duration kMaxColdWait{125};
constexpr Duration kMaxNestedColdWait{500};
// Interval at which waiting calls use the slots that are added after a cold
// period, and are refused if no slot becomes free in time.
constexpr Duration kRecheckInterval{200};

}  // namespace

AdmissionQueue::AdmissionQueue(ConcurrencyLimit limit, uint32_t queue_length)
    : m_limit(limit), m_queue_length(queue_length) {}

std::vector<Admission> AdmissionQueue::Offer(TimePoint now, Ticket ticket) {
  const uint64_t id = ticket.id;
  if (now >= ticket.deadline) {
    return {{id, Verdict::kRefuse, ErrorId::kDeadlinePassed}};
  }
  UpdateUsable(now);
  if (MayStart(now) && m_positions.empty()) {
    Start(now);
    return {{id, Verdict::kRun, ErrorId::kNone}};
  }
  Enqueue(now, std::move(ticket));
  if (m_cold_limit.cold()) {
    return Advance(now);
  }
  std::vector<Admission> admissions;
  if (m_positions.size() > m_queue_length) {
    admissions.push_back(
        {PopLast().id, Verdict::kRefuse, ErrorId::kOverloaded});
  }
  RefuseHopeless(now, admissions);
  const auto own = std::find_if(
      admissions.begin(), admissions.end(),
      [&](const Admission& admission) { return admission.ticket == id; });
  if (own == admissions.end()) {
    admissions.insert(admissions.begin(), {id, Verdict::kWait, ErrorId::kNone});
  } else {
    std::rotate(admissions.begin(), own, own + 1);
  }
  return admissions;
}

std::vector<Admission> AdmissionQueue::Finish(TimePoint now,
                                              const CallSample& sample) {
  OnSample(m_limit, now, sample, m_in_flight);
  m_mean_service_ms += kEwmaWeight * (sample.service_ms - m_mean_service_ms);
  m_in_flight -= std::min<uint32_t>(m_in_flight, 1);
  return AdmitWaiting(now);
}

void AdmissionQueue::Cancel(uint64_t ticket) {
  const auto found = m_positions.find(ticket);
  if (found != m_positions.end()) {
    PriorityQueue& queue = m_queues[found->second.level];
    Remove(queue, queue.waiting.find(found->second.key));
  }
}

std::vector<Admission> AdmissionQueue::RefuseWaiting(ErrorId reason) {
  std::vector<Admission> refusals;
  while (!m_positions.empty()) {
    refusals.push_back({PopFirst().id, Verdict::kRefuse, reason});
  }
  return refusals;
}

std::vector<Admission> AdmissionQueue::SetLimit(TimePoint now,
                                                ConcurrencyLimit limit) {
  m_limit = limit;
  return AdmitWaiting(now);
}

std::vector<Admission> AdmissionQueue::SetColdRate(TimePoint now, double rate) {
  if (rate > 0 && !m_cold_limit.cold()) {
    m_cold_since = now;
  }
  m_cold_limit.SetRate(now, rate, m_mean_service_ms);
  return Advance(now);
}

std::vector<Admission> AdmissionQueue::Advance(TimePoint now) {
  std::vector<Admission> admissions = AdmitWaiting(now);
  if (m_cold_limit.cold()) {
    RefuseLate(now, admissions);
  }
  return admissions;
}

std::optional<TimePoint> AdmissionQueue::NextStart(TimePoint now) const {
  if (m_positions.empty()) {
    return std::nullopt;
  }
  const TimePoint recheck = now + kRecheckInterval;
  if (m_cold_limit.cold()) {
    const TimePoint start = m_cold_limit.StartTime(now, 0);
    return m_in_flight < limit() ? start : std::max(start, recheck);
  }
  return m_cold_limit.IsWarming(now) ? std::optional(recheck) : std::nullopt;
}

uint32_t AdmissionQueue::limit() const {
  return std::min(CurrentLimit(m_limit), m_usable_slots);
}

double AdmissionQueue::UsableSlots() const {
  const double slots = limit();
  if (!m_cold_limit.cold() || m_mean_service_ms <= 0) {
    return slots;
  }
  return std::min(slots, m_cold_limit.rate() * m_mean_service_ms / 1000);
}

Duration AdmissionQueue::TimeUntilStart(TimePoint now) const {
  const Duration for_slot = ExpectedWait();
  return m_cold_limit.cold()
             ? std::max(for_slot, StartTime(now, waiting()) - now)
             : for_slot;
}

Duration AdmissionQueue::ExpectedWait() const {
  return WaitBehind(waiting() + 1) + Duration{1};
}

Duration AdmissionQueue::WaitBehind(size_t calls) const {
  const double each = m_mean_service_ms / std::max<uint32_t>(1, limit());
  return Duration{static_cast<int64_t>(static_cast<double>(calls) * each)};
}

size_t AdmissionQueue::PriorityLevelOf(const Ticket& ticket) {
  if (ticket.priority) {
    return ticket.nested
               ? 0
               : std::min<size_t>(1 + *ticket.priority, kPriorityLevels - 1);
  }
  const size_t by_class = IsEssential(ticket.request_class) ? 0 : 2;
  return by_class + (ticket.nested ? 0 : 1);
}

void AdmissionQueue::Enqueue(TimePoint now, Ticket ticket) {
  const size_t index = PriorityLevelOf(ticket);
  PriorityQueue& queue = m_queues[index];
  const QueueKey key = QueueKeyOf(queue, ticket);
  m_positions[ticket.id] = {index, key, now};
  queue.waiting.emplace(key, std::move(ticket));
}

AdmissionQueue::QueueKey AdmissionQueue::QueueKeyOf(PriorityQueue& queue,
                                                    const Ticket& ticket) {
  ++m_sequence;
  if (ticket.nested) {
    const double tag = -static_cast<double>(ticket.calls_before);
    const bool begun = ticket.calls_before > 0;
    return {tag, ticket.entry_priority.value_or(UINT32_MAX),
            begun ? m_sequence : UINT64_MAX - m_sequence};
  }
  double& last = queue.last_tags[ticket.account];
  const double step = 1.0 / std::max<uint32_t>(1, ticket.weight);
  last = std::max(last, queue.virtual_time) + step;
  return {last, 0, m_sequence};
}

Ticket AdmissionQueue::PopFirst() {
  const auto queue = std::find_if(m_queues.begin(), m_queues.end(),
                                  [](const PriorityQueue& candidate) {
                                    return !candidate.waiting.empty();
                                  });
  const auto first = queue->waiting.begin();
  queue->virtual_time = first->first.tag;
  return Remove(*queue, first);
}

const Ticket& AdmissionQueue::Last() const {
  const auto queue = std::find_if(m_queues.rbegin(), m_queues.rend(),
                                  [](const PriorityQueue& candidate) {
                                    return !candidate.waiting.empty();
                                  });
  return std::prev(queue->waiting.end())->second;
}

Ticket AdmissionQueue::PopLast() {
  const auto queue = std::find_if(m_queues.rbegin(), m_queues.rend(),
                                  [](const PriorityQueue& candidate) {
                                    return !candidate.waiting.empty();
                                  });
  return Evict(*queue, std::prev(queue->waiting.end()));
}

Ticket AdmissionQueue::Evict(PriorityQueue& queue,
                             std::map<QueueKey, Ticket>::iterator entry) {
  const Ticket& ticket = entry->second;
  if (!ticket.nested) {
    // Lets the account's next call reuse the tag of the evicted one.
    const double step = 1.0 / std::max<uint32_t>(1, ticket.weight);
    queue.last_tags[ticket.account] -= step;
  }
  return Remove(queue, entry);
}

Ticket AdmissionQueue::Remove(PriorityQueue& queue,
                              std::map<QueueKey, Ticket>::iterator entry) {
  Ticket ticket = std::move(entry->second);
  queue.waiting.erase(entry);
  if (queue.waiting.empty()) {
    queue.last_tags.clear();
    queue.virtual_time = 0;
  }
  m_positions.erase(ticket.id);
  return ticket;
}

std::vector<Admission> AdmissionQueue::AdmitWaiting(TimePoint now) {
  std::vector<Admission> admissions;
  const Duration service{static_cast<int64_t>(m_mean_service_ms)};
  UpdateUsable(now);
  while (!m_positions.empty() && MayStart(now)) {
    const Ticket ticket = PopFirst();
    if (now + service >= ticket.deadline) {
      admissions.push_back(
          {ticket.id, Verdict::kRefuse, ErrorId::kDeadlinePassed});
      continue;
    }
    Start(now);
    admissions.push_back({ticket.id, Verdict::kRun, ErrorId::kNone});
  }
  RefuseHopeless(now, admissions);
  return admissions;
}

void AdmissionQueue::UpdateUsable(TimePoint now) {
  m_usable_slots =
      m_cold_limit.UsableSlots(now, CurrentLimit(m_limit), m_mean_service_ms);
}

bool AdmissionQueue::MayStart(TimePoint now) const {
  return m_in_flight < limit() && m_cold_limit.StartTime(now, 0) <= now;
}

void AdmissionQueue::Start(TimePoint now) {
  ++m_in_flight;
  m_cold_limit.OnStart(now);
}

// Estimates when the waiting call with `ahead` others before it can start.
TimePoint AdmissionQueue::StartTime(TimePoint now, size_t ahead) const {
  const double calls = static_cast<double>(m_in_flight + ahead + 1);
  const double for_slot = std::max(0.0, calls - limit());
  const double slot_wait =
      for_slot * m_mean_service_ms / std::max<uint32_t>(1, limit());
  return std::max(m_cold_limit.StartTime(now, ahead),
                  now + Duration{static_cast<int64_t>(slot_wait)});
}

// Returns the latest start at which waiting for a cold backend server is worth
// it: the call can end in time, and is not held for long.
TimePoint AdmissionQueue::LatestStart(const Ticket& ticket) const {
  const Duration service{static_cast<int64_t>(m_mean_service_ms)};
  const TimePoint since =
      std::max(m_positions.at(ticket.id).offered, m_cold_since);
  return std::min(ticket.deadline - service,
                  since + (ticket.nested ? kMaxNestedColdWait : kMaxColdWait));
}

void AdmissionQueue::RefuseLate(TimePoint now,
                                std::vector<Admission>& admissions) {
  std::vector<uint64_t> late;
  size_t ahead = 0;
  for (const PriorityQueue& queue : m_queues) {
    for (const auto& [key, ticket] : queue.waiting) {
      if (StartTime(now, ahead) <= LatestStart(ticket)) {
        ++ahead;
      } else {
        late.push_back(ticket.id);
      }
    }
  }
  // From the last one on, so that the tags of an account stay in order.
  for (auto id = late.rbegin(); id != late.rend(); ++id) {
    const Position position = m_positions.at(*id);
    PriorityQueue& queue = m_queues[position.level];
    Evict(queue, queue.waiting.find(position.key));
    admissions.push_back({*id, Verdict::kRefuse, ErrorId::kOverloaded});
  }
  m_cold_refusals += late.size();
}

// Refuses calls from the end of the order that could not end in their time even
// if no other call came before them, so that their callers can go elsewhere.
void AdmissionQueue::RefuseHopeless(TimePoint now,
                                    std::vector<Admission>& admissions) {
  const Duration service{static_cast<int64_t>(m_mean_service_ms)};
  while (!m_positions.empty()) {
    const Duration wait = WaitBehind(m_positions.size());
    if (now + wait + service < Last().deadline) {
      return;
    }
    admissions.push_back(
        {PopLast().id, Verdict::kRefuse, ErrorId::kOverloaded});
  }
}

}  // namespace rosemarywinch
