#ifndef ROSEMARYWINCH_TESTS_SUPPORT_FAKE_FLEET_H_
#define ROSEMARYWINCH_TESTS_SUPPORT_FAKE_FLEET_H_

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <vector>

#include "rosemarywinch/decisions/control/service_balancer.h"
#include "rosemarywinch/decisions/traffic/load_meter.h"
#include "rosemarywinch/decisions/traffic/router.h"
#include "support/fakes.h"

namespace rosemarywinch::test {

struct FleetOptions {
  size_t callers = 84;
  size_t servers = 24;
  std::vector<double> demand{1, 1, 1};  // per data centre, relative
  double utilization = 0.6;
  bool central_queue = false;
  uint64_t seed = 1;
};

// Callers and servers of one service in three data centres: queues that share
// one model of the delay of reports. Each node polls every 0.5 s at a random
// phase and applies what the balancer knew before its own report.
class FakeFleet {
 public:
  static constexpr uint32_t kSlots = 16;
  static constexpr double kCallMs = 60;
  static constexpr Duration kPoll{500};

  explicit FakeFleet(const FleetOptions& options)
      : m_options(options), m_random(options.seed) {
    balancer.emplace(now, 1, Duration{0});
    ServiceUpdate update;
    update.complete = true;
    update.revision = 1;
    for (size_t i = 0; i < options.servers; ++i) {
      servers.push_back({});
      servers[i].member = {
          Name(i), "", DataCentre(i), "shop", BackendState::kReady, kSlots};
      servers[i].speed = 0.5 + static_cast<double>(i * 7 % 11) / 10;
      update.members.push_back(servers[i].member);
      m_capacity += kSlots * servers[i].speed * 1000 / kCallMs;
    }
    for (size_t i = 0; i < options.callers; ++i) {
      routers.push_back(std::make_unique<Router>(DataCentre(i)));
      routers[i]->Apply(now, update);
      Push(now + Duration{static_cast<int64_t>(m_random.Below(kPoll.ms))},
           {Event::kPoll, i});
    }
    for (size_t dc = 0; dc < options.demand.size(); ++dc) {
      Push(now, {Event::kArrival, dc});
    }
  }

  void Run(Duration length) {
    const TimePoint end = now + length;
    while (m_events.top().first <= end) {
      const auto [at, event] = m_events.top();
      m_events.pop();
      now = at;
      Handle(event);
    }
    now = end;
  }

  // Begins to measure utilizations.
  void Measure() {
    m_measured_from = now;
    for (Server& server : servers) {
      Account(server);
      server.busy_ms = 0;
      server.arrivals = 0;
    }
    waits_ms = calls = remote_calls = 0;
  }

  double Utilization(size_t i) {
    Account(servers[i]);
    return servers[i].busy_ms / kSlots /
           static_cast<double>((now - m_measured_from).ms);
  }

  // Returns the utilization of the busiest server over the mean of its data
  // centre, the greatest of all data centres.
  double BusiestOverMean() {
    double worst = 0;
    for (size_t dc = 0; dc < m_options.demand.size(); ++dc) {
      double sum = 0;
      double busiest = 0;
      double count = 0;
      for (size_t i = dc; i < servers.size(); i += m_options.demand.size()) {
        sum += Utilization(i);
        busiest = std::max(busiest, Utilization(i));
        ++count;
      }
      worst = std::max(worst, busiest / (sum / count));
    }
    return worst;
  }

  double MeanWait() const { return calls > 0 ? waits_ms / calls : 0; }

  struct Call {
    size_t caller;
    TimePoint arrived;
  };
  struct Server {
    Member member;
    double speed = 1;
    bool refuses = false;
    size_t busy = 0;
    std::deque<Call> waiting;
    double busy_ms = 0;
    double arrivals = 0;
    TimePoint accounted;
    LoadMeter meter;
    uint64_t sequence = 0;
  };

  TimePoint now{100'000};
  std::optional<ServiceBalancer> balancer;
  bool leader_reachable = true;
  std::vector<Server> servers;
  std::vector<std::unique_ptr<Router>> routers;
  double waits_ms = 0;
  double calls = 0;
  double remote_calls = 0;
  uint64_t publications = 0;
  // Callers that do not learn of balances.
  std::function<bool(size_t)> deaf = [](size_t) { return false; };

 private:
  struct Event {
    enum Kind { kArrival, kEnd, kPoll } kind;
    size_t index = 0;
    size_t caller = 0;
    double took_ms = 0;
  };
  using Timed = std::pair<TimePoint, Event>;
  struct Later {
    bool operator()(const Timed& a, const Timed& b) const {
      return a.first > b.first;
    }
  };

  static std::string Name(size_t i) { return "n" + std::to_string(i); }
  std::string DataCentre(size_t i) const {
    return "dc" + std::to_string(i % m_options.demand.size());
  }
  void Push(TimePoint at, Event event) { m_events.emplace(at, event); }
  double Exponential(double mean) {
    const double uniform =
        static_cast<double>(m_random.Below(1u << 30) + 1) / (1u << 30);
    return -mean * std::log(uniform);
  }

  void Handle(const Event& event) {
    switch (event.kind) {
      case Event::kArrival:
        return OnArrival(event.index);
      case Event::kEnd:
        return OnEnd(event);
      case Event::kPoll:
        return OnPoll(event.index);
    }
  }

  void OnArrival(size_t dc) {
    const size_t dcs = m_options.demand.size();
    double demand = 0;
    for (const double part : m_options.demand) {
      demand += part;
    }
    const double rate =
        m_capacity * m_options.utilization * m_options.demand[dc] / demand;
    m_next_arrival.resize(dcs, static_cast<double>(now.ms));
    m_next_arrival[dc] += Exponential(1000 / rate);
    Push({static_cast<int64_t>(m_next_arrival[dc])}, {Event::kArrival, dc});
    const size_t per_dc = (m_options.callers - dc + dcs - 1) / dcs;
    const size_t caller = dc + dcs * m_random.Below(per_dc);
    const size_t server = ChooseServer(caller);
    Server& chosen = servers[server];
    ++calls;
    ++chosen.arrivals;
    remote_calls += chosen.member.data_centre != DataCentre(caller) ? 1 : 0;
    if (chosen.refuses || chosen.waiting.size() >= 2 * kSlots) {
      chosen.meter.OnEnd(CallEnd::kRefused);
      routers[caller]->Finish(now, Name(server), CallResult::kRefused, {});
    } else {
      chosen.waiting.push_back({caller, now});
      StartCalls(server);
    }
  }

  size_t ChooseServer(size_t caller) {
    if (!m_options.central_queue) {
      const auto member = routers[caller]->Choose(now, {}, m_random);
      return std::stoul(member->node.substr(1));
    }
    size_t best = m_random.Below(servers.size());
    for (size_t i = 0; i < servers.size(); ++i) {
      if (servers[i].busy + servers[i].waiting.size() <
          servers[best].busy + servers[best].waiting.size()) {
        best = i;
      }
    }
    return best;
  }

  void StartCalls(size_t index) {
    Server& server = servers[index];
    Account(server);
    while (server.busy < kSlots && !server.waiting.empty()) {
      const Call call = server.waiting.front();
      server.waiting.pop_front();
      ++server.busy;
      waits_ms += static_cast<double>((now - call.arrived).ms);
      // Lookups of 15 ms and bookings of 150 ms, 60 ms in the mean.
      const double mean = m_random.Below(3) == 0 ? 150 : 15;
      const double took = Exponential(mean) / server.speed;
      Push(now + Duration{static_cast<int64_t>(took) + 1},
           {Event::kEnd, index, call.caller, took});
    }
    server.meter.OnCalls(now, server.busy, server.waiting.size());
  }

  void OnEnd(const Event& event) {
    Server& server = servers[event.index];
    Account(server);
    --server.busy;
    server.meter.OnEnd(CallEnd::kCompleted);
    routers[event.caller]->Finish(now, Name(event.index), CallResult::kAnswered,
                                  {static_cast<int64_t>(event.took_ms)});
    StartCalls(event.index);
  }

  void OnPoll(size_t node) {
    Push(now + kPoll, {Event::kPoll, node});
    if (!leader_reachable) {
      return;
    }
    Router& router = *routers[node];
    router.OnControl(now);
    const auto balance = balancer->NewerThan(now, router.balance_revision());
    if (balance && !deaf(node)) {
      router.ApplyBalance(*balance);
      ++publications;
    }
    if (node < servers.size()) {
      Server& server = servers[node];
      if (const auto load = server.meter.Take(now, kSlots)) {
        balancer->OnReport(now, server.member, ++server.sequence, *load, {});
      }
    }
  }

  void Account(Server& server) const {
    server.busy_ms += static_cast<double>(server.busy) *
                      static_cast<double>((now - server.accounted).ms);
    server.accounted = now;
  }

  const FleetOptions m_options;
  SeededRandom m_random;
  double m_capacity = 0;
  TimePoint m_measured_from;
  std::vector<double> m_next_arrival;
  std::priority_queue<Timed, std::vector<Timed>, Later> m_events;
};

}  // namespace rosemarywinch::test

#endif  // ROSEMARYWINCH_TESTS_SUPPORT_FAKE_FLEET_H_
