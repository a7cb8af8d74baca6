// Checks how costs grow with size, as the ratio of two medians of one run.

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <functional>
#include <vector>

#include "fixtures.h"
#include "rosemarywinch/adapters/json_codec.h"

namespace rosemarywinch::bench {
namespace {

constexpr int kRounds = 31;

double MedianSeconds(const std::function<void()>& work) {
  std::vector<double> times;
  for (int i = 0; i < kRounds; ++i) {
    const auto start = std::chrono::steady_clock::now();
    work();
    const auto end = std::chrono::steady_clock::now();
    times.push_back(std::chrono::duration<double>(end - start).count());
  }
  std::nth_element(times.begin(), times.begin() + kRounds / 2, times.end());
  return times[kRounds / 2];
}

// Checks the ratio of the cost at ten times the size to the cost at the size.
bool Check(const char* what, double small, double large, double bound) {
  const double ratio = large / small;
  const bool holds = ratio <= bound;
  std::printf("%s: 10x the size costs %.1fx, bound %.0fx: %s\n", what, ratio,
              bound, holds ? "ok" : "EXCEEDED");
  return holds;
}

double ChangeSeconds(int routes) {
  FleetState state = MakeTree(routes);
  uint64_t number = 0;
  return MedianSeconds([&] {
    for (int i = 0; i < 20; ++i) {
      ApplyCommand(state, MakeChange(state, ++number));
    }
  });
}

double PollSeconds(int members) {
  MembershipDirectory directory = MakeDirectory(members);
  const uint64_t seen =
      directory.UpdateSince(kAfterStartup, {"s0", 0}).revision;
  return MedianSeconds([&] {
    for (int i = 0; i < 1000; ++i) {
      directory.UpdateSince(kAfterStartup, {"s0", seen});
    }
  });
}

double RecoverySeconds(int entries) {
  std::vector<std::string> records;
  const FleetState tree = MakeTree(100);
  for (int i = 1; i <= entries; ++i) {
    records.push_back(
        ToBinary(LogEntry{static_cast<uint64_t>(i), 1, MakeChange(tree, i)}));
  }
  return MedianSeconds([&] {
    for (const std::string& record : records) {
      static_cast<void>(Capture([&] { return FromBinary<LogEntry>(record); }));
    }
  });
}

int Run() {
  bool holds = true;
  // A change copies the tree, so its cost is linear; the bound leaves room for
  // cache effects.
  holds &= Check("tree change", ChangeSeconds(200), ChangeSeconds(2000), 20);
  // The cost of a poll depends on the services it asks for, not on the size of
  // the fleet.
  holds &= Check("member poll", PollSeconds(140), PollSeconds(1400), 3);
  holds &= Check("log recovery", RecoverySeconds(50), RecoverySeconds(500), 20);
  return holds ? 0 : 1;
}

}  // namespace
}  // namespace rosemarywinch::bench

int main() {
  return rosemarywinch::bench::Run();
}
