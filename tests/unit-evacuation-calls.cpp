#define BOOST_TEST_MODULE evacuation_calls
#include <boost/test/unit_test.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <future>
#include <thread>

#include "platform/wire_protocol.h"
#include "rosemarywinch/adapters/text_packer.h"
#include "rosemarywinch/programs/mesh/backend_proxy.h"
#include "rosemarywinch/programs/mesh/operator_call_handler.h"
#include "rosemarywinch/programs/mesh/outbound_proxy.h"
#include "support/control.h"
#include "support/fakes.h"
#include "support/mesh.h"

using namespace rosemarywinch;
using test::BackendStandIn;
using test::WaitUntil;

namespace {

// A control replica in a cluster of `replicas`; the others do not answer.
class Control {
 public:
  explicit Control(std::vector<uint32_t> replicas)
      : m_replica({.replicas = std::move(replicas),
                   .data_centres = {"dc1", "dc2"}}) {}

  void WaitForLeader() { m_replica.WaitForLeader(); }

  int Call(const std::string& method, const std::string& data_centre) {
    asio::io_context context;
    auto answer = asio::co_spawn(
        context,
        m_handler.Handle(
            HttpRequestBuilder(method, "/evacuations/" + data_centre).Build()),
        asio::use_future);
    context.run();
    return answer.get().status;
  }

  PollResponse Poll() {
    PollRequest request;
    request.protocol_version = consensus::kProtocolVersion;
    request.node = "node";
    return m_replica.Poll(request);
  }

 private:
  test::ControlReplica m_replica;
  WireProtocol m_protocol;
  OperatorCallHandler m_handler{
      1, 1, m_protocol, m_replica.service, m_replica.driver, m_replica.clock};
};

// A backend proxy on its own thread.
class ProxyFixture {
 public:
  ProxyFixture() {
    proxy.SetChangeCallback([] {});
    proxy.SetRunCallback([](const EntryClass&, TimePoint) {});
    proxy.SetPressureSource([] { return std::vector<ServicePressure>(); });
    proxy.OnDeparturesStored({});
    BackendReport report;
    report.service = "shop";
    report.address = address;
    report.state = "ready";
    report.slots = 1;
    report.sequence = 1;
    report.born = Duration{5};
    proxy.OnReport({"i-1", report});
  }
  ~ProxyFixture() {
    context.stop();
    thread.join();
  }

  std::future<HopResponse> Send(const std::string& id) {
    HopRequest request;
    request.service = "shop";
    request.request_id = id;
    request.method = "GET";
    request.target = "/";
    request.time_left = {20'000};
    CallSignals signals;
    return asio::co_spawn(context,
                          proxy.Run(std::move(request), std::move(signals)),
                          asio::use_future);
  }

  const std::string address = "127.0.0.1:" + std::to_string(test::FreePort());
  BackendStandIn backend{address};
  WireProtocol protocol;
  SystemClock clock;
  BackendProxy proxy{address, Duration{60'000}, 10, protocol, clock};
  asio::io_context context;
  asio::executor_work_guard<asio::io_context::executor_type> work{
      context.get_executor()};
  std::thread thread{[this] { context.run(); }};
};

// Members in dc1 refuse as evacuated; those in dc2 answer.
class HalfEvacuated : public HopChannel {
 public:
  asio::awaitable<HopResponse>
  Call(Member member, HopRequest, std::shared_ptr<CancellationToken>) override {
    ++calls[member.data_centre];
    HopResponse response;
    response.evacuated = member.data_centre == "dc1";
    response.outcome =
        response.evacuated ? HopOutcome::kNotRun : HopOutcome::kAnswered;
    response.reason = response.evacuated ? ErrorId::kNoBackend : ErrorId::kNone;
    response.reached_backend = !response.evacuated;
    response.status = 200;
    co_return response;
  }
  std::map<std::string, int> calls;
};

// Returns a poll response with an open route and members in two data centres.
PollResponse MembersInTwoDataCentres() {
  Json document = Json::parse(test::ConfigurationText(1, 0, "k1"));
  document["routes"]["r-pay"]["open"] = true;
  PollResponse response;
  response.cluster = "c";
  response.lease = {3'000};
  response.config_version = 1;
  response.configuration_version = 1;
  response.configuration.emplace();
  response.configuration->data =
      std::get<std::string>(Capture([&] { return Pack(document.dump(), ""); }));
  ServiceUpdate update;
  update.service = "till";
  update.revision = 1;
  for (const char* node : {"a", "b", "c", "d", "e", "f"}) {
    update.members.push_back({node, "", node[0] < 'e' ? "dc1" : "dc2", "till",
                              BackendState::kReady, 4});
  }
  response.services = {update};
  return response;
}

}  // namespace

// Failures: a repeated order is answered as an error, a wrong one is answered
// as if it should be resent, and one that is not stored is acknowledged.
BOOST_AUTO_TEST_CASE(operators_get_a_status_for_each_outcome) {
  Control control({1});
  control.WaitForLeader();
  BOOST_TEST(control.Call("PUT", "dc1") == 200);
  BOOST_TEST(control.Call("PUT", "dc1") == 200);
  BOOST_TEST((control.Poll().evacuated == std::vector<std::string>{"dc1"}));
  BOOST_TEST(control.Call("PUT", "dc2") == 409);
  BOOST_TEST(control.Call("PUT", "dc3") == 400);
  BOOST_TEST(control.Call("DELETE", "") == 400);
  BOOST_TEST(control.Call("GET", "dc1") == 404);
  BOOST_TEST((control.Poll().evacuated == std::vector<std::string>{"dc1"}));
  BOOST_TEST(control.Call("DELETE", "dc1") == 200);
  BOOST_TEST(control.Call("DELETE", "dc1") == 200);
  BOOST_TEST(control.Poll().evacuated.empty());
  Control alone({1, 2, 3});
  BOOST_TEST(alone.Call("PUT", "dc1") == 503);
}

// Failures: calls that wait at the node run later all the same, and those that
// run are cut off.
BOOST_FIXTURE_TEST_CASE(waiting_calls_are_refused_and_running_ones_end_whole,
                        ProxyFixture) {
  constexpr size_t kCalls = 6;
  backend.delay_ms = 60'000;
  std::vector<std::future<HopResponse>> responses;
  for (size_t i = 0; i < kCalls; ++i) {
    responses.push_back(Send(std::to_string(i)));
  }
  BOOST_REQUIRE(WaitUntil([&] {
    return proxy.open_requests() == kCalls && !backend.Received().empty();
  }));
  proxy.SetEvacuated(true);
  BOOST_TEST(WaitUntil([&] { return proxy.open_requests() < kCalls; }));
  responses.push_back(Send("late"));
  BOOST_TEST((responses.back().wait_for(std::chrono::seconds(20)) ==
              std::future_status::ready));
  backend.delay_ms = 0;
  size_t answered = 0;
  for (auto& future : responses) {
    const HopResponse response = future.get();
    answered += response.outcome == HopOutcome::kAnswered ? 1 : 0;
    BOOST_TEST(response.evacuated == (response.outcome == HopOutcome::kNotRun));
    BOOST_TEST((!response.evacuated || response.reason == ErrorId::kNoBackend));
    BOOST_TEST(response.reached_backend != response.evacuated);
  }
  BOOST_TEST(answered == backend.Received().size());
  BOOST_TEST(answered < kCalls);
  BOOST_TEST(proxy.evacuation_refusals() == kCalls + 1 - answered);
  proxy.SetEvacuated(false);
  BOOST_TEST((Send("after").get().outcome == HopOutcome::kAnswered));
}

// Failure: while the sender does not know of the order, all attempts of a
// request that must not be repeated are spent on members of one data centre.
BOOST_AUTO_TEST_CASE(refusals_of_a_data_centre_use_up_no_attempts) {
  SystemClock clock;
  test::SeededRandom random{1};
  WireProtocol protocol;
  Metrics metrics;
  HalfEvacuated hops;
  MeshView view("dc1", clock, random);
  OutboundProxy proxy("shop", view, hops, protocol, clock, metrics);
  PollResponse poll = MembersInTwoDataCentres();
  BOOST_REQUIRE(view.ApplyPoll(clock.Now(), poll));
  const auto send = [&](const std::string& id) {
    asio::io_context context;
    auto answer =
        asio::co_spawn(context,
                       proxy.Handle(test::Mesh::Request("/pay/1", id, "k1"),
                                    std::make_shared<CancellationToken>()),
                       asio::use_future);
    context.run();
    return answer.get().status;
  };
  BOOST_TEST(send("1") == 200);
  BOOST_TEST(send("2") == 200);
  BOOST_TEST(hops.calls["dc1"] == 1);
  BOOST_TEST(hops.calls["dc2"] == 2);
  poll.configuration.reset();
  poll.evacuated = {"dc1"};
  BOOST_REQUIRE(view.ApplyEvacuations(poll));
  BOOST_TEST(view.IsLocalEvacuated());
  BOOST_TEST(send("3") == 200);
  BOOST_TEST(hops.calls["dc1"] == 1);
  // A response of an earlier version comes late.
  poll.config_version = 0;
  poll.evacuated.clear();
  BOOST_REQUIRE(view.ApplyEvacuations(poll));
  BOOST_TEST(view.IsLocalEvacuated());
}
