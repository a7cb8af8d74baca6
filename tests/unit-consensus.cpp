#define BOOST_TEST_MODULE consensus
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>

#include "rosemarywinch/decisions/consensus/replica.h"
#include "rosemarywinch/decisions/fleet/fleet_store.h"
#include "support/fakes.h"

namespace rosemarywinch {
namespace {

using consensus::Replica;

constexpr Duration kStep{10};

// Disk and process of one replica, driven by hand.
struct Host {
  RecoveredState disk;
  std::unique_ptr<Replica> replica;
  FleetState state;
  bool running = false;
};

// Replicas that exchange messages through a network which may delay, drop and
// cut. One seed gives one history.
class Group {
 public:
  using Adjust = std::function<void(uint32_t id, Replica::Options& options)>;

  Group(uint32_t size, uint64_t seed, Adjust adjust = {})
      : m_random(seed), m_adjust(std::move(adjust)) {
    for (uint32_t id = 1; id <= size; ++id) {
      m_ids.push_back(id);
    }
    for (uint32_t id : m_ids) {
      Start(id);
    }
  }

  void Start(uint32_t id) {
    Host& host = m_hosts[id];
    if (host.disk.hard.self.instance.empty()) {
      host.disk.hard.self = {id, m_random.Hex(4)};
    }
    Replica::Options options;
    options.replica_id = id;
    options.replica_ids = m_ids;
    if (m_adjust) {
      m_adjust(id, options);
    }
    host.replica = std::make_unique<Replica>(options, host.disk, m_random, now);
    host.state = {};
    host.running = true;
  }

  void Kill(uint32_t id) {
    m_hosts[id].running = false;
    m_hosts[id].replica.reset();
  }

  void LoseDisk(uint32_t id) {
    Kill(id);
    m_hosts[id].disk = {};
  }

  void Cut(uint32_t id) { m_cut.insert(id); }
  void Heal(uint32_t id) { m_cut.erase(id); }

  // Lets time pass; `tick` leaves out paused replicas.
  void Run(Duration length) {
    const TimePoint end = now + length;
    while (now < end) {
      now = now + kStep;
      Deliver();
      for (auto& [id, host] : m_hosts) {
        if (host.running && !paused.contains(id)) {
          CarryOut(id, host.replica->Tick(now));
        }
      }
      CheckOneServes();
    }
  }

  uint32_t Leader() {
    for (auto& [id, host] : m_hosts) {
      if (host.running && host.replica->MayServe(now)) {
        return id;
      }
    }
    return 0;
  }

  // Proposes a command; returns false when `id` may not serve.
  bool Propose(uint32_t id, const std::string& operation) {
    FleetCommand command;
    command.operation_id = operation;
    command.change = GiveKey{operation, operation, "hash"};
    consensus::Effects effects;
    const auto position =
        m_hosts[id].replica->Propose(now, std::move(command), effects);
    CarryOut(id, std::move(effects));
    return position.has_value();
  }

  bool Has(uint32_t id, const std::string& operation) {
    return m_hosts[id].state.keys.contains(operation);
  }

  Host& At(uint32_t id) { return m_hosts[id]; }

  TimePoint now{1'000'000};
  uint32_t loss_percent = 0;
  std::set<uint32_t> paused;

 private:
  struct Flight {
    TimePoint due;
    PeerMessage message;
  };

  void Deliver() {
    std::deque<Flight> later;
    std::deque<Flight> flights = std::move(m_flights);
    m_flights.clear();
    for (Flight& flight : flights) {
      const uint32_t to = flight.message.to_replica;
      if (flight.due > now || paused.contains(to)) {
        later.push_back(std::move(flight));
        continue;
      }
      Host& host = m_hosts[to];
      const bool cut =
          m_cut.contains(to) || m_cut.contains(flight.message.from.replica_id);
      if (host.running && !cut) {
        CarryOut(to, host.replica->Receive(now, flight.message));
      }
    }
    m_flights.insert(m_flights.begin(), later.begin(), later.end());
  }

  void CarryOut(uint32_t id, consensus::Effects effects) {
    Host& host = m_hosts[id];
    for (const auto& effect : effects) {
      std::visit(
          Overloaded{
              [&](const consensus::SaveHardState& e) {
                host.disk.hard = e.state;
              },
              [&](const consensus::AppendEntries& e) {
                host.disk.entries.insert(host.disk.entries.end(),
                                         e.entries.begin(), e.entries.end());
              },
              [&](const consensus::TruncateEntries& e) {
                std::erase_if(host.disk.entries, [&](const auto& entry) {
                  return entry.index >= e.from;
                });
              },
              [&](const consensus::SaveSnapshot& e) {
                host.disk.snapshot = e.snapshot;
                host.disk.entries = e.kept;
              },
              [&](const consensus::SendMessage& e) {
                if (m_random.Below(100) >= loss_percent) {
                  const auto delay = static_cast<int64_t>(m_random.Below(30));
                  m_flights.push_back({now + Duration{delay}, e.message});
                }
              },
              [&](const consensus::ApplyCommand& e) {
                ApplyCommand(host.state, e.command);
                CheckSameEntry(e.index, e.command);
              },
              [&](const consensus::RestoreState& e) { host.state = e.state; },
              [&](const consensus::RoleChanged&) {}},
          effect);
    }
  }

  // Two replicas never apply different commands at one index.
  void CheckSameEntry(uint64_t index, const FleetCommand& command) {
    const auto [entry, added] = m_applied.try_emplace(index, command);
    BOOST_REQUIRE(added || entry->second == command);
  }

  void CheckOneServes() {
    int serving = 0;
    for (auto& [id, host] : m_hosts) {
      serving += host.running && host.replica->MayServe(now) ? 1 : 0;
    }
    BOOST_REQUIRE_LE(serving, 1);
  }

  test::SeededRandom m_random;
  Adjust m_adjust;
  std::vector<uint32_t> m_ids;
  std::map<uint32_t, Host> m_hosts;
  std::set<uint32_t> m_cut;
  std::deque<Flight> m_flights;
  std::map<uint64_t, FleetCommand> m_applied;
};

size_t VotersOf(Group& group, uint32_t id) {
  return group.At(id).replica->log().Voters().size();
}

BOOST_AUTO_TEST_CASE(empty_folders_make_one_cluster_of_all) {
  Group group(3, 1);
  group.Run({5000});
  const uint32_t leader = group.Leader();
  BOOST_REQUIRE_NE(leader, 0u);
  BOOST_TEST(VotersOf(group, leader) == 3u);
  for (uint32_t id : {1u, 2u, 3u}) {
    BOOST_TEST(group.At(id).replica->IsVoter());
  }
}

BOOST_AUTO_TEST_CASE(a_lost_disk_rejoins_as_a_new_member_and_survives_more) {
  Group group(3, 2);
  group.Run({5000});
  BOOST_REQUIRE(group.Propose(group.Leader(), "before"));
  group.Run({500});
  const uint32_t lost = group.Leader() == 1 ? 2 : 1;
  const std::string old_instance = group.At(lost).disk.hard.self.instance;
  group.LoseDisk(lost);
  group.Run({200});
  group.Start(lost);
  BOOST_TEST(!group.At(lost).replica->IsVoter());
  group.Run({5000});
  BOOST_TEST(group.At(lost).replica->IsVoter());
  BOOST_TEST(group.At(lost).disk.hard.self.instance != old_instance);
  // A second host goes right after the repair.
  const uint32_t second = 6 - lost - group.Leader();
  group.LoseDisk(second);
  group.Run({5000});
  BOOST_REQUIRE_NE(group.Leader(), 0u);
  BOOST_REQUIRE(group.Propose(group.Leader(), "after"));
  group.Run({500});
  BOOST_TEST(group.Has(lost, "before"));
  BOOST_TEST(group.Has(lost, "after"));
}

BOOST_AUTO_TEST_CASE(replicas_with_lost_disks_never_elect_a_leader) {
  Group group(3, 3);
  group.Run({5000});
  group.Propose(group.Leader(), "kept");
  group.Run({500});
  const uint32_t keeper = group.Leader();
  for (uint32_t id : {1u, 2u, 3u}) {
    if (id != keeper) {
      group.LoseDisk(id);
    }
  }
  group.Kill(keeper);
  for (uint32_t id : {1u, 2u, 3u}) {
    if (id != keeper) {
      group.Start(id);
    }
  }
  group.Run({20'000});
  BOOST_TEST(group.Leader() == 0u);
  // With the survivor back there is still no quorum of those who remember.
  group.Start(keeper);
  group.Run({20'000});
  BOOST_TEST(group.Leader() == 0u);
}

BOOST_AUTO_TEST_CASE(an_isolated_leader_stops_before_another_serves) {
  Group group(3, 4);
  group.Run({5000});
  const uint32_t old = group.Leader();
  group.Cut(old);
  group.Run({900});
  BOOST_TEST(!group.At(old).replica->MayServe(group.now));
  BOOST_TEST(!group.Propose(old, "lost"));
  group.Run({5000});
  BOOST_TEST(group.Leader() != 0u);
  BOOST_TEST(group.Leader() != old);
  group.Heal(old);
  group.Run({3000});
  BOOST_TEST(group.At(old).replica->term() ==
             group.At(group.Leader()).replica->term());
}

BOOST_AUTO_TEST_CASE(a_paused_leader_does_not_serve_when_it_wakes) {
  Group group(3, 5);
  group.Run({5000});
  const uint32_t old = group.Leader();
  group.paused.insert(old);
  group.Run({4000});
  const uint32_t next = group.Leader();
  BOOST_REQUIRE_NE(next, 0u);
  BOOST_REQUIRE_NE(next, old);
  BOOST_TEST(!group.Propose(old, "stale"));
  group.paused.clear();
  group.Run({2000});
  BOOST_TEST(group.Leader() == next);
}

BOOST_AUTO_TEST_CASE(a_snapshot_bounds_the_log_and_brings_up_a_straggler) {
  Group group(3, 6);
  group.Run({5000});
  const uint32_t leader = group.Leader();
  const uint32_t straggler = leader == 3 ? 2 : 3;
  group.Kill(straggler);
  for (int i = 0; i < 300; ++i) {
    BOOST_REQUIRE(group.Propose(leader, "op" + std::to_string(i)));
    group.Run(kStep);
  }
  group.Run({500});
  Host& host = group.At(leader);
  for (const auto& effect :
       host.replica->Compact(host.replica->commit_index(), host.state)) {
    if (const auto* save = std::get_if<consensus::SaveSnapshot>(&effect)) {
      host.disk.snapshot = save->snapshot;
      host.disk.entries = save->kept;
    }
  }
  BOOST_TEST(host.disk.entries.size() < 10u);
  group.Start(straggler);
  group.Run({2000});
  BOOST_TEST(group.Has(straggler, "op299"));
  BOOST_TEST(group.At(straggler).disk.entries.size() < 10u);
}

// Random faults; the checks are those of CheckSameEntry and CheckOneServes,
// and that no acknowledged command is ever missing.
BOOST_AUTO_TEST_CASE(committed_commands_survive_random_faults) {
  for (uint64_t seed = 100; seed < 140; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      Group group(3, seed);
      test::SeededRandom dice(seed);
      group.Run({5000});
      std::vector<std::string> acknowledged;
      group.loss_percent = 10;
      for (int round = 0; round < 30; ++round) {
        const uint32_t victim = 1 + static_cast<uint32_t>(dice.Below(3));
        const uint64_t fault = dice.Below(4);
        if (fault == 0) {
          group.Kill(victim);
        } else if (fault == 1) {
          group.Cut(victim);
        } else if (fault == 2) {
          group.paused.insert(victim);
        } else {
          group.LoseDisk(victim);
        }
        group.Run({static_cast<int64_t>(dice.Below(3000))});
        const std::string operation = "r" + std::to_string(round);
        const uint32_t leader = group.Leader();
        if (leader != 0 && group.Propose(leader, operation)) {
          group.Run({1000});
          if (group.At(leader).running && group.Has(leader, operation)) {
            acknowledged.push_back(operation);
          }
        }
        group.paused.clear();
        group.Heal(victim);
        if (!group.At(victim).running) {
          group.Start(victim);
        }
        group.Run({8000});
      }
      group.loss_percent = 0;
      group.Run({8000});
      const uint32_t leader = group.Leader();
      BOOST_REQUIRE_NE(leader, 0u);
      for (const std::string& operation : acknowledged) {
        BOOST_TEST(group.Has(leader, operation));
      }
      BOOST_TEST(acknowledged.size() > 10u);
    }
  }
}

// Three founders, at most three voters, and replicas that join later: those
// know one founder only, which need not lead.
Group::Adjust JoinersKnow(uint32_t founder) {
  return [founder](uint32_t id, Replica::Options& options) {
    options.max_voters = 3;
    options.may_found = id <= 3;
    if (id > 3) {
      options.replica_ids = {founder};
    }
  };
}

bool IsVoter(Group& group, uint32_t leader, uint32_t id) {
  const auto& voters = group.At(leader).replica->log().Voters();
  return std::any_of(
      voters.begin(), voters.end(),
      [&](const ReplicaRef& voter) { return voter.replica_id == id; });
}

BOOST_AUTO_TEST_CASE(a_joiner_finds_the_leader_through_any_founder) {
  for (uint32_t founder = 1; founder <= 3; ++founder) {
    Group group(3, 7 + founder, JoinersKnow(founder));
    group.Run({5000});
    BOOST_REQUIRE(group.Propose(group.Leader(), "a"));
    group.Run({500});
    group.Start(4);
    group.Run({3000});
    BOOST_TEST(group.Has(4, "a"));
    // There are voters enough: it stays a learner.
    BOOST_TEST(!IsVoter(group, group.Leader(), 4));
    BOOST_TEST(group.At(group.Leader()).replica->VoterCount() == 3u);
  }
}

BOOST_AUTO_TEST_CASE(a_learner_replaces_a_voter_that_is_lost_for_good) {
  Group group(3, 11, JoinersKnow(2));
  group.Run({5000});
  BOOST_REQUIRE(group.Propose(group.Leader(), "a"));
  group.Run({500});
  const uint32_t lost = group.Leader() == 3 ? 1 : 3;
  group.LoseDisk(lost);
  group.Start(4);
  group.Run({12'000});
  const uint32_t leader = group.Leader();
  BOOST_REQUIRE_NE(leader, 0u);
  BOOST_TEST(IsVoter(group, leader, 4));
  BOOST_TEST(!IsVoter(group, leader, lost));
  BOOST_TEST(group.At(leader).replica->VoterCount() == 3u);
  // Another founder may go now, and nothing is lost.
  group.LoseDisk(leader);
  group.Run({8000});
  BOOST_REQUIRE_NE(group.Leader(), 0u);
  BOOST_TEST(group.Has(group.Leader(), "a"));
}

BOOST_AUTO_TEST_CASE(a_replica_that_may_not_found_makes_no_cluster) {
  Group group(1, 5, [](uint32_t, Replica::Options& options) {
    options.may_found = false;
  });
  group.Run({10'000});
  BOOST_TEST(group.Leader() == 0u);
}

}  // namespace
}  // namespace rosemarywinch
