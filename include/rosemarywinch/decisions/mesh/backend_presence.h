#ifndef ROSEMARYWINCH_DECISIONS_MESH_BACKEND_PRESENCE_H_
#define ROSEMARYWINCH_DECISIONS_MESH_BACKEND_PRESENCE_H_

#include <optional>
#include <string>

#include "rosemarywinch/core/time.h"
#include "rosemarywinch/schema/control.h"
#include "rosemarywinch/schema/mesh.h"

namespace rosemarywinch {

/// The local backend server as its node believes it to be.
struct LocalBackend {
  std::string id;
  std::string service;
  BackendState state = BackendState::kReady;
  uint32_t slots = 0;
};

/// What became of a report.
enum class ReportOutcome {
  kAccepted,
  /// Of an earlier life of the backend server, or overtaken by a later one.
  kStale,
  /// A field is missing or names nothing that this node knows.
  kInvalid,
};

/// Follows the life of the one backend server beside this node from what it
/// reports. The caller serialises all calls.
///
/// A life is an id and the time at which it was born. Leaving is final for a
/// life, so that a delayed report can't bring work back.
class BackendPresence {
 public:
  /// `address` is where the backend server of this node listens; a report
  /// with another is not about it. `timeout` ends a belief.
  BackendPresence(std::string address, Duration timeout)
      : m_address(std::move(address)), m_timeout(timeout) {}

  ReportOutcome OnReport(TimePoint now,
                         const std::string& id,
                         const BackendReport& report);

  /// The backend server says that it ends.
  void OnWithdraw(const std::string& id);

  /// A connection to the backend server was refused: nothing listens there.
  void OnConnectionRefused(TimePoint now);

  /// Returns the backend server if one is there; it may be leaving.
  std::optional<LocalBackend> Current(TimePoint now) const;

 private:
  bool IsValidReport(const BackendReport& report) const;

  const std::string m_address;
  const Duration m_timeout;
  LocalBackend m_backend;
  Duration m_born;
  uint64_t m_sequence = 0;
  bool m_leaving = false;
  TimePoint m_last_heard;
  TimePoint m_cold_until;
  bool m_refused = false;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_DECISIONS_MESH_BACKEND_PRESENCE_H_
