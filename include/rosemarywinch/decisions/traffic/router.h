#ifndef ROSEMARYWINCH_DECISIONS_TRAFFIC_ROUTER_H_
#define ROSEMARYWINCH_DECISIONS_TRAFFIC_ROUTER_H_

#include <boost/container/flat_map.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "rosemarywinch/core/time.h"
#include "rosemarywinch/interfaces/random.h"
#include "rosemarywinch/schema/balance.h"
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

/// Balances the calls of this node over the members of one service. Not
/// thread-safe.
///
/// Members take turns by stride scheduling (Waldspurger and Weihl, 1995): a
/// member's turn comes after an interval of 1 / share, from a random start, so
/// that nodes do not choose in step. The share is the weight from control times
/// the slots that the member can use, reduced by what this node has just seen:
/// its calls in flight, refusals and failures.
class Router {
 public:
  explicit Router(std::string data_centre)
      : m_data_centre(std::move(data_centre)) {}

  /// Applies an update of the member list from control.
  void Apply(TimePoint now, const ServiceUpdate& update);

  /// Excludes the members of these data centres from now on, and no others.
  void SetEvacuated(const std::set<std::string>& data_centres);

  /// Applies a balance from control if it is newer than the present one.
  void ApplyBalance(const ServiceBalance& balance);

  /// Records that control answered a poll. Without an answer for some seconds
  /// the balance fades, and calls leave the data centre by this node's own
  /// knowledge only.
  void OnControl(TimePoint now) { m_control_heard = now; }

  /// Chooses a member that is not in `excluded` and counts a call to it.
  /// Members of the local data centre are preferred unless control sends a
  /// fraction of its calls elsewhere, or most of them refuse or fail.
  /// Complexity: linear in the number of members.
  std::optional<Member> Choose(TimePoint now,
                               const std::set<std::string>& excluded,
                               Random& random);

  /// Counts a call to the given member, for requests that are bound to one, for
  /// example by their request id. Returns nothing when the member is unknown.
  std::optional<Member> ChooseBound(const std::string& node);

  /// Ends a call and records its outcome.
  void Finish(TimePoint now,
              const std::string& node,
              CallResult result,
              Duration took);

  uint64_t revision() const { return m_revision; }
  uint64_t balance_revision() const { return m_balance_revision; }
  size_t size() const { return m_members.size(); }

 private:
  struct Record {
    Member member;
    TimePoint first_seen;
    /// End of a cold period, after which the share grows.
    std::optional<TimePoint> warm_since;
    uint32_t in_flight = 0;
    /// From the balance.
    double weight = 1;
    /// Falls from 1 with refusals and failures, recovers with time and answers.
    double health = 1;
    TimePoint health_at;
    uint32_t failures = 0;
    /// Virtual time of the last turn, and when it was.
    std::optional<double> turn;
    TimePoint turned_at;
  };
  struct Candidate {
    Record* record = nullptr;
    double usable = 0;
    double health = 1;
    double share = 0;
  };
  /// Candidates of the local or of the other data centres.
  struct Group {
    std::vector<Candidate> candidates;
    /// Virtual time of the latest turn.
    double virtual_time = 0;
    /// Sums over the candidates.
    double usable = 0;
    double healthy = 0;
    double in_flight = 0;

    double HealthyFraction() const;
    double OwnUtilization() const;
  };

  static bool IsAvailable(const Record& record);
  bool IsInUse(TimePoint now, const std::string& data_centre) const;
  static double Health(TimePoint now, const Record& record);
  void CollectCandidates(TimePoint now, const std::set<std::string>& excluded);
  void SetShares(Group& group) const;
  Group& ChooseGroup(TimePoint now, Random& random);
  double Faded(TimePoint now, double value) const;
  double UsableSlots(TimePoint now, const Record& record) const;
  double ColdSlots(const Record& record) const;
  void SetWeights();

  const std::string m_data_centre;
  uint64_t m_revision = 0;
  boost::container::flat_map<std::string, Record> m_members;
  uint64_t m_balance_revision = 0;
  std::map<std::string, double> m_weights;
  std::map<std::string, DataCentreShare> m_shares;
  std::optional<TimePoint> m_control_heard;
  double m_mean_call_ms = 0;
  std::set<std::string> m_evacuated;
  /// Data centres whose members refused calls as evacuated, before this node
  /// has learnt of it, and when they are tried again.
  std::map<std::string, TimePoint> m_refusing;
  Group m_local;
  Group m_remote;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_DECISIONS_TRAFFIC_ROUTER_H_
