#include "rosemarywinch/decisions/traffic/admission_queue.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "rosemarywinch/decisions/fleet/policy.h"

namespace rosemarywinch {

namespace {

// Weight of the latest call in the moving average of service times.
constexpr double kEwmaWeight = 0.1;

}  // namespace

AdmissionQueue::AdmissionQueue(ConcurrencyLimit limit, uint32_t queue_length)
    : m_limit(limit), m_queue_length(queue_length) {}

std::vector<Admission> AdmissionQueue::Offer(TimePoint now, Ticket ticket) {
  const uint64_t id = ticket.id;
  if (now >= ticket.deadline) {
    return {{id, Verdict::kRefuse, ErrorId::kDeadlinePassed}};
  }
  if (m_in_flight < limit() && m_positions.empty()) {
    ++m_in_flight;
    return {{id, Verdict::kRun, ErrorId::kNone}};
  }
  Enqueue(std::move(ticket));
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

void AdmissionQueue::Enqueue(Ticket ticket) {
  const size_t index = PriorityLevelOf(ticket);
  PriorityQueue& queue = m_queues[index];
  const QueueKey key = QueueKeyOf(queue, ticket);
  m_positions[ticket.id] = {index, key};
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
  const auto last = std::prev(queue->waiting.end());
  if (!last->second.nested) {
    // Lets the account's next call reuse the tag of the evicted one.
    const double step = 1.0 / std::max<uint32_t>(1, last->second.weight);
    queue->last_tags[last->second.account] -= step;
  }
  return Remove(*queue, last);
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
  while (!m_positions.empty() && m_in_flight < limit()) {
    const Ticket ticket = PopFirst();
    if (now + service >= ticket.deadline) {
      admissions.push_back(
          {ticket.id, Verdict::kRefuse, ErrorId::kDeadlinePassed});
      continue;
    }
    ++m_in_flight;
    admissions.push_back({ticket.id, Verdict::kRun, ErrorId::kNone});
  }
  RefuseHopeless(now, admissions);
  return admissions;
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
