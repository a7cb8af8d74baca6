#define BOOST_TEST_MODULE control
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <filesystem>
#include <thread>

#include "support/fleet.h"

namespace rosemarywinch {
namespace {

using test::Fleet;
using test::WaitUntil;
using Milliseconds = std::chrono::milliseconds;

// Upper bound of the time until a change is in force: the sum of a poll
// interval, the lease with its clock drift, an election and the transfer of the
// response.
constexpr Milliseconds kInForceBound{11'000};

bool SetRetries(Fleet& fleet, const std::string& value) {
  return fleet.RetryOperatorCommand({"tree", "set", "/", "retries", value});
}

uint64_t VersionOf(Fleet& fleet) {
  const uint32_t leader = fleet.Leader();
  return leader == 0 ? 0 : fleet.StatusOf(leader).value("version", 0ul);
}

std::string TreeOf(Fleet& fleet) {
  return fleet.RunOperatorCommand({"tree", "get", "/"}).output;
}

BOOST_AUTO_TEST_CASE(changes_survive_sigkill_of_successive_leaders) {
  Fleet fleet;
  BOOST_REQUIRE(SetRetries(fleet, "1"));
  uint64_t version = VersionOf(fleet);
  for (int round = 0; round < 3; ++round) {
    const uint32_t leader = fleet.Leader();
    BOOST_REQUIRE_NE(leader, 0u);
    // The command is in flight when its leader is killed; the operator's
    // program sends it again with the same operation id.
    Fleet::ProcessResult result;
    std::thread change([&] {
      result = fleet.RunOperatorCommand(
          {"tree", "set", "/s" + std::to_string(round), "retries", "3"});
    });
    test::Pause(Milliseconds(20 * round));
    fleet.controls.at(leader).Signal(SIGKILL);
    change.join();
    BOOST_TEST(result.output.find("in force everywhere") != std::string::npos);
    fleet.StartControl(leader);
    BOOST_REQUIRE(fleet.WaitForLeader());
    BOOST_TEST(VersionOf(fleet) == ++version);
  }
  const std::string history =
      fleet.RunOperatorCommand({"tree", "history"}).output;
  for (int round = 0; round < 3; ++round) {
    const std::string line = "/s" + std::to_string(round) + " retries = 3";
    const size_t first = history.find(line);
    BOOST_TEST(first != std::string::npos);
    BOOST_TEST(history.find(line, first + 1) == std::string::npos);
  }
}

BOOST_AUTO_TEST_CASE(lost_disks_are_repaired_one_after_another) {
  Fleet fleet;
  BOOST_REQUIRE(SetRetries(fleet, "5"));
  const std::string cluster = fleet.StatusOf(fleet.Leader())["cluster"];
  const auto lose = [&](uint32_t id) {
    fleet.controls.at(id).Signal(SIGKILL);
    fleet.controls.erase(id);
    std::filesystem::remove_all(fleet.DataFolder(id));
    fleet.StartControl(id);
  };
  const auto repaired = [&](uint32_t id) {
    return WaitUntil([&] {
      const Json status = fleet.StatusOf(id);
      return status.value("voter", false) && status.value("voters", 0) == 3;
    });
  };
  lose(1);
  BOOST_REQUIRE(repaired(1));
  lose(2);
  BOOST_REQUIRE(repaired(2));
  lose(3);
  BOOST_REQUIRE(repaired(3));
  BOOST_REQUIRE(fleet.WaitForLeader());
  BOOST_TEST(fleet.StatusOf(fleet.Leader())["cluster"] == cluster);
  BOOST_TEST(TreeOf(fleet).find("retries = 5") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(truncated_log_is_rejected_and_replaced) {
  Fleet fleet;
  BOOST_REQUIRE(SetRetries(fleet, "5"));
  const uint32_t victim = fleet.Leader() % 3 + 1;
  // The replica must have stored the change before its log is truncated.
  BOOST_REQUIRE(WaitUntil([&] {
    return fleet.StatusOf(victim).value("version", 0ul) == VersionOf(fleet);
  }));
  fleet.controls.at(victim).Signal(SIGKILL);
  fleet.controls.erase(victim);
  const std::string log = fleet.DataFolder(victim) + "/log";
  std::filesystem::resize_file(log, std::filesystem::file_size(log) - 7);
  fleet.StartControl(victim);
  BOOST_TEST(fleet.controls.at(victim).Wait() == 69);
  BOOST_TEST(fleet.controls.at(victim).Log().find("E403") != std::string::npos);
  std::filesystem::remove_all(fleet.DataFolder(victim));
  fleet.StartControl(victim);
  BOOST_TEST(
      WaitUntil([&] { return fleet.StatusOf(victim).value("voter", false); }));
}

BOOST_AUTO_TEST_CASE(resumed_leader_serves_no_stale_state) {
  Fleet fleet;
  BOOST_REQUIRE(SetRetries(fleet, "1"));
  const uint32_t old = fleet.Leader();
  fleet.controls.at(old).Signal(SIGSTOP);
  BOOST_REQUIRE(
      fleet.RetryOperatorCommand({"tree", "set", "/", "retries", "2"}));
  const uint64_t version = VersionOf(fleet);
  fleet.controls.at(old).Signal(SIGCONT);
  // From its first response on, it must not claim to lead with the old state.
  for (int i = 0; i < 20; ++i) {
    const Json status = fleet.StatusOf(old);
    const bool leads = status.value("leader", false);
    BOOST_TEST((!leads || status.value("version", 0ul) >= version));
  }
  BOOST_TEST(WaitUntil(
      [&] { return fleet.StatusOf(old).value("version", 0ul) == version; }));
}

BOOST_AUTO_TEST_CASE(conflicting_change_is_rejected_and_resend_is_idempotent) {
  Fleet fleet;
  BOOST_REQUIRE(SetRetries(fleet, "1"));
  const std::string version = std::to_string(VersionOf(fleet));
  Fleet::ProcessResult ann;
  Fleet::ProcessResult bob;
  const auto change = [&](const std::string& who, const std::string& value) {
    return fleet.RunOperatorCommand({"tree", "set", "/", "retries", value,
                                     "--author", who, "--expected-version",
                                     version, "--operation-id", who});
  };
  std::thread first([&] { ann = change("ann", "3"); });
  first.join();
  bob = change("bob", "4");
  BOOST_TEST(ann.code == 0);
  BOOST_TEST(bob.code == 1);
  BOOST_TEST(bob.output.find("E302") != std::string::npos);
  BOOST_TEST(bob.output.find("by ann: / retries = 3") != std::string::npos);
  // A resend after a lost response returns the first result, even through a new
  // leader.
  fleet.controls.at(fleet.Leader()).Signal(SIGKILL);
  const Fleet::ProcessResult again = change("ann", "3");
  BOOST_TEST(again.output == ann.output);
}

BOOST_AUTO_TEST_CASE(state_survives_restart_of_all_replicas) {
  Fleet fleet;
  BOOST_REQUIRE(fleet.WaitForLeader());
  const std::string batch = fleet.folder.At("batch");
  BOOST_REQUIRE(SetRetries(fleet, "1"));
  HttpRequest request;
  request.method = "POST";
  request.path = "/rpc";
  const std::string address =
      "127.0.0.1:" + std::to_string(fleet.ControlPort(fleet.Leader()));
  for (int i = 1; i <= 600; ++i) {
    request.body =
        R"({"id":1,"method":"operator.command","params":{"protocol_version":2,)"
        R"("wait":0,"command":{"operation_id":"n)" +
        std::to_string(i) + R"(","change_tree":{"expected_version":)" +
        std::to_string(i) + R"(,"edits":[{"path":"/s)" + std::to_string(i % 9) +
        R"(","field":"retries","value":")" + std::to_string(i % 10) +
        R"("}]}}}})";
    fleet.Send(address, request);
  }
  const uint64_t version = VersionOf(fleet);
  BOOST_TEST(version == 601u);
  for (auto& [id, control] : fleet.controls) {
    control.Signal(SIGKILL);
  }
  for (uint32_t id : {1u, 2u, 3u}) {
    fleet.StartControl(id);
  }
  BOOST_REQUIRE(fleet.WaitForLeader());
  BOOST_TEST(VersionOf(fleet) == version);
  const Json status = fleet.StatusOf(fleet.Leader());
  // Snapshots bound the part of the log that a restart must read.
  BOOST_TEST(status["last_index"].get<uint64_t>() -
                 status["snapshot_index"].get<uint64_t>() <=
             300u);
}

// Two nodes, one of which reaches control through relays that can simulate a
// network partition.
struct PartitionedNodeFixture {
  PartitionedNodeFixture() {
    std::string list;
    for (uint32_t id : {1u, 2u, 3u}) {
      relays.push_back(std::make_unique<test::Relay>(fleet.ControlPort(id)));
      list += (list.empty() ? "" : ",") + std::to_string(id) + "=" +
              relays.back()->Address();
    }
    connected = fleet.StartNode();
    relayed = fleet.StartNode({}, list);
    fleet.StartBackend(connected, "shop");
    fleet.StartBackend(relayed, "shop");
    BOOST_REQUIRE(fleet.RetryOperatorCommand(
        {"tree", "set", "/shop/list", "path_prefix", "/list", "/shop/front",
         "path_prefix", "/front", "/shop/front", "access", "open"}));
    BOOST_REQUIRE(fleet.WaitForNodes());
    BOOST_REQUIRE(WaitUntil([&] { return fleet.ReadyMembers() == 2; }));
    key = fleet.GiveKey("acme");
  }

  void SetPartitioned(bool partitioned) {
    for (auto& relay : relays) {
      relay->SetPartitioned(partitioned);
    }
  }

  Fleet fleet;
  std::vector<std::unique_ptr<test::Relay>> relays;
  size_t connected = 0;
  size_t relayed = 0;
  std::string key;
};

BOOST_FIXTURE_TEST_CASE(withdrawn_key_is_rejected_once_in_force,
                        PartitionedNodeFixture) {
  BOOST_TEST(fleet.Get(connected, "/shop/list", key).status == 200);
  BOOST_TEST(fleet.Get(relayed, "/shop/list", key).status == 200);
  SetPartitioned(true);
  const auto start = std::chrono::steady_clock::now();
  const auto withdrawn =
      fleet.RunOperatorCommand({"key", "withdraw", key.substr(4, 16)});
  const auto took = std::chrono::steady_clock::now() - start;
  BOOST_TEST(withdrawn.output.find("in force everywhere") != std::string::npos);
  BOOST_TEST((took < kInForceBound));
  // The partitioned node, which could not learn of it, no longer serves closed
  // routes.
  BOOST_TEST(fleet.Get(connected, "/shop/list", key).status == 401);
  BOOST_TEST(fleet.Get(relayed, "/shop/list", key).status == 503);
  BOOST_TEST(fleet.Get(relayed, "/shop/front", "").status == 200);
  SetPartitioned(false);
  BOOST_TEST(WaitUntil(
      [&] { return fleet.Get(relayed, "/shop/list", key).status == 401; }));
}

BOOST_FIXTURE_TEST_CASE(node_version_never_decreases, PartitionedNodeFixture) {
  const auto version_at = [&](size_t node) {
    HttpRequest request;
    request.path = "/rosemarywinch/status";
    const Json json = Json::parse(
        Fleet::ResponseOf(
            fleet.Send(fleet.AddressOf(node, "local_port"), request))
            .body,
        nullptr, false);
    return json.is_object() ? json.value("config_version", 0ul) : 0ul;
  };
  uint64_t seen = version_at(connected);
  for (int round = 0; round < 4; ++round) {
    const uint32_t leader = fleet.Leader();
    fleet.controls.at(leader).Signal(round % 2 == 0 ? SIGKILL : SIGSTOP);
    BOOST_REQUIRE(SetRetries(fleet, std::to_string(round)));
    const uint64_t now = version_at(connected);
    BOOST_TEST(now > seen);
    seen = now;
    if (round % 2 == 0) {
      fleet.StartControl(leader);
    } else {
      fleet.controls.at(leader).Signal(SIGCONT);
    }
    BOOST_REQUIRE(fleet.WaitForLeader());
    for (int i = 0; i < 10; ++i) {
      BOOST_TEST(version_at(connected) >= seen);
    }
  }
}

}  // namespace
}  // namespace rosemarywinch
