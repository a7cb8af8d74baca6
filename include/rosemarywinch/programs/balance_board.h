#ifndef ROSEMARYWINCH_PROGRAMS_BALANCE_BOARD_H_
#define ROSEMARYWINCH_PROGRAMS_BALANCE_BOARD_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "rosemarywinch/core/sharded.h"
#include "rosemarywinch/decisions/control/service_balancer.h"
#include "rosemarywinch/schema/control.h"

namespace rosemarywinch {

/// The leader's balances of all services, rebuilt from polls in each term.
/// Thread-safe: services are kept in shards, each under its own lock.
class BalanceBoard {
 public:
  /// Starts a term with weights of 1; 0 on a replica that does not lead.
  void Reset(TimePoint now, uint64_t term);

  /// Applies the load in a poll, and adds the balances to the response that
  /// are newer than the node's. Calls are kept out of the data centres in
  /// `evacuated`. A load with invalid numbers is ignored and logged once.
  void OnPoll(TimePoint now,
              const std::vector<std::string>& evacuated,
              const PollRequest& request,
              PollResponse& response);

  /// Returns weight and utilization of each member, in the Prometheus text
  /// format.
  std::string MetricsText();

 private:
  struct Shard {
    uint64_t term = 0;
    TimePoint since;
    std::map<std::string, ServiceBalancer> services;
    /// Nodes whose last report was invalid.
    std::set<std::string> invalid_nodes;
  };

  void OnLoad(TimePoint now,
              const std::vector<std::string>& evacuated,
              const PollRequest& request);
  static bool IsValid(Shard& shard, const PollRequest& request);
  static void LogChanges(const std::string& service, ServiceBalancer& balancer);

  Sharded<Shard> m_shards;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_PROGRAMS_BALANCE_BOARD_H_
