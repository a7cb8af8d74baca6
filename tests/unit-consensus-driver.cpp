#define BOOST_TEST_MODULE consensus_driver
#include <boost/test/unit_test.hpp>

#include <atomic>
#include <chrono>
#include <thread>

#include "rosemarywinch/adapters/system.h"
#include "rosemarywinch/programs/consensus_driver.h"
#include "support/fakes.h"
#include "support/process.h"

namespace rosemarywinch {
namespace {

using trompeloeil::_;

class CountingListener : public ConsensusListener {
 public:
  void OnLeader(TimePoint, uint64_t, const FleetState&) override {
    ++leader_changes;
    leader_changes.notify_all();
  }
  void OnFollower(TimePoint) override {}
  void OnApplied(TimePoint, const FleetState& state) override {
    applied = state.version;
  }

  std::atomic<int> leader_changes = 0;
  std::atomic<uint64_t> applied = 0;
};

FleetCommand Command(const std::string& id) {
  FleetCommand command;
  command.operation_id = id;
  command.change = ChangeTree{0, {{"/", "retries", "1", false}}};
  return command;
}

BOOST_AUTO_TEST_CASE(entry_is_synced_before_it_is_applied) {
  test::MockStorage storage;
  test::MockTransport transport;
  CountingListener listener;
  SystemClock clock;
  SystemRandom random;
  trompeloeil::sequence order;
  ALLOW_CALL(storage, Recover()).RETURN(RecoveredState{});
  ALLOW_CALL(storage, SaveHardState(_)).RETURN(Done{});
  ALLOW_CALL(storage, Append(_))
      .WITH(std::holds_alternative<VoterChange>(_1.front().payload) ||
            std::holds_alternative<Noop>(_1.front().payload))
      .RETURN(Done{});
  uint64_t applied_before_sync = 99;
  ConsensusDriver::Options options;
  options.replica.replica_id = 1;
  options.replica.replica_ids = {1};
  options.replica.heartbeat = {20};
  ConsensusDriver driver(options, clock, random, storage, transport, listener);
  REQUIRE_CALL(storage, Append(_))
      .WITH(std::holds_alternative<FleetCommand>(_1.front().payload))
      .LR_SIDE_EFFECT(applied_before_sync = listener.applied)
      .RETURN(Done{});
  BOOST_REQUIRE(driver.Start());
  Outcome<CommandResult> outcome = Error{};
  listener.leader_changes.wait(0);
  outcome = Capture([&] { return driver.Submit(Command("a"), {5000}); });
  BOOST_REQUIRE(std::holds_alternative<CommandResult>(outcome));
  BOOST_TEST(std::get<CommandResult>(outcome).version == 1u);
  BOOST_TEST(applied_before_sync == 0u);
  BOOST_TEST(listener.applied == 1u);
  BOOST_TEST(listener.leader_changes == 1);
  driver.Stop();
}

BOOST_AUTO_TEST_CASE(replica_does_not_serve_while_its_disk_is_full) {
  test::MockStorage storage;
  test::MockTransport transport;
  CountingListener listener;
  SystemClock clock;
  SystemRandom random;
  std::atomic<bool> full = false;
  std::atomic<int> recovered = 0;
  ALLOW_CALL(storage, Recover())
      .LR_SIDE_EFFECT(++recovered)
      .RETURN(RecoveredState{});
  ALLOW_CALL(storage, SaveHardState(_)).RETURN(Done{});
  ALLOW_CALL(storage, Append(_))
      .LR_RETURN(full ? Result<Done>(Fail(ErrorId::kDiskFailed, "full"))
                      : Result<Done>(Done{}));
  ConsensusDriver::Options options;
  options.replica.replica_id = 1;
  options.replica.replica_ids = {1};
  options.replica.heartbeat = {20};
  ConsensusDriver driver(options, clock, random, storage, transport, listener);
  BOOST_REQUIRE(driver.Start());
  // OnLeader() comes before the new leader's first entry is written. The disk
  // must fill up after that entry, so that the command's own write fails.
  while (std::holds_alternative<Error>(
      Capture([&] { return driver.ReadAsLeader(); }))) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  full = true;
  const auto refused =
      Capture([&] { return driver.Submit(Command("a"), {2000}); });
  BOOST_TEST((std::get<Error>(refused).id == ErrorId::kNotAccepted));
  BOOST_TEST(std::holds_alternative<Error>(
      Capture([&] { return driver.ReadAsLeader(); })));
  full = false;
  Outcome<CommandResult> accepted = Error{};
  for (int i = 0; i < 200 && std::holds_alternative<Error>(accepted); ++i) {
    listener.leader_changes.wait(1);
    accepted = Capture([&] { return driver.Submit(Command("a"), {2000}); });
  }
  BOOST_TEST(std::holds_alternative<CommandResult>(accepted));
  BOOST_TEST(recovered > 1);
  driver.Stop();
}

// Failure: a replica that reloaded its disk after a failed write forgot the
// replicas that the settings had named since its start, and never joined.
BOOST_AUTO_TEST_CASE(known_replicas_outlive_a_failed_write) {
  test::MockStorage storage;
  test::MockTransport transport;
  CountingListener listener;
  SystemClock clock;
  SystemRandom random;
  std::atomic<bool> full = false;
  std::atomic<int> recovered = 0;
  std::atomic<int> asked = 0;
  ALLOW_CALL(storage, Recover())
      .LR_SIDE_EFFECT(++recovered)
      .RETURN(RecoveredState{});
  ALLOW_CALL(storage, SaveHardState(_))
      .LR_RETURN(full ? Result<Done>(Fail(ErrorId::kDiskFailed, "full"))
                      : Result<Done>(Done{}));
  ALLOW_CALL(transport, Send(_));
  ALLOW_CALL(transport, Send(_))
      .WITH(_1.to_replica == 9 && std::holds_alternative<JoinRequest>(_1.body))
      .LR_SIDE_EFFECT(asked += recovered > 1 ? 1 : 0);
  ConsensusDriver::Options options;
  options.replica.replica_id = 4;
  options.replica.replica_ids = {1, 4};
  options.replica.may_bootstrap = false;
  options.replica.heartbeat = {20};
  ConsensusDriver driver(options, clock, random, storage, transport, listener);
  BOOST_REQUIRE(driver.Start());
  driver.AddKnownReplicas({9});
  full = true;
  PeerMessage message;
  message.to_replica = 4;
  message.term = 5;
  message.body = AppendRequest{};
  driver.Receive(message);
  full = false;
  BOOST_TEST(test::WaitUntil([&] { return recovered > 1; }));
  BOOST_TEST(test::WaitUntil([&] { return asked > 0; }));
  driver.Stop();
}

BOOST_AUTO_TEST_CASE(replica_without_quorum_rejects_commands) {
  test::MockStorage storage;
  test::MockTransport transport;
  CountingListener listener;
  SystemClock clock;
  SystemRandom random;
  ALLOW_CALL(storage, Recover()).RETURN(RecoveredState{});
  ALLOW_CALL(storage, SaveHardState(_)).RETURN(Done{});
  ALLOW_CALL(transport, Send(_));
  ConsensusDriver::Options options;
  options.replica.replica_id = 1;
  options.replica.replica_ids = {1, 2, 3};
  ConsensusDriver driver(options, clock, random, storage, transport, listener);
  BOOST_REQUIRE(driver.Start());
  const auto outcome =
      Capture([&] { return driver.Submit(Command("a"), {100}); });
  BOOST_TEST((std::get<Error>(outcome).id == ErrorId::kNotLeader));
  driver.Stop();
}

}  // namespace
}  // namespace rosemarywinch
