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
#include "rosemarywinch/schema/control.h"

namespace rosemarywinch {

/// What came of a call to a member, as its caller saw it.
enum class CallResult {
  /// The member answered.
  kAnswered,
  /// The member refused the call because it has too much to do.
  kRefused,
  /// The member could not be reached or did not answer.
  kFailed,
};

/// What a member said of its load with an answer.
struct LoadReport {
  uint32_t in_flight = 0;
  uint32_t waiting = 0;
};

/// Chooses members of one service from what this node sees of them. The
/// caller serialises all calls.
class Router {
 public:
  explicit Router(std::string data_centre)
      : m_data_centre(std::move(data_centre)) {}

  /// Takes over an update from control.
  void Apply(TimePoint now, const ServiceUpdate& update);

  /// Chooses a member that is not in `excluded` and counts a call to it.
  /// The least loaded of a few random choices wins; the own data centre comes
  /// first unless its members are far busier than the others.
  /// Complexity: linear in the members.
  std::optional<Member> Choose(TimePoint now,
                               const std::set<std::string>& excluded,
                               Random& random);

  /// Counts a call to a member that the caller must use, such as the one that
  /// a request id names. Returns nothing when it is gone.
  std::optional<Member> ChooseBound(const std::string& node);

  /// Ends a call.
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
    /// The member's own word of its load, and the calls begun here since.
    std::optional<LoadReport> load;
    uint32_t calls_since_report = 0;
    TimePoint reported_at;
  };

  bool HasSpareCapacity(TimePoint now, const Record& record) const;
  double UsableSlots(TimePoint now, const Record& record) const;

  static bool IsAvailable(const Record& record);
  double Load(TimePoint now, const Record& record) const;
  std::vector<Record*> Candidates(TimePoint now,
                                  const std::set<std::string>& excluded);
  void PreferLocalDataCentre(TimePoint now,
                             std::vector<Record*>& candidates) const;
  void EjectIfFailing(TimePoint now, Record& record);

  const std::string m_data_centre;
  uint64_t m_revision = 0;
  std::map<std::string, Record> m_members;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_DECISIONS_TRAFFIC_ROUTER_H_
