#ifndef ROSEMARYWINCH_BENCH_FIXTURES_H_
#define ROSEMARYWINCH_BENCH_FIXTURES_H_

#include <string>

#include "rosemarywinch/decisions/control/allowance_allocator.h"
#include "rosemarywinch/decisions/control/membership_directory.h"
#include "rosemarywinch/decisions/fleet/fleet_store.h"
#include "rosemarywinch/schema/consensus.h"

namespace rosemarywinch::bench {

inline constexpr Duration kLease{3000};
inline constexpr TimePoint kAfterStartup{100'000};

/// Makes a tree with `routes` routes and as many client accounts and keys.
inline FleetState MakeTree(int routes) {
  FleetState state;
  for (int i = 0; i < routes; ++i) {
    const std::string number = std::to_string(i);
    PolicySettings& route =
        state.tree["/s" + std::to_string(i % 110) + "/r" + number];
    route.path_prefix = "/r" + number;
    state.tree["/@a" + number].rate = 10;
    state.keys[number] = {"a" + number, std::string(64, 'h')};
  }
  return state;
}

inline FleetCommand MakeChange(const FleetState& state, uint64_t number) {
  FleetCommand command;
  command.operation_id = std::to_string(number);
  command.change =
      ChangeTree{state.version,
                 {{"/s1/r1", "retries", std::to_string(number % 10), false}}};
  return command;
}

/// Makes a directory of `members` nodes, 13 per service.
inline MembershipDirectory MakeDirectory(int members) {
  constexpr int kNodesPerService = 13;
  MembershipDirectory directory(kLease);
  directory.Reset(TimePoint{0}, 1);
  for (int i = 0; i < members; ++i) {
    directory.OnPoll(
        kAfterStartup,
        {"node" + std::to_string(i), "10.0.0.1:8000", "dc1",
         "s" + std::to_string(i / kNodesPerService), BackendState::kReady, 100},
        false);
  }
  return directory;
}

}  // namespace rosemarywinch::bench

#endif  // ROSEMARYWINCH_BENCH_FIXTURES_H_
