#include "rosemarywinch/decisions/mesh/backend_presence.h"

namespace rosemarywinch {

namespace {

// A report with more slots is taken for an error of its writer.
constexpr uint32_t kMaxSlots = 1'000'000;
// Clocks of hosts may differ by this much, so a report may seem to come from a
// backend server that starts in the future.
constexpr Duration kMaxClockDifference{3'600'000};
// A report of a longer cold period is taken for an error of its writer.
constexpr Duration kMaxColdLeft{3'600'000};

bool IsInFuture(Duration unix_now, Duration born) {
  return born > unix_now + kMaxClockDifference;
}

}  // namespace

std::optional<Departure> DepartureIn(const std::string& id,
                                     const BackendReport& report) {
  if (report.state != NameOf(BackendState::kLeaving)) {
    return std::nullopt;
  }
  return Departure{id, report.born.value_or(Duration{0})};
}

bool BackendPresence::IsValidReport(Duration unix_now,
                                    const BackendReport& report) const {
  const bool complete = report.service && report.address && report.state &&
                        report.slots && report.sequence && *report.slots > 0 &&
                        *report.slots <= kMaxSlots;
  const bool known_state =
      complete && (*report.state == "ready" ||
                   *report.state == NameOf(BackendState::kLeaving));
  const bool in_future = report.born && IsInFuture(unix_now, *report.born);
  const Duration cold_left = report.cold_left.value_or(Duration{0});
  const bool cold_in_range =
      cold_left >= Duration{0} && cold_left <= kMaxColdLeft;
  return known_state && !in_future && cold_in_range &&
         *report.address == m_address &&
         (m_service.empty() || *report.service == m_service);
}

ReportOutcome BackendPresence::OnReport(TimePoint now,
                                        Duration unix_now,
                                        const std::string& id,
                                        const BackendReport& report) {
  if (id.empty() || !IsValidReport(unix_now, report)) {
    return ReportOutcome::kInvalid;
  }
  // A late report of leaving still holds.
  if (const auto departure = DepartureIn(id, report)) {
    m_departures.Note(*departure);
  }
  const Duration born = report.born.value_or(Duration{0});
  const bool same_incarnation = id == m_backend.id && born == m_born;
  const bool earlier_incarnation = !same_incarnation && born < m_born;
  if (earlier_incarnation ||
      (same_incarnation && *report.sequence <= m_sequence)) {
    return ReportOutcome::kStale;
  }
  // A report that says nothing about the cold period does not end it.
  if (report.cold_left || !same_incarnation || m_gone) {
    m_cold_until = now + report.cold_left.value_or(m_cold_start);
  }
  m_backend = {id, *report.service, BackendState::kReady, *report.slots};
  m_born = born;
  m_sequence = *report.sequence;
  m_last_heard = now;
  m_gone = false;
  return ReportOutcome::kAccepted;
}

std::optional<Departure> BackendPresence::OnWithdraw(
    Duration unix_now,
    const std::string& id,
    std::optional<Duration> born) {
  const bool current = !id.empty() && id == m_backend.id;
  // An incarnation that shuts down has started before now, so that the present
  // time is a bound on its start if the node has not heard from it.
  const Duration bound = born.value_or(current ? m_born : unix_now);
  if (id.empty() || IsInFuture(unix_now, bound)) {
    return std::nullopt;
  }
  const Departure departure{id, bound};
  m_departures.Note(departure);
  return departure;
}

void BackendPresence::OnGone(TimePoint seen) {
  m_gone = m_gone || m_last_heard < seen;
}

std::optional<LocalBackend> BackendPresence::Current(TimePoint now) const {
  const bool present = m_departures.restored() && !m_backend.id.empty() &&
                       now < m_last_heard + m_timeout && !m_gone;
  if (!present) {
    return std::nullopt;
  }
  LocalBackend current = m_backend;
  if (m_departures.HasLeft({m_backend.id, m_born})) {
    current.state = BackendState::kLeaving;
  } else if (now < m_cold_until) {
    current.state = BackendState::kStarting;
  }
  return current;
}

}  // namespace rosemarywinch
