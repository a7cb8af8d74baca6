// Case 8: a planned stop of a node breaks off calls of its own upstream that it
// accepted late in the grace time.

#include "support-2/lab.h"

namespace {

using namespace lab;

constexpr int kParents = 24;
constexpr int64_t kGraceMs = 6'000;
// "sent no later than 3 s after the SIGTERM"
constexpr int64_t kExcusedUntilMs = 3'000;
// The stability window: nothing disrupts the fleet for this long before.
constexpr int64_t kCalmMs = 4'000;
constexpr int64_t kFirstCallMs = 1'400;
constexpr int64_t kCallStepMs = 150;
constexpr int64_t kCallWorkMs = 1'200;
constexpr int64_t kParentDeadlineMs = 14'000;
constexpr int kFront = 0;
constexpr int kStopped = 1;
constexpr int kCallee = 2;

// One call that the upstream beside the stopped node makes.
struct UpstreamCall {
  int64_t sent = 0;
  int64_t answered = 0;
  int status = 0;
  bool sealed = false;
  // Times at which the callee began to work on it, and finished.
  int64_t began = 0;
  int64_t finished = 0;
};

struct Scene {
  std::mutex mutex;
  std::map<std::string, UpstreamCall> calls;
  // Time of the SIGTERM, or of the moment at which it would have come.
  std::atomic<int64_t> stop{0};
  std::atomic<int> parents{0};
};

// The upstream beside the node that is stopped: makes one call, at a time of
// its own after the stop.
std::optional<std::string> RunParent(Platform& platform,
                                     Scene& scene,
                                     const Message& request) {
  const int64_t deadline =
      NowMs() + std::stoll(request.Header("X-Deadline-Ms"));
  const int number = scene.parents++;
  WaitUntil([&] { return scene.stop != 0; }, kParentDeadlineMs);
  const int64_t due = scene.stop + kFirstCallMs + kCallStepMs * number;
  SleepMs(std::max<int64_t>(0, due - NowMs()));
  const std::string id = "call-" + std::to_string(number);
  const int left = static_cast<int>(deadline - NowMs());
  {
    std::scoped_lock lock(scene.mutex);
    scene.calls[id].sent = NowMs();
  }
  const Message answer =
      Call(platform.NodeHost(kStopped), platform.outbound_port(),
           MakeRequest("GET", "/stock/" + id, CallerHeaders(id, "", left)),
           left, platform.NodeHost(kStopped));
  {
    std::scoped_lock lock(scene.mutex);
    UpstreamCall& call = scene.calls[id];
    call.answered = NowMs();
    call.status = answer.Status();
    call.sealed = !answer.Header("X-Server-Seal").empty();
  }
  return SoundAnswer(request, "done");
}

std::optional<std::string> RunCall(Scene& scene, const Message& request) {
  const std::string id = request.Header("X-Request-Id");
  {
    std::scoped_lock lock(scene.mutex);
    scene.calls[id].began = NowMs();
  }
  SleepMs(kCallWorkMs);
  std::scoped_lock lock(scene.mutex);
  scene.calls[id].finished = NowMs();
  return SoundAnswer(request, "stock");
}

// Returns whether the rule is broken for a call: its upstream was at work on
// it, and it got an answer of the node's own or none, without an excuse.
bool IsBrokenOff(const UpstreamCall& call, int64_t stop) {
  const bool sound = call.status == 200 && call.sealed;
  const bool at_work = call.began > 0 && call.answered >= call.began &&
                       (call.finished == 0 || call.finished > call.answered);
  const bool late = call.sent > stop + kExcusedUntilMs;
  return !sound && at_work && late && call.sent <= stop + kGraceMs;
}

int Judge(Scene& scene) {
  std::scoped_lock lock(scene.mutex);
  const int64_t stop = scene.stop;
  int broken = 0;
  for (const auto& [id, call] : scene.calls) {
    const bool broken_off = IsBrokenOff(call, stop);
    broken += broken_off ? 1 : 0;
    const auto after = [&](int64_t time) {
      return time == 0 ? std::string("-") : std::to_string(time - stop);
    };
    Note(id + " sent " + after(call.sent) + " began " + after(call.began) +
         " finished " + after(call.finished) + " answered " +
         after(call.answered) + " status " + std::to_string(call.status) +
         (call.sealed ? " sealed" : "") + (broken_off ? " BROKEN OFF" : ""));
  }
  Note("broken off without an excuse: " + std::to_string(broken));
  return broken > 0 ? kBroken : kHeld;
}

int RunCase() {
  Platform platform;
  Scene scene;
  platform.Start({"shop", "till", "stock"});
  Upstream front(platform, kFront, "shop", "u-shop", 40,
                 [](const Message& request, Socket&) {
                   return SoundAnswer(request, "shop");
                 });
  Upstream parent(platform, kStopped, "till", "u-till", 40,
                  [&](const Message& request, Socket&) {
                    return RunParent(platform, scene, request);
                  });
  Upstream callee(
      platform, kCallee, "stock", "u-stock", 40,
      [&](const Message& request, Socket&) { return RunCall(scene, request); });
  Json pay = MakeRoute("/pay/", "at_most_once", "till");
  pay["timeout"] = kParentDeadlineMs;
  Json stock = MakeRoute("/stock/", "idempotent", "stock", /*open=*/true);
  stock["timeout"] = 5'000;
  const Json accounts{
      {"ann", {{"keys", {"k-ann"}}, {"rate", 0}, {"burst", 0}}}};
  if (platform.Put(MakeConfiguration(1, 0, {{"pay", pay}, {"stock", stock}},
                                     {"shop", "till", "stock"}, accounts)) !=
      200) {
    return kCouldNotRun;
  }
  const bool warm = WaitUntil(
      [&] {
        return Call(platform.NodeHost(kStopped), platform.outbound_port(),
                    MakeRequest(
                        "GET", "/stock/warm",
                        CallerHeaders("warm-" + std::to_string(NowMs()), "")),
                    4'000)
                   .Status() == 200;
      },
      20'000);
  if (!warm) {
    return kCouldNotRun;
  }
  {
    std::scoped_lock lock(scene.mutex);
    scene.calls.clear();
  }
  SleepMs(kCalmMs);
  std::vector<std::thread> clients;
  std::atomic<int> served = 0;
  for (int i = 0; i < kParents; ++i) {
    clients.emplace_back([&, i] {
      const std::string id = "pay-" + std::to_string(i);
      const Message answer =
          Call(platform.NodeHost(kFront), platform.outbound_port(),
               MakeRequest("POST", "/pay/" + id,
                           CallerHeaders(id, "k-ann", kParentDeadlineMs)),
               kParentDeadlineMs + 1'000);
      served += answer.Status() == 200 ? 1 : 0;
      Note(id + " answered " + std::to_string(answer.Status()));
    });
  }
  const bool started =
      WaitUntil([&] { return scene.parents == kParents; }, 5'000);
  if (started && WithTrouble()) {
    Note("SIGTERM to node " + std::to_string(kStopped));
    platform.node(kStopped).Signal(SIGTERM);
  }
  scene.stop = NowMs();
  if (WithTrouble()) {
    // The platform kills what has not ended by the end of the grace time, and
    // starts the process again.
    const bool ended =
        WaitUntil([&] { return platform.node(kStopped).ended(); }, kGraceMs);
    Note(std::string("node ") + (ended ? "ended" : "killed") + " after " +
         std::to_string(NowMs() - scene.stop) + " ms");
    platform.node(kStopped).KillAndWait();
    platform.StartNode(kStopped, "till");
  }
  for (std::thread& client : clients) {
    client.join();
  }
  return started ? Judge(scene) : kCouldNotRun;
}

}  // namespace

int main(int, char** arguments) {
  lab::Record::Get().Open(std::string(arguments[1]) + "/record.txt");
  const int result = RunCase();
  lab::Note("result " + std::to_string(result));
  return result;
}
