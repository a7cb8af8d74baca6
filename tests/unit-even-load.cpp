#define BOOST_TEST_MODULE even_load
#include <boost/test/unit_test.hpp>

#include <limits>

#include "rosemarywinch/programs/balance_board.h"
#include "support/fake_fleet.h"

namespace rosemarywinch {
namespace {

using test::FakeFleet;
using test::FleetOptions;

constexpr Duration kSettle{10'000};
constexpr Duration kWindow{20'000};
constexpr double kMaxRatio = 1.15;

FleetOptions Options(size_t callers, double utilization) {
  FleetOptions options;
  options.callers = callers;
  options.servers = callers < 24 ? 9 : 24;
  options.demand = {1.15, 1.0, 0.85};
  options.utilization = utilization;
  return options;
}

double RatioAfter(FakeFleet& fleet, Duration settle) {
  fleet.Run(settle);
  fleet.Measure();
  fleet.Run(kWindow);
  return fleet.BusiestOverMean();
}

// Guards against servers that are overloaded in turn, and against nodes that
// choose in step. The central queue knows the load of all servers at each call.
BOOST_AUTO_TEST_CASE(load_is_even_at_13_to_1400_callers) {
  for (const size_t callers : {13, 84, 184, 1'400}) {
    for (const double utilization : {0.3, 0.5, 0.65}) {
      FakeFleet fleet(Options(callers, utilization));
      const double ratio = RatioAfter(fleet, kSettle);
      FleetOptions options = Options(callers, utilization);
      options.central_queue = true;
      FakeFleet central(options);
      const double bound = RatioAfter(central, kSettle);
      BOOST_TEST_MESSAGE(callers << " callers, utilization " << utilization
                                 << ": " << ratio << ", central queue " << bound
                                 << ", mean wait " << fleet.MeanWait()
                                 << " ms, remote "
                                 << fleet.remote_calls / fleet.calls);
      BOOST_TEST(ratio <= kMaxRatio);
      BOOST_TEST(ratio <= bound + 0.08);
      BOOST_TEST(fleet.MeanWait() <= 10);
    }
  }
}

BOOST_AUTO_TEST_CASE(load_is_even_with_a_quarter_of_the_servers_slow) {
  for (const size_t callers : {13, 84, 184, 1'400}) {
    for (const double utilization : {0.25, 0.4, 0.52}) {
      FakeFleet fleet(Options(callers, utilization));
      for (size_t i = 0; i < fleet.servers.size(); i += 4) {
        fleet.servers[i].speed /= 4;
      }
      const double ratio = RatioAfter(fleet, kSettle);
      BOOST_TEST_MESSAGE(callers << " callers, a quarter slow, utilization "
                                 << utilization << ": " << ratio);
      BOOST_TEST(ratio <= kMaxRatio);
    }
  }
}

// Guards against balances that are sent again and again in steady state.
BOOST_AUTO_TEST_CASE(a_steady_fleet_gets_less_than_a_balance_a_second) {
  FakeFleet fleet(Options(84, 0.5));
  fleet.Run(kSettle);
  fleet.publications = 0;
  fleet.Run(kWindow);
  BOOST_TEST(static_cast<double>(fleet.publications) / 84 / 20 < 0.7);
}

// Guards against calls that leave a data centre whose servers have room, or
// leave it when there is room nowhere else.
BOOST_AUTO_TEST_CASE(calls_leave_their_data_centre_only_where_that_helps) {
  struct Case {
    std::vector<double> demand;
    double utilization;
    double least_remote;
    double most_remote;
  };
  const std::vector<Case> cases{{{1.2, 1.0, 0.8}, 0.45, 0, 0},
                                {{2.0, 0.5, 0.5}, 0.6, 0.15, 0.4},
                                {{1.1, 1.0, 0.9}, 1.6, 0, 0.05}};
  for (const Case& each : cases) {
    FleetOptions options = Options(84, each.utilization);
    options.servers = 3;
    options.demand = each.demand;
    FakeFleet fleet(options);
    for (auto& server : fleet.servers) {
      server.speed = 1;
    }
    fleet.Run(kSettle);
    fleet.Measure();
    fleet.Run(kWindow);
    const double remote = fleet.remote_calls / fleet.calls;
    BOOST_TEST_MESSAGE("demand at " << each.utilization << ": remote " << remote
                                    << ", busiest " << fleet.Utilization(0));
    BOOST_TEST(remote >= each.least_remote);
    BOOST_TEST(remote <= each.most_remote);
  }
}

BOOST_AUTO_TEST_CASE(a_new_leader_starts_from_weights_of_one) {
  FakeFleet fleet(Options(84, 0.5));
  fleet.Run(kSettle);
  const uint64_t before = fleet.routers[0]->balance_revision();
  BOOST_TEST(before > 0u);
  // The last leader died with a balance that it had computed and not sent.
  fleet.leader_reachable = false;
  fleet.Run({1'500});
  fleet.balancer.emplace(fleet.now, 2, Duration{0});
  fleet.leader_reachable = true;
  fleet.Run({1'000});
  BOOST_TEST(fleet.routers[0]->balance_revision() == before);
  BOOST_TEST(RatioAfter(fleet, kSettle) <= kMaxRatio);
  BOOST_TEST(fleet.routers[0]->balance_revision() > uint64_t{2} << 32);
}

BOOST_AUTO_TEST_CASE(half_of_the_nodes_with_old_weights_do_no_harm) {
  FakeFleet fleet(Options(84, 0.5));
  fleet.Run({4'000});
  fleet.deaf = [](size_t node) { return node % 2 == 0; };
  BOOST_TEST(RatioAfter(fleet, kSettle) <= kMaxRatio);
  fleet.deaf = [](size_t) { return false; };
  BOOST_TEST(RatioAfter(fleet, kSettle) <= kMaxRatio);
}

BOOST_AUTO_TEST_CASE(
    a_node_that_restarts_gets_the_balance_with_its_first_poll) {
  FakeFleet fleet(Options(84, 0.5));
  fleet.Run(kSettle);
  const auto balance = fleet.balancer->NewerThan(fleet.now, 0);
  BOOST_REQUIRE(balance.has_value());
  BOOST_TEST(!balance->weights.empty());
}

BOOST_AUTO_TEST_CASE(capacity_that_falls_to_a_tenth_and_returns_is_followed) {
  FakeFleet fleet(Options(84, 0.4));
  fleet.Run(kSettle);
  fleet.servers[0].speed /= 10;
  BOOST_TEST(RatioAfter(fleet, kSettle) <= kMaxRatio);
  BOOST_TEST(fleet.MeanWait() < 20);
  fleet.servers[0].speed *= 10;
  BOOST_TEST(RatioAfter(fleet, kSettle) <= kMaxRatio);
}

// Guards against a server that gets its whole share while it refuses.
BOOST_AUTO_TEST_CASE(a_refusing_member_gets_less_within_two_polls) {
  FakeFleet fleet(Options(84, 0.5));
  fleet.Run(kSettle);
  fleet.Measure();
  fleet.Run({5'000});
  const double usual = fleet.servers[0].arrivals / 5;
  fleet.servers[0].refuses = true;
  fleet.Run({1'200});
  fleet.Measure();
  fleet.Run({5'000});
  BOOST_TEST(fleet.servers[0].arrivals / 5 < 0.3 * usual);
  fleet.servers[0].refuses = false;
  fleet.Run({15'000});
  fleet.Measure();
  fleet.Run({5'000});
  BOOST_TEST(fleet.servers[0].arrivals / 5 > 0.8 * usual);
}

BOOST_AUTO_TEST_CASE(a_late_report_of_an_earlier_incarnation_changes_nothing) {
  const TimePoint start{100'000};
  ServiceBalancer balancer(start, 1, {});
  const Member member{"n0", "", "dc0", "shop", BackendState::kReady, 16};
  balancer.OnReport(start, member, 900, {16, 4, 0, 10, 0, 0}, {});
  balancer.OnReport(start + Duration{300}, member, 899, {16, 16, 50, 0, 9, 9},
                    {});
  BOOST_TEST(balancer.Members().front().utilization == 0.25);
  // The first reports of a node that has restarted do count.
  balancer.OnReport(start + Duration{1'500}, member, 1, {16, 16, 50, 0, 9, 9},
                    {});
  BOOST_TEST(balancer.Members().front().utilization > 0.5);
}

BOOST_AUTO_TEST_CASE(silent_nodes_expire_and_evacuated_data_centres_send_all) {
  TimePoint now{100'000};
  ServiceBalancer balancer(now, 1, {});
  const Member a{"a", "", "dc0", "shop", BackendState::kReady, 16};
  const Member b{"b", "", "dc1", "shop", BackendState::kReady, 16};
  uint64_t sequence = 0;
  for (; now < TimePoint{110'000}; now = now + Duration{500}) {
    balancer.OnReport(now, a, ++sequence, {16, 4, 0, 10, 0, 0}, {"dc1"});
    if (now < TimePoint{104'000}) {
      balancer.OnReport(now, b, sequence, {16, 4, 0, 10, 0, 0}, {"dc1"});
    }
  }
  BOOST_TEST(balancer.Members().size() == 1u);
  const auto balance = balancer.NewerThan(now, 0);
  BOOST_REQUIRE(balance.has_value());
  const auto& shares = balance->data_centres;
  const auto closed = std::find_if(
      shares.begin(), shares.end(),
      [](const DataCentreShare& share) { return share.data_centre == "dc1"; });
  BOOST_REQUIRE((closed != shares.end()));
  BOOST_TEST(closed->local_fraction == 0);
  BOOST_TEST(closed->inbound_weight == 0);
  // After the withdrawal calls return within seconds, but not at once.
  for (int i = 0; i < 30; ++i, now = now + Duration{500}) {
    balancer.OnReport(now, a, ++sequence, {16, 4, 0, 10, 0, 0}, {});
    balancer.OnReport(now, b, sequence, {16, 1, 0, 10, 0, 0}, {});
    if (i == 4) {
      const auto early = balancer.NewerThan(now, 0)->data_centres;
      BOOST_REQUIRE(!early.empty());
      BOOST_TEST(early.back().local_fraction < 0.5);
    }
  }
  BOOST_TEST(balancer.NewerThan(now, 0)->data_centres.empty());
}

BOOST_AUTO_TEST_CASE(absurd_numbers_are_a_typed_error_and_change_nothing) {
  const double not_a_number = std::numeric_limits<double>::quiet_NaN();
  BalanceBoard board;
  board.Reset(TimePoint{0}, 1);
  PollRequest request;
  request.node = "n0";
  request.member = {"n0", "", "dc0", "shop", BackendState::kReady, 16};
  request.load = BackendLoad{16, 4, 0, 10, 0, 0};
  PollResponse response;
  board.OnPoll(TimePoint{100}, {}, request, response);
  const std::string before = board.MetricsText();
  BOOST_TEST(before.find("node=\"n0\"} 0.250") != std::string::npos);
  for (const double value : {-1.0, 1e7, not_a_number, 1 / 0.0}) {
    request.load->busy = value;
    ++request.sequence;
    const auto checked = Capture([&] { return CheckLoad(*request.load); });
    const auto* error = std::get_if<Error>(&checked);
    BOOST_REQUIRE(error != nullptr);
    BOOST_TEST((error->id == ErrorId::kBadValue));
    board.OnPoll(TimePoint{2'000}, {}, request, response);
    BOOST_TEST(board.MetricsText() == before);
  }
}

// Guards against balances that are sent in every poll, and against a node that
// keeps the balance of an earlier leader for good.
BOOST_AUTO_TEST_CASE(a_balance_is_sent_until_the_node_holds_it) {
  BalanceBoard board;
  board.Reset(TimePoint{0}, 1);
  const auto poll = [&](int64_t at, double busy, const std::string& node,
                        uint64_t held) {
    PollRequest request;
    request.sequence = static_cast<uint64_t>(at);
    request.node = node;
    request.member = {node, "", "dc0", "shop", BackendState::kReady, 16};
    request.load = BackendLoad{16, busy, 0, 10, 0, 0};
    request.services = {{"shop", 0}};
    request.balances = {{"shop", held}};
    PollResponse response;
    board.OnPoll(TimePoint{at}, {}, request, response);
    return response.balances;
  };
  for (int64_t at = 0; at < 5'000; at += 500) {
    poll(at, 12, "slow", 0);
    poll(at, 4, "fast", 0);
  }
  const auto sent = poll(5'000, 4, "fast", 0);
  BOOST_REQUIRE(sent.size() == 1u);
  BOOST_TEST(sent.front().service == "shop");
  BOOST_TEST(sent.front().weights.size() == 2u);
  BOOST_TEST(poll(5'010, 4, "fast", sent.front().revision).empty());
  board.Reset(TimePoint{6'000}, 2);
  poll(6'000, 4, "fast", sent.front().revision);
  BOOST_TEST(poll(7'000, 4, "fast", sent.front().revision).empty());
  BOOST_TEST(poll(9'000, 4, "fast", sent.front().revision).size() == 1u);
}

// Guards against a misnamed server that disturbs the balance of a service, or
// whose balance is sent to nodes that do not know its service.
BOOST_AUTO_TEST_CASE(an_unknown_server_disturbs_no_service) {
  BalanceBoard board;
  board.Reset(TimePoint{0}, 1);
  PollResponse response;
  for (int64_t at = 0; at < 10'000; at += 500) {
    PollRequest request;
    request.sequence = static_cast<uint64_t>(at);
    request.node = "x";
    request.member = {"x", "", "dc0", "misnamed", BackendState::kReady, 16};
    request.load = BackendLoad{16, 16, 90, 0, 10, 0};
    request.services = {{"shop", 0}};
    board.OnPoll(TimePoint{at}, {}, request, response);
  }
  BOOST_TEST(response.balances.empty());
}

}  // namespace
}  // namespace rosemarywinch
