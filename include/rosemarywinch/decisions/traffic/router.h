#ifndef ROSEMARYWINCH_DECISIONS_TRAFFIC_ROUTER_H_
#define ROSEMARYWINCH_DECISIONS_TRAFFIC_ROUTER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "rosemarywinch/core/time.h"
#include "rosemarywinch/interfaces/random.h"
#include "rosemarywinch/schema/members.h"

namespace rosemarywinch {

/// Outcome of a call to a member, as seen by the calling node.
enum class CallResult {
  /// The member responded.
  kAnswered,
  /// The member refused the call because it is overloaded.
  kRefused,
  /// The member could not be reached or did not respond.
  kFailed,
  /// The member's data centre is evacuated. Says nothing about the member.
  kEvacuated,
};

/// Load that a member reports with a response.
struct LoadReport {
  uint32_t in_flight = 0;
  uint32_t waiting = 0;
};

/// Balances the calls of this node over the members of one service. Not
/// thread-safe.
class Router {
 public:
  explicit Router(std::string data_centre)
      : m_data_centre(std::move(data_centre)) {}

  /// Applies an update of the member list from control.
  void Apply(TimePoint now, const ServiceUpdate& update);

  /// Excludes the members of these data centres from now on, and no others.
  void SetEvacuated(const std::set<std::string>& data_centres);

  /// Chooses a member that is not in `excluded` and counts a call to it: the
  /// least loaded of a few random candidates. Members of the local data centre
  /// are preferred unless they are far busier than the others.
  /// Complexity: linear in the number of members.
  std::optional<Member> Choose(TimePoint now,
                               const std::set<std::string>& excluded,
                               Random& random);

  /// Counts a call to the given member, for requests that are bound to one, for
  /// example by their request id. Returns nothing when the member is unknown.
  std::optional<Member> ChooseBound(const std::string& node);

  /// Ends a call and records its outcome and the load that the member reported.
  void Finish(TimePoint now,
              const std::string& node,
              CallResult result,
              Duration took,
              std::optional<LoadReport> load = std::nullopt);

  uint64_t revision() const { return m_revision; }
  size_t size() const { return m_members.size(); }

 private:
  struct Record {
    Member member;
    TimePoint first_seen;
    uint32_t in_flight = 0;
    double mean_ms = 0;
    uint32_t failures = 0;
    double refusal_rate = 0;
    double failure_rate = 0;
    TimePoint ejected_until;
    /// Last load that the member reported, and the calls started here since.
    std::optional<LoadReport> load;
    uint32_t calls_since_report = 0;
    TimePoint reported_at;
  };

  bool HasSpareCapacity(TimePoint now, const Record& record) const;
  double UsableSlots(TimePoint now, const Record& record) const;

  static bool IsAvailable(const Record& record);
  bool IsInUse(TimePoint now, const std::string& data_centre) const;
  double Load(TimePoint now, const Record& record) const;
  std::vector<Record*> Candidates(TimePoint now,
                                  const std::set<std::string>& excluded);
  void PreferLocalDataCentre(TimePoint now,
                             std::vector<Record*>& candidates) const;
  void EjectIfFailing(TimePoint now, Record& record);

  const std::string m_data_centre;
  uint64_t m_revision = 0;
  std::map<std::string, Record> m_members;
  std::set<std::string> m_evacuated;
  /// Data centres whose members refused calls as evacuated, before this node
  /// has learnt of it, and when they are tried again.
  std::map<std::string, TimePoint> m_refusing;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_DECISIONS_TRAFFIC_ROUTER_H_
