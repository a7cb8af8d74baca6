#define BOOST_TEST_MODULE cold_proxy
#include <boost/test/unit_test.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <map>
#include <set>

#include "platform/wire_protocol.h"
#include "rosemarywinch/adapters/system.h"
#include "rosemarywinch/programs/mesh/backend_proxy.h"
#include "support/mesh.h"

using namespace rosemarywinch;

namespace {

// A node's proxy before a backend server on loopback, which counts arrivals.
struct Fixture {
  Fixture() {
    proxy.SetChangeCallback([] {});
    proxy.SetRunCallback([](const EntryClass&, TimePoint) {});
    proxy.SetPressureSource([] { return std::vector<ServicePressure>(); });
    proxy.SetServiceSource([this] { return settings; });
    proxy.OnDeparturesStored({});
  }

  void Report(int64_t cold_left) {
    ReportCall call{"i-1", {}};
    call.report.service = "shop";
    call.report.address = address;
    call.report.state = "ready";
    call.report.slots = 30;
    call.report.sequence = ++sequence;
    call.report.cold_left = Duration{cold_left};
    BOOST_REQUIRE((proxy.OnReport(call) == ReportOutcome::kAccepted));
  }

  // Makes a call `after` so many milliseconds; every second one is nested.
  void Call(int after) { asio::co_spawn(context, Send(after), asio::detached); }
  asio::awaitable<void> Send(int after) {
    HopRequest request;
    request.request_id = "r-" + std::to_string(++calls);
    request.service = "shop";
    request.method = "GET";
    request.target = "/shop/1";
    request.time_left = Duration{3'000};
    request.nested = calls % 2 == 0;
    asio::steady_timer timer(context, std::chrono::milliseconds(after));
    co_await timer.async_wait(asio::use_awaitable);
    const std::string id = request.request_id;
    responses[id] = co_await proxy.Run(std::move(request), CallSignals());
  }
  void Finish() {
    context.run();
    context.restart();
  }

  size_t Answered() const {
    return static_cast<size_t>(
        std::count_if(responses.begin(), responses.end(), [](const auto& r) {
          return r.second.outcome == HopOutcome::kAnswered;
        }));
  }
  size_t MostArrivalsInOneSecond() {
    const auto arrivals = backend.Arrivals();
    size_t most = 0;
    for (auto first = arrivals.begin(); first != arrivals.end(); ++first) {
      const auto end = std::upper_bound(first, arrivals.end(),
                                        *first + std::chrono::seconds(1));
      most = std::max(most, static_cast<size_t>(end - first));
    }
    return most;
  }

  const std::string address = "127.0.0.1:" + std::to_string(test::FreePort());
  test::BackendStandIn backend{address};
  ServiceSpec settings{"/health", 0, 3, 13};
  asio::io_context context;
  WireProtocol protocol;
  SystemClock clock;
  BackendProxy proxy{address, Duration{60'000}, 400, protocol, clock, "shop"};
  uint64_t sequence = 0;
  int calls = 0;
  std::map<std::string, HopResponse> responses;
};

}  // namespace

// Failure: a cold server got 29 or 30 requests in a second where it crashes at
// 27.5 (cold_rate x 1.5 + 8), and 100 a second were waiting for it.
BOOST_FIXTURE_TEST_CASE(a_cold_server_gets_no_more_than_it_bears, Fixture) {
  Report(3'000'000);
  BOOST_TEST((proxy.Current()->state == BackendState::kStarting));
  BOOST_TEST(proxy.Current()->cold_rate == 13);
  for (int i = 0; i < 300; ++i) {
    Call(i * 10);
  }
  Finish();
  BOOST_TEST(MostArrivalsInOneSecond() <= 27u);
  BOOST_TEST(Answered() >= 26u);
  BOOST_TEST(proxy.ColdRefusals() > 200u);
  std::set<std::string> received;
  for (const HttpRequest& request : backend.Received()) {
    received.insert(*request.headers.Find("X-Request-Id"));
  }
  for (const auto& [id, response] : responses) {
    if (response.outcome == HopOutcome::kNotRun) {
      BOOST_TEST((response.reason == ErrorId::kOverloaded));
      BOOST_TEST(response.retry_after.ms > 0);
      BOOST_TEST(!received.contains(id));
    }
  }
  BOOST_TEST(proxy.open_requests() == 0u);

  Report(0);
  BOOST_TEST((proxy.Current()->state == BackendState::kReady));
  const size_t before = Answered();
  for (int i = 0; i < 60; ++i) {
    Call(0);
  }
  Finish();
  BOOST_TEST(Answered() == before + 60);
}

// Failure: a call that waits only for the limit was woken by its deadline.
BOOST_FIXTURE_TEST_CASE(the_timer_starts_a_call_when_the_limit_allows_it,
                        Fixture) {
  settings.cold_rate = 1;
  Report(3'000'000);
  Call(0);
  Call(700);
  Finish();
  BOOST_TEST(Answered() == 2u);
}

// Failure: between a restart and its first report, a backend server got calls
// at the rate that the earlier incarnation bore.
BOOST_FIXTURE_TEST_CASE(a_replaced_server_gets_calls_after_its_report_only,
                        Fixture) {
  Report(0);
  backend.status = 421;
  // Not in the millisecond of the report, which may come after the answer.
  Call(10);
  Finish();
  BOOST_TEST(!proxy.Current().has_value());
  backend.status = 200;
  Call(0);
  Finish();
  BOOST_TEST(backend.Received().size() == 1u);
  Report(3'000);
  Call(0);
  Finish();
  BOOST_TEST(Answered() == 1u);
}

BOOST_FIXTURE_TEST_CASE(a_service_without_a_cold_rate_is_served_as_before,
                        Fixture) {
  settings.cold_rate = 0;
  Report(3'000'000);
  for (int i = 0; i < 100; ++i) {
    Call(0);
  }
  Finish();
  BOOST_TEST(Answered() == 100u);
}
