// A planned stop of a node while requests that it has read wait in the queue
// of another node: the stopped node ends without answering them.
#include "harness.h"

namespace {

using namespace review;

constexpr int kStoppedNode = 0;
constexpr int kServingNode = 1;
constexpr int kOtherNode = 2;

// The upstream runs 3 of its 4 slots at a time, so 15 requests a second.
constexpr int kSlots = 4;
constexpr double kWorkSeconds = 0.2;
constexpr double kLoadPerSecond = 30;
constexpr double kLoadBeforeStop = 3;

// Both the timeout of the routes and the deadline of the clients.
constexpr int kTimeoutMs = 6000;
constexpr int kRequests = 20;
constexpr double kFirstRequestAfterStop = 0.5;
constexpr double kRequestGap = 0.05;
// Longer than any request may take.
constexpr double kAnswerLimit = 7.5;

// Requests on public routes carry no key.
Headers PublicHeaders(const std::string& id) {
  return {{"Host", "a.example"},
          {"X-Request-Id", id},
          {"X-Deadline-Ms", std::to_string(kTimeoutMs)}};
}

std::string PublicConfiguration() {
  const std::string closed = R"("open":false)";
  const std::string open = R"("open":true)";
  std::string text = Configuration(1, 0, kTimeoutMs);
  for (size_t at = text.find(closed); at != std::string::npos;
       at = text.find(closed)) {
    text.replace(at, closed.size(), open);
  }
  return text;
}

// Longest time between a request's last byte and the end of its connection
// that is excused: loss-slack-ms.
constexpr double kLossSlack = 0.2;

struct Result {
  std::string id;
  double sent = 0;
  double ended = 0;
  bool connected = false;
  // 0 if the connection ended without a complete answer.
  int status = 0;

  // Returns whether the connection was cut after the slack and before the
  // deadline.
  bool WasCut() const {
    const double held = ended - sent;
    return connected && status == 0 && held > kLossSlack &&
           held < kTimeoutMs / 1000.0;
  }
};

Result SendRequest(const std::string& node, const std::string& id) {
  Result result;
  result.id = id;
  Connection connection;
  result.connected =
      connection.Open(node) &&
      connection.Send(RequestText("POST", "/pay/x", PublicHeaders(id), "x"));
  result.sent = Now();
  if (result.connected) {
    const auto answer = connection.Read(kAnswerLimit);
    result.status = answer ? answer->Status() : 0;
  }
  result.ended = Now();
  return result;
}

// Sends requests at a constant rate, each on a connection of its own.
class Load {
 public:
  explicit Load(std::string node)
      : m_thread([this, node = std::move(node)] { Run(node); }) {}
  ~Load() { Stop(); }
  void Stop() {
    m_stopped = true;
    if (m_thread.joinable()) {
      m_thread.join();
    }
  }

 private:
  void Run(const std::string& node) {
    std::vector<std::thread> requests;
    double next = Now();
    for (int i = 0; !m_stopped; ++i) {
      next += 1 / kLoadPerSecond;
      SleepUntil(next);
      requests.emplace_back([node, i] {
        const std::string id = "load-" + std::to_string(i);
        Call(node, RequestText("GET", "/read/x", PublicHeaders(id)),
             kAnswerLimit);
      });
    }
    for (std::thread& request : requests) {
      request.join();
    }
  }

  std::atomic<bool> m_stopped{false};
  std::thread m_thread;
};

bool IsServing(const Deployment& deployment) {
  const std::string id = "warm-up-" + std::to_string(Now());
  const auto answer = Call(deployment.Outbound(kStoppedNode),
                           RequestText("GET", "/read/x", PublicHeaders(id)), 2);
  return answer && answer->Status() == 200;
}

int RunCase(const CaseSetup& setup, Record& record) {
  Deployment deployment(setup.program, record);
  deployment.StartNode(kStoppedNode, "shop");
  deployment.StartNode(kServingNode, "till");
  deployment.StartNode(kOtherNode, "shop");
  Upstream upstream(deployment.App(kServingNode), "till", "i-till", record,
                    [](const Message&) { return kWorkSeconds; });
  upstream.slots = kSlots;
  Heartbeats heartbeats(upstream, deployment.Local(kServingNode));
  if (!deployment.Put(PublicConfiguration())) {
    return GiveUp(record, "no configuration was acknowledged");
  }
  if (!WaitUntil([&] { return IsServing(deployment); }, 20)) {
    return GiveUp(record, "no request was served");
  }
  SleepFor(4);

  Load load(deployment.Outbound(kOtherNode));
  SleepFor(kLoadBeforeStop);
  const double stop = Now();
  if (setup.trouble) {
    deployment.node(kStoppedNode).Signal(SIGTERM);
    record.Add("platform sends SIGTERM to sidecar-%d", kStoppedNode);
  }

  std::vector<Result> results(kRequests);
  std::vector<std::thread> clients;
  for (int i = 0; i < kRequests; ++i) {
    SleepUntil(stop + kFirstRequestAfterStop + i * kRequestGap);
    clients.emplace_back([&, i] {
      const std::string id = "pay-" + std::to_string(i);
      record.Add("client   sends %s to sidecar-%d", id.c_str(), kStoppedNode);
      results[i] = SendRequest(deployment.Outbound(kStoppedNode), id);
      if (results[i].status == 0) {
        record.Add("client   %s: connection ended without an answer",
                   id.c_str());
      } else {
        record.Add("client   %s: answer %d", id.c_str(), results[i].status);
      }
    });
  }
  for (std::thread& client : clients) {
    client.join();
  }
  load.Stop();
  heartbeats.Stop();

  // A request that the upstream ran may have been at work until the end, which
  // is excused.
  const std::vector<Upstream::Run> runs = upstream.Runs();
  int lost = 0;
  for (const Result& result : results) {
    const bool ran = std::any_of(
        runs.begin(), runs.end(),
        [&](const Upstream::Run& run) { return run.id == result.id; });
    lost += result.WasCut() && !ran ? 1 : 0;
  }
  record.Add(
      "verdict  %d of %d requests were read, never run, and cut off "
      "before their deadline without an answer",
      lost, kRequests);
  std::printf("%d of %d requests lost\n", lost, kRequests);
  return lost > 0 ? kBroken : kHeld;
}

}  // namespace

int main(int count, char** words) {
  const CaseSetup setup = ReadSetup(count, words);
  Record record(setup.folder + "/record.txt");
  return RunCase(setup, record);
}
