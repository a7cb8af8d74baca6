#include "rosemarywinch/decisions/mesh/backend_presence.h"

namespace rosemarywinch {

bool BackendPresence::IsWhole(const BackendReport& report) const {
  const bool whole = report.service && report.address && report.state &&
                     report.slots && report.sequence && *report.slots > 0;
  const bool named = whole && (*report.state == "ready" ||
                               *report.state == NameOf(BackendState::kLeaving));
  return named && *report.address == m_address;
}

ReportVerdict BackendPresence::OnReport(TimePoint now,
                                        const std::string& id,
                                        const BackendReport& report) {
  if (id.empty() || !IsWhole(report)) {
    return ReportVerdict::kInvalid;
  }
  const Duration born = report.born.value_or(Duration{0});
  const bool same_life = id == m_backend.id && born == m_born;
  const bool earlier_life = !same_life && born < m_born;
  if (earlier_life || (same_life && *report.sequence <= m_sequence)) {
    return ReportVerdict::kLate;
  }
  const bool leaving = *report.state == NameOf(BackendState::kLeaving);
  m_left = leaving || (same_life && m_left);
  m_backend = {id, *report.service, BackendState::kReady, *report.slots};
  m_born = born;
  m_sequence = *report.sequence;
  m_last_heard = now;
  m_cold_until = now + report.cold_left.value_or(Duration{0});
  m_refused = false;
  return ReportVerdict::kTaken;
}

void BackendPresence::OnWithdraw(const std::string& id) {
  if (id == m_backend.id) {
    m_left = true;
  }
}

void BackendPresence::OnRefused(TimePoint now) {
  m_refused = m_last_heard < now;
}

std::optional<LocalBackend> BackendPresence::Current(TimePoint now) const {
  const bool heard =
      !m_backend.id.empty() && now < m_last_heard + m_silence && !m_refused;
  if (!heard) {
    return std::nullopt;
  }
  LocalBackend current = m_backend;
  if (m_left) {
    current.state = BackendState::kLeaving;
  } else if (now < m_cold_until) {
    current.state = BackendState::kStarting;
  }
  return current;
}

}  // namespace rosemarywinch
