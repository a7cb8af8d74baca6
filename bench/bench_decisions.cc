// Benchmarks of decisions and codecs; the results are recorded in
// docs/CAPACITY.md.

#include <benchmark/benchmark.h>

#include <string>
#include <vector>

#include "fixtures.h"
#include "rosemarywinch/adapters/json_codec.h"
#include "rosemarywinch/adapters/system.h"
#include "rosemarywinch/decisions/control/admission_planner.h"
#include "rosemarywinch/decisions/control/service_balancer.h"
#include "rosemarywinch/decisions/traffic/admission_queue.h"
#include "rosemarywinch/decisions/traffic/client_key.h"
#include "rosemarywinch/decisions/traffic/route_table.h"
#include "rosemarywinch/decisions/traffic/router.h"
#include "rosemarywinch/schema/control.h"

namespace rosemarywinch::bench {
namespace {

void BM_ChangeOfTree(benchmark::State& run) {
  FleetState state = MakeTree(static_cast<int>(run.range(0)));
  uint64_t number = 0;
  for (auto _ : run) {
    ApplyCommand(state, MakeChange(state, ++number));
  }
}
BENCHMARK(BM_ChangeOfTree)->Arg(100)->Arg(1000)->Arg(10000);

void BM_NodeConfig(benchmark::State& run) {
  const FleetState state = MakeTree(static_cast<int>(run.range(0)));
  for (auto _ : run) {
    benchmark::DoNotOptimize(RouteTable(state));
  }
}
BENCHMARK(BM_NodeConfig)->Arg(100)->Arg(1000);

void BM_PollOfMembers(benchmark::State& run) {
  MembershipDirectory directory = MakeDirectory(static_cast<int>(run.range(0)));
  const uint64_t seen =
      directory.UpdateSince(kAfterStartup, {"s0", 0}).revision;
  for (auto _ : run) {
    benchmark::DoNotOptimize(
        directory.UpdateSince(kAfterStartup, {"s0", seen}));
  }
}
BENCHMARK(BM_PollOfMembers)->Arg(140)->Arg(1400);

void BM_ReportOfAllowance(benchmark::State& run) {
  AllowanceAllocator allocator(TimePoint{0}, kLease);
  const auto nodes = static_cast<int>(run.range(0));
  int next = 0;
  TimePoint now = kAfterStartup;
  for (auto _ : run) {
    next = (next + 1) % nodes;
    now.ms += next == 0 ? 1000 : 0;
    allocator.OnReport(now, {1000, 1000}, std::to_string(next),
                       {"a", 1, 0, 0, 0, 0, false});
  }
}
BENCHMARK(BM_ReportOfAllowance)->Arg(10)->Arg(140)->Arg(1400);

void BM_EncodePoll(benchmark::State& run) {
  PollRequest poll;
  poll.protocol_version = 2;
  poll.cluster = "0123456789abcdef";
  poll.node = "0123456789abcdef";
  poll.config_version = 12345;
  poll.member = {poll.node,   "10.0.0.1:8000",      "dc1",
                 "catalogue", BackendState::kReady, 100};
  poll.services.assign(8, {"catalogue", 4294967300});
  poll.allowances.assign(8,
                         {"account-1", 12.5, 20.25, 30.5, 100.25, 17, false});
  for (auto _ : run) {
    const std::string text = ToJson(poll).dump();
    benchmark::DoNotOptimize(FromJson<PollRequest>(Json::parse(text)));
    run.counters["bytes"] = static_cast<double>(text.size());
  }
}
BENCHMARK(BM_EncodePoll);

void BM_RouteAndKey(benchmark::State& run) {
  const FleetState state = MakeTree(1000);
  const RouteTable routes(state);
  const SodiumHasher hasher;
  HttpRequest request;
  request.path = "/s1/r1/x";
  request.headers.Add("Authorization", "Bearer rwk_" + std::string(16, 'a') +
                                           "_" + std::string(64, 'b'));
  request.body = std::string(1000, 'x');
  for (auto _ : run) {
    const auto match = routes.Find(request.path);
    const auto key = ExtractClientKey(request);
    benchmark::DoNotOptimize(
        Capture([&] { return AuthenticateKey(state, **key, hasher); }));
    benchmark::DoNotOptimize(EffectiveAt(state, {"s1", "r1", "a1"}));
  }
}
BENCHMARK(BM_RouteAndKey);

void BM_FullAdmissionQueue(benchmark::State& run) {
  const auto length = static_cast<uint32_t>(run.range(0));
  AdmissionQueue queue(MakeLimit(LimitPolicy::kStatic, 1), length);
  uint64_t id = 0;
  for (auto _ : run) {
    const auto account = std::to_string(id % 8);
    queue.Offer(kAfterStartup, {++id, RequestClass::kLookup, account, 1, false,
                                TimePoint{900'000}});
  }
}
BENCHMARK(BM_FullAdmissionQueue)->Arg(200)->Arg(2000);

void BM_ChooseMember(benchmark::State& run) {
  Router router("dc1");
  SystemRandom random;
  ServiceUpdate update;
  update.complete = true;
  for (int i = 0; i < run.range(0); ++i) {
    update.members.push_back({std::to_string(i), "10.0.0.1:1",
                              "dc" + std::to_string(i % 5), "s",
                              BackendState::kReady, 100});
  }
  router.Apply(kAfterStartup, update);
  for (auto _ : run) {
    const auto member = router.Choose(kAfterStartup, {}, random);
    router.Finish(kAfterStartup, member->node, CallResult::kAnswered, {5});
  }
}
BENCHMARK(BM_ChooseMember)->Arg(13)->Arg(33)->Arg(130)->Arg(1400);

// Two reports of each of the nodes of all services, and the steps that are due
// in the second between them.
void BM_SecondOfBalancers(benchmark::State& run) {
  const auto services = static_cast<size_t>(run.range(0));
  const auto nodes = static_cast<size_t>(run.range(1));
  std::vector<Member> members;
  std::vector<ServiceBalancer> balancers;
  for (size_t i = 0; i < nodes; ++i) {
    members.push_back({"n" + std::to_string(i), "10.0.0.1:1",
                       "dc" + std::to_string(i / services % 4), "s",
                       BackendState::kReady, 16});
  }
  for (size_t i = 0; i < services; ++i) {
    balancers.emplace_back(kAfterStartup, 1, Duration{0});
  }
  TimePoint now = kAfterStartup;
  uint64_t sequence = 0;
  for (auto _ : run) {
    for (int report = 0; report < 2; ++report) {
      now.ms += 500;
      ++sequence;
      for (size_t i = 0; i < nodes; ++i) {
        const double busy = 4 + static_cast<double>((i + sequence) % 7);
        balancers[i % services].OnReport(now, members[i], sequence,
                                         {16, busy, 0, 100, 0, 0}, {});
      }
    }
  }
}
BENCHMARK(BM_SecondOfBalancers)
    ->Args({4, 80})
    ->Args({110, 1400})
    ->Unit(benchmark::kMicrosecond);

// Report of one node of a fleet with 110 services, each with four times the
// demand that it bears, of three priorities and 200 accounts.
PollRequest MakeAdmissionReport(int node) {
  constexpr int kServices = 110;
  constexpr int kClasses = 5;
  constexpr int kAccounts = 200;
  const auto name = [](int service) {
    return "service" + std::to_string(service % kServices);
  };
  PollRequest report;
  report.node = "node" + std::to_string(node);
  report.member.service = name(node);
  report.member.state = BackendState::kReady;
  report.load = BackendLoad{10, 9, 0, 90, 0, 0};
  for (int i = 0; i < kClasses; ++i) {
    EntryDemand demand{name(node * kClasses + i),
                       static_cast<uint32_t>((node + i) % 3),
                       40,
                       10,
                       {}};
    for (int sample = 0; sample < 4; ++sample) {
      const int account = (node * 7 + i * 4 + sample) % kAccounts;
      demand.accounts.push_back({"account" + std::to_string(account), 10});
    }
    report.demand.push_back(std::move(demand));
    report.usage.push_back({name(node + i), 1.8});
  }
  return report;
}

void BM_AdmissionPlan(benchmark::State& run) {
  std::vector<PollRequest> reports;
  for (int node = 0; node < run.range(0); ++node) {
    reports.push_back(MakeAdmissionReport(node));
  }
  AdmissionPlanner planner;
  TimePoint now = kAfterStartup;
  planner.Reset(now, 1);
  for (auto _ : run) {
    now = now + Duration{600};
    for (const PollRequest& report : reports) {
      benchmark::DoNotOptimize(
          Capture([&] { return planner.OnReport(now, report); }));
    }
    benchmark::DoNotOptimize(
        planner.Plan(now, [](const std::string&) { return 0.0; }));
  }
  run.counters["entries"] =
      static_cast<double>(planner.current().entries.size());
}
BENCHMARK(BM_AdmissionPlan)->Arg(80)->Arg(1400)->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace rosemarywinch::bench

BENCHMARK_MAIN();
