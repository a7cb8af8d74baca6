// An upstream has deregistered, and its node has acknowledged it. The node is
// killed and comes back; a heartbeat that is late makes it use the upstream
// again.
#include "harness.h"

namespace review {
namespace {

constexpr double kDrain = 2.0;
constexpr double kStabilityWindow = 3.0;
constexpr double kRestartDelay = 0.5;
constexpr double kHeartbeatLate = 3.0;
constexpr double kServesOn = 10.0;

int Run(const CaseSetup& setup) {
  Record record(setup.folder + "/record.txt");
  Deployment deployment(setup.program, record);
  deployment.StartNode(0, "shop");
  deployment.StartNode(1, "till");
  deployment.StartNode(2, "till");
  const auto work = [](const Message&) { return 0.02; };
  Upstream leaving(deployment.App(1), "till", "i-leaving", record, work);
  Upstream staying(deployment.App(2), "till", "i-staying", record, work);
  if (!leaving.ok() || !staying.ok() ||
      !deployment.Put(Configuration(3, 0, 3000))) {
    return GiveUp(record, "no configuration");
  }
  Heartbeats of_staying(staying, deployment.Local(2));
  Heartbeats of_leaving(leaving, deployment.Local(1));

  std::atomic<bool> stopped{false};
  std::atomic<int> served{0};
  std::thread client([&] {
    for (int i = 0; !stopped; ++i) {
      const std::string id = "read-" + std::to_string(i);
      const auto answer =
          Call(deployment.Outbound(0),
               RequestText("GET", "/read/1", ClientHeaders(id, 3000)), 3);
      served += answer && answer->Status() == 200;
      record.Add("client   %s: %s", id.c_str(),
                 answer ? answer->start.c_str() : "no answer");
      SleepFor(0.05);
    }
  });
  const auto finish = [&](int verdict) {
    stopped = true;
    client.join();
    return verdict;
  };
  if (!WaitUntil([&] { return leaving.Runs().size() > 5; }, 30)) {
    return finish(GiveUp(record, "the upstream is not used"));
  }
  SleepFor(kStabilityWindow + 1);

  // The last heartbeat before the notice; it is on its way for a while.
  of_leaving.Stop();
  const std::string late = leaving.ReportText("ready");
  const double sent = Now();
  record.Add("upstream sends a heartbeat (ready), which will be late");
  SleepFor(0.1);
  const auto notice = Call(deployment.Local(1), leaving.DeregisterText(), 1);
  const double acknowledged = Now();
  if (!notice || notice->Status() != 200) {
    return finish(GiveUp(record, "the notice was not acknowledged"));
  }
  record.Add("upstream has deregistered: %s", notice->start.c_str());
  double in_touch = 0;
  if (setup.trouble) {
    SleepFor(0.3);
    record.Add("platform kills sidecar-1");
    deployment.node(1).Kill();
    SleepFor(kRestartDelay);
    deployment.StartNode(1, "till");
    in_touch = Now() + kStabilityWindow;
  }
  SleepUntil(sent + kHeartbeatLate);
  const auto beat = Call(deployment.Local(1), late, 1);
  record.Add("upstream's late heartbeat arrives: %s",
             beat ? beat->start.c_str() : "no answer");
  SleepUntil(acknowledged + kServesOn);
  record.Add("upstream i-leaving ends");
  finish(0);

  const double bound = std::max(acknowledged + kDrain, in_touch);
  size_t after = 0;
  double last = 0;
  for (const Upstream::Run& run : leaving.Runs()) {
    if (run.at > bound) {
      ++after;
      last = run.at;
    }
  }
  record.Add(
      "verdict  %zu requests ran at the upstream after %.3f, the last "
      "at %.3f; it left at %.3f",
      after, bound, last, acknowledged);
  std::printf(
      "%zu requests later than drain-ms, the last %.1f s after the "
      "acknowledgement\n",
      after, after == 0 ? 0.0 : last - acknowledged);
  return after > 0 ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int count, char** words) {
  return review::Run(review::ReadSetup(count, words));
}
