#define BOOST_TEST_MODULE local_calls
#include <boost/test/unit_test.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <chrono>
#include <string>
#include <thread>

#include "platform/wire_protocol.h"
#include "rosemarywinch/adapters/json_codec.h"
#include "rosemarywinch/adapters/system.h"
#include "rosemarywinch/interfaces/http_request_builder.h"
#include "rosemarywinch/programs/mesh/local_call_handler.h"

using namespace rosemarywinch;

namespace {

const std::string kAddress = "127.0.0.1:1";
const std::string kPath = "/backends/i-1";

// The calls of a backend server to its node; control is played by the test.
struct Fixture {
  Fixture() {
    proxy.SetChangeCallback([] {});
    proxy.OnDeparturesStored({});
  }

  int StatusOf(const HttpRequest& request) {
    auto answer =
        asio::co_spawn(context, handler.Handle(request), asio::use_future);
    context.run();
    context.restart();
    return answer.get().status;
  }

  int Report(const std::string& state, const Json& changes = Json::object()) {
    Json report{{"service", "shop"}, {"address", kAddress},    {"state", state},
                {"slots", 4},        {"sequence", ++sequence}, {"born", 5}};
    report.update(changes);
    return StatusOf(
        HttpRequestBuilder("PUT", kPath).Body(report.dump()).Build());
  }

  int Withdraw(const std::string& path, const std::string& body) {
    return StatusOf(HttpRequestBuilder("DELETE", path).Body(body).Build());
  }

  int sequence = 0;
  asio::io_context context;
  WireProtocol protocol;
  SystemClock clock;
  BackendProxy proxy{kAddress, Duration{6'000}, 10, protocol, clock, "shop"};
  LocalCallHandler handler{protocol, proxy};
};

}  // namespace

BOOST_FIXTURE_TEST_CASE(a_departure_is_acknowledged_when_it_is_stored,
                        Fixture) {
  BOOST_TEST(Report("ready") == 200);
  BOOST_TEST(Report("leaving") == 503);
  BOOST_TEST(Withdraw(kPath, R"({"born":5})") == 503);
  proxy.OnDeparturesStored({{"i-1", Duration{5}}});
  BOOST_TEST(Report("leaving") == 200);
  BOOST_TEST(Withdraw(kPath, R"({"born":5})") == 200);
  BOOST_TEST(Withdraw(kPath, "") == 200);
}

// Failure: a notice that named no incarnation was answered 500, as if the node
// had failed.
BOOST_FIXTURE_TEST_CASE(calls_that_make_no_sense_are_bad_requests, Fixture) {
  BOOST_TEST(Report("ready") == 200);
  BOOST_TEST(Report("sleeping") == 400);
  BOOST_TEST(Report("ready", {{"address", "127.0.0.1:2"}}) == 400);
  BOOST_TEST(Report("ready", {{"cold_left", -1}}) == 400);
  BOOST_TEST(Report("ready", {{"cold_left", 3'600'001}}) == 400);
  BOOST_TEST(Withdraw(kPath, R"({"born":9000000000000})") == 400);
  BOOST_TEST(Withdraw(kPath, "{") == 400);
  BOOST_TEST(StatusOf(HttpRequestBuilder("PUT", "/other").Build()) == 404);
  BOOST_TEST((proxy.Current()->state != BackendState::kLeaving));
}

// Failure: one report with an unknown service made the node ignore its backend
// server for good.
BOOST_FIXTURE_TEST_CASE(a_report_of_another_service_displaces_none, Fixture) {
  BOOST_TEST(Report("ready") == 200);
  BOOST_TEST(Report("ready", {{"service", "elsewhere"}, {"born", 9}}) == 400);
  BOOST_TEST(Report("ready") == 200);
  BOOST_TEST((proxy.Current()->state == BackendState::kReady));
  BOOST_TEST(Report("leaving") == 503);
  BOOST_TEST((proxy.Current()->state == BackendState::kLeaving));
}

// Failure: a notice without the start time, of an id that the node had not
// heard since its restart, was answered 400 until the backend server gave up.
BOOST_FIXTURE_TEST_CASE(an_undated_notice_of_an_unknown_id_is_acknowledged,
                        Fixture) {
  BOOST_TEST(Report("ready") == 200);
  BOOST_TEST(Withdraw("/backends/i-2", "") == 503);
  const auto unstored = proxy.UnstoredDepartures();
  BOOST_REQUIRE(unstored.size() == 1u);
  BOOST_TEST((unstored[0].born <= clock.UnixTime()));
  std::thread control([&] {
    while (proxy.UnstoredDepartures().front().born == unstored[0].born) {
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    proxy.OnDeparturesStored(proxy.UnstoredDepartures());
  });
  BOOST_TEST(Withdraw("/backends/i-2", "") == 200);
  control.join();
  BOOST_TEST((proxy.Current()->state == BackendState::kReady));
}
