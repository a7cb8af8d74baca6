// Case 7: after the last client account was taken out of the configuration, its
// withdrawn key goes on working.

#include "support-2/lab.h"

namespace {

using namespace lab;

constexpr int kNodes = 3;
// revoke-ms
constexpr int64_t kRevokeMs = 5'000;
constexpr int64_t kWatchMs = 4'000;
constexpr int64_t kPauseMs = 50;
constexpr const char* kKey = "k-ann-5f1c7a";

struct Sent {
  int64_t at = 0;
  int status = 0;
};

struct Scene {
  std::mutex mutex;
  std::map<std::string, Sent> sent;
  // Requests that the upstreams ran.
  std::set<std::string> ran;
};

Json MakeVersion(int version, int base, const Json& accounts) {
  return MakeConfiguration(
      version, base, {{"pay", MakeRoute("/pay/", "at_most_once", "till")}},
      {"till"}, accounts);
}

// A client of node `i`: sends requests with its key, one after the other.
void RunClient(Platform& platform,
               Scene& scene,
               int i,
               const std::atomic<bool>& stopped) {
  for (int number = 0; !stopped; ++number) {
    const std::string id =
        "pay-" + std::to_string(i) + "-" + std::to_string(number);
    {
      std::scoped_lock lock(scene.mutex);
      scene.sent[id].at = NowMs();
    }
    const Message answer =
        Call(platform.NodeHost(i), platform.outbound_port(),
             MakeRequest("POST", "/pay/" + id, CallerHeaders(id, kKey)), 4'500);
    {
      std::scoped_lock lock(scene.mutex);
      scene.sent[id].status = answer.Status();
    }
    SleepMs(kPauseMs);
  }
}

// Returns how many requests ran that were sent too late after `withdrawn`.
int CountLate(Scene& scene, int64_t withdrawn) {
  std::scoped_lock lock(scene.mutex);
  int late = 0;
  std::map<std::string, int> after;
  for (const auto& [id, request] : scene.sent) {
    if (request.at <= withdrawn + kRevokeMs) {
      continue;
    }
    const bool ran = scene.ran.contains(id);
    late += ran ? 1 : 0;
    ++after[std::to_string(request.status) + (ran ? " ran" : " not run")];
    if (ran && late <= 5) {
      Note(id + " sent " + std::to_string(request.at - withdrawn) +
           " ms after the acknowledgement, ran, answered " +
           std::to_string(request.status));
    }
  }
  for (const auto& [what, count] : after) {
    Note("sent later than revoke-ms after it: " + what + " " +
         std::to_string(count));
  }
  return late;
}

int RunCase() {
  Platform platform;
  Scene scene;
  platform.Start(std::vector<std::string>(kNodes, "till"));
  std::vector<std::unique_ptr<Upstream>> upstreams;
  for (int i = 0; i < kNodes; ++i) {
    upstreams.push_back(std::make_unique<Upstream>(
        platform, i, "till", "u-" + std::to_string(i), 40,
        [&](const Message& request, Socket&) {
          std::scoped_lock lock(scene.mutex);
          scene.ran.insert(request.Header("X-Request-Id"));
          return SoundAnswer(request, "paid");
        }));
  }
  const Json ann{{"keys", {kKey}}, {"rate", 100}, {"burst", 100}};
  if (platform.Put(MakeVersion(1, 0, {{"ann", ann}})) != 200) {
    return kCouldNotRun;
  }
  const bool warm = WaitUntil(
      [&] {
        for (int i = 0; i < kNodes; ++i) {
          const std::string id = "warm-" + std::to_string(NowMs());
          if (Call(platform.NodeHost(i), platform.outbound_port(),
                   MakeRequest("POST", "/pay/" + id, CallerHeaders(id, kKey)),
                   4'500)
                  .Status() != 200) {
            return false;
          }
        }
        return true;
      },
      20'000);
  if (!warm) {
    return kCouldNotRun;
  }
  std::atomic<bool> stopped = false;
  std::vector<std::thread> clients;
  for (int i = 0; i < kNodes; ++i) {
    clients.emplace_back([&, i] { RunClient(platform, scene, i, stopped); });
  }
  SleepMs(1'000);
  bool acknowledged = true;
  if (WithTrouble()) {
    // The one account is taken out: the table of accounts is empty.
    acknowledged = platform.Put(MakeVersion(2, 1, Json::object())) == 200;
  }
  const int64_t withdrawn = NowMs();
  SleepMs(kRevokeMs + kWatchMs);
  stopped = true;
  for (std::thread& client : clients) {
    client.join();
  }
  if (!acknowledged) {
    Note("the configuration without accounts was not acknowledged");
    return kHeld;
  }
  const int late = CountLate(scene, withdrawn);
  if (!WithTrouble()) {
    return late > 0 ? kHeld : kCouldNotRun;
  }
  return late > 0 ? kBroken : kHeld;
}

}  // namespace

int main(int, char** arguments) {
  lab::Record::Get().Open(std::string(arguments[1]) + "/record.txt");
  const int result = RunCase();
  lab::Note("result " + std::to_string(result));
  return result;
}
