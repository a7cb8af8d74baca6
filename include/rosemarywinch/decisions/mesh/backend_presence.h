#ifndef ROSEMARYWINCH_DECISIONS_MESH_BACKEND_PRESENCE_H_
#define ROSEMARYWINCH_DECISIONS_MESH_BACKEND_PRESENCE_H_

#include <optional>
#include <string>
#include <vector>

#include "rosemarywinch/core/time.h"
#include "rosemarywinch/decisions/mesh/departure_tracker.h"
#include "rosemarywinch/schema/fleet.h"
#include "rosemarywinch/schema/members.h"
#include "rosemarywinch/schema/mesh.h"

namespace rosemarywinch {

/// State of the local backend server as known to its node.
struct LocalBackend {
  std::string id;
  std::string service;
  BackendState state = BackendState::kReady;
  uint32_t slots = 0;
  /// Calls per second that it bears while it is cold; 0 means no limit.
  double cold_rate = 0;
};

/// Result of handling a report.
enum class ReportOutcome {
  kAccepted,
  /// From an earlier incarnation of the backend server, or not newer than a
  /// report that was accepted.
  kStale,
  /// A field is missing or invalid, or the address or the service is not that
  /// of the local backend server. Changes nothing.
  kInvalid,
};

/// Returns the departure that a valid report states, if its backend server is
/// leaving.
std::optional<Departure> DepartureIn(const std::string& id,
                                     const BackendReport& report);

/// Tracks the state of the one backend server beside this node from its
/// reports. Not thread-safe: the caller serialises all calls.
///
/// An incarnation is identified by an id and a start time. Leaving is final for
/// an incarnation, so that a delayed report cannot direct new requests to it.
/// This holds across restarts of the node: no backend server counts as present
/// until the departures known to earlier processes were restored from control.
class BackendPresence {
 public:
  /// `address` is where the local backend server listens, and `service` what it
  /// belongs to; reports with another address or service are invalid. An empty
  /// `service` stands for any. Without a report for `timeout`, the backend
  /// server counts as absent.
  BackendPresence(std::string address,
                  Duration timeout,
                  std::string service = "")
      : m_address(std::move(address)),
        m_service(std::move(service)),
        m_timeout(timeout) {}

  /// Sets for how long an incarnation that is new, or was unreachable, counts
  /// as cold if its report does not say so; 0 by default.
  void SetColdStart(Duration cold_start) { m_cold_start = cold_start; }

  /// `unix_now` is the time of day; a report of a backend server that is yet to
  /// start is invalid.
  ReportOutcome OnReport(TimePoint now,
                         Duration unix_now,
                         const std::string& id,
                         const BackendReport& report);

  /// Handles the notice of an incarnation that it is shutting down. Without
  /// `born`, the current one is meant if it has this id, otherwise all that
  /// have started until now. Returns the departure, which may be acknowledged
  /// once it is stored; nothing if no incarnation is named: `id` is empty, or
  /// `born` is in the future.
  std::optional<Departure> OnWithdraw(Duration unix_now,
                                      const std::string& id,
                                      std::optional<Duration> born);

  /// Takes over the departures that control has stored for this node.
  void OnDeparturesStored(const std::vector<Departure>& stored) {
    m_departures.OnStored(stored);
  }

  const DepartureTracker& departures() const { return m_departures; }

  /// Handles the proof that the incarnation was gone at `seen`: a refused
  /// connection, or the answer that another one listens at its address. Without
  /// a report since, it is absent until the next one.
  void OnGone(TimePoint seen);

  /// Returns the backend server if it is present; it may be leaving.
  std::optional<LocalBackend> Current(TimePoint now) const;

 private:
  bool IsValidReport(Duration unix_now, const BackendReport& report) const;

  const std::string m_address;
  const std::string m_service;
  const Duration m_timeout;
  Duration m_cold_start;
  LocalBackend m_backend;
  Duration m_born;
  uint64_t m_sequence = 0;
  DepartureTracker m_departures;
  TimePoint m_last_heard;
  TimePoint m_cold_until;
  bool m_gone = false;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_DECISIONS_MESH_BACKEND_PRESENCE_H_
