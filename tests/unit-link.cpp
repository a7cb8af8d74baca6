#define BOOST_TEST_MODULE link
#include <boost/test/unit_test.hpp>

#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <chrono>
#include <deque>
#include <future>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "rosemarywinch/adapters/async/link_client.h"
#include "support/relay.h"

// Pattern: hundreds of nodes, each with links to most others and few requests
// on each, whose connections may fall silent without a reset.

using namespace rosemarywinch;

namespace {

constexpr Duration kLimit{20'000};
// Longer than a link counts as fresh, and than two ping intervals.
constexpr Duration kPause = FrameLink::kFreshFor + FrameLink::kPingInterval;

void Sleep(Duration length) {
  std::this_thread::sleep_for(std::chrono::milliseconds(length.ms));
}

// A peer that replies to each request after `delay`, or never if that is
// negative, and counts what it receives.
class Peer {
 public:
  Peer(asio::io_context& context, Duration delay)
      : m_delay(delay),
        m_port(test::FreePort()),
        m_listener(
            context,
            [this, &context](const std::shared_ptr<FrameLink>& link,
                             const Frame& frame) {
              ++m_received;
              Answer(context, link, frame.exchange);
            },
            [](const std::shared_ptr<FrameLink>&) {}) {
    BOOST_REQUIRE(m_listener.Start("127.0.0.1:" + std::to_string(m_port)));
  }

  uint16_t port() const { return m_port; }
  int received() const { return m_received; }

 private:
  void Answer(asio::io_context& context,
              const std::shared_ptr<FrameLink>& link,
              uint64_t exchange) {
    if (m_delay.ms < 0) {
      return;
    }
    const auto timer = std::make_shared<asio::steady_timer>(context);
    timer->expires_after(std::chrono::milliseconds(m_delay.ms));
    timer->async_wait([timer, link, exchange](const auto&) {
      link->Send({FrameType::kHopResponse, exchange, "done"});
    });
  }

  const Duration m_delay;
  const uint16_t m_port;
  std::atomic<int> m_received = 0;
  FrameListener m_listener;
};

// A caller, a relay and a peer; the handlers run on a thread of their own.
class LinkFixture {
 public:
  explicit LinkFixture(Duration delay)
      : m_peer(m_context, delay),
        m_relay(m_peer.port()),
        m_links(m_context, {&m_traffic, nullptr}),
        m_thread([this] { m_context.run(); }) {}
  ~LinkFixture() {
    m_context.stop();
    m_thread.join();
  }

  ExchangeStatus Call() {
    return asio::co_spawn(
               m_context,
               m_links.Exchange(m_relay.Address(), FrameType::kHopRequest,
                                "request", kLimit,
                                std::make_shared<CancellationToken>(),
                                PeerPlace::kOtherDataCentre),
               asio::use_future)
        .get()
        .status;
  }

  test::Relay& relay() { return m_relay; }
  const Peer& peer() const { return m_peer; }
  const LinkTraffic& traffic() const { return m_traffic; }

 private:
  LinkTraffic m_traffic;
  asio::io_context m_context;
  const asio::executor_work_guard<asio::io_context::executor_type> m_work{
      m_context.get_executor()};
  Peer m_peer;
  test::Relay m_relay;
  LinkClient m_links;
  std::thread m_thread;
};

BOOST_AUTO_TEST_CASE(an_idle_link_sends_nothing) {
  LinkFixture fixture(Duration{0});
  BOOST_TEST((fixture.Call() == ExchangeStatus::kReplied));
  const uint64_t before = fixture.relay().bytes();
  Sleep(kPause);
  BOOST_TEST(fixture.relay().bytes() == before);
}

BOOST_AUTO_TEST_CASE(bytes_are_counted_by_type_and_place) {
  LinkFixture fixture(Duration{0});
  BOOST_TEST((fixture.Call() == ExchangeStatus::kReplied));
  const std::string text = fixture.traffic().Text();
  // 13 bytes of header and the payload.
  BOOST_TEST(text.find("link_bytes_sent_total{type=\"hop_request\","
                       "peer=\"other_data_centre\"} 20\n") !=
             std::string::npos);
  BOOST_TEST(text.find("link_bytes_received_total{type=\"hop_response\","
                       "peer=\"other_data_centre\"} 17\n") !=
             std::string::npos);
  BOOST_TEST(text.find("poll_request") == std::string::npos);
}

// Failure: requests with large bodies were received whatever the process held
// already.
BOOST_AUTO_TEST_CASE(a_large_request_without_memory_is_refused_unread) {
  constexpr size_t kLarge = 1'000'000;
  asio::io_context context;
  MemoryBudget memory(kLarge);
  std::vector<Frame> received;
  const std::string address = "127.0.0.1:" + std::to_string(test::FreePort());
  FrameListener listener(
      context,
      [&](const std::shared_ptr<FrameLink>& link, Frame frame) {
        received.push_back(std::move(frame));
        link->Send({FrameType::kHopResponse, received.back().exchange, ""});
      },
      [](const std::shared_ptr<FrameLink>&) {}, {nullptr, &memory});
  BOOST_REQUIRE(listener.Start(address));
  LinkClient links(context);
  const auto call = [&](size_t bytes) {
    auto done = asio::co_spawn(
        context,
        links.Exchange(address, FrameType::kHopRequest, std::string(bytes, 'x'),
                       kLimit, std::make_shared<CancellationToken>()),
        asio::use_future);
    while (done.wait_for(std::chrono::seconds(0)) !=
           std::future_status::ready) {
      context.run_one();
    }
    BOOST_TEST((done.get().status == ExchangeStatus::kReplied));
    return received.back().skipped ? 0 : received.back().payload.size();
  };
  BOOST_TEST(call(kLarge / 4) == kLarge / 4);
  BOOST_TEST(call(kLarge) == 0u);
  BOOST_TEST(call(kLarge / 4) == 0u);
  BOOST_TEST(call(100) == 100u);
  received.clear();
  BOOST_TEST(memory.used() == 0u);
  BOOST_TEST(call(kLarge / 4) == kLarge / 4);
}

// Failure: a frame of another type, or from a peer that was not asked, passed
// as the reply to a request.
BOOST_AUTO_TEST_CASE(a_reply_comes_from_the_peer_that_was_asked) {
  asio::io_context context;
  const std::string silent = "127.0.0.1:" + std::to_string(test::FreePort());
  const std::string odd = "127.0.0.1:" + std::to_string(test::FreePort());
  FrameListener silent_peer(
      context, [](const auto&, const Frame&) {}, [](const auto&) {});
  FrameListener odd_peer(
      context,
      [](const std::shared_ptr<FrameLink>& link, const Frame& frame) {
        const uint64_t before = frame.exchange - 1;
        link->Send({FrameType::kHopResponse, before, "to another peer's"});
        link->Send({FrameType::kPollReply, frame.exchange, "another type"});
        link->Send({FrameType::kHopResponse, frame.exchange, "done"});
      },
      [](const auto&) {});
  BOOST_REQUIRE(silent_peer.Start(silent));
  BOOST_REQUIRE(odd_peer.Start(odd));
  LinkClient links(context);
  const auto call = [&](const std::string& address, Duration limit) {
    return asio::co_spawn(
        context,
        links.Exchange(address, FrameType::kHopRequest, "request", limit,
                       std::make_shared<CancellationToken>()),
        asio::use_future);
  };
  auto unanswered = call(silent, Duration{500});
  auto answered = call(odd, kLimit);
  for (const auto* result : {&unanswered, &answered}) {
    while (result->wait_for(std::chrono::seconds(0)) !=
           std::future_status::ready) {
      context.run_one();
    }
  }
  BOOST_TEST((unanswered.get().status == ExchangeStatus::kTimedOut));
  BOOST_TEST(answered.get().payload == "done");
}

BOOST_AUTO_TEST_CASE(an_idle_link_is_used_again) {
  LinkFixture fixture(Duration{0});
  BOOST_TEST((fixture.Call() == ExchangeStatus::kReplied));
  Sleep(kPause);
  BOOST_TEST((fixture.Call() == ExchangeStatus::kReplied));
  BOOST_TEST(fixture.peer().received() == 2);
}

BOOST_AUTO_TEST_CASE(a_link_that_died_while_idle_loses_no_request) {
  LinkFixture fixture(Duration{0});
  BOOST_TEST((fixture.Call() == ExchangeStatus::kReplied));
  Sleep(kPause);
  fixture.relay().BlackholeOpenConnections();
  BOOST_TEST((fixture.Call() == ExchangeStatus::kStaleLink));
  BOOST_TEST((fixture.Call() == ExchangeStatus::kReplied));
  BOOST_TEST(fixture.peer().received() == 2);
}

BOOST_AUTO_TEST_CASE(a_link_that_falls_silent_under_a_request_is_closed) {
  LinkFixture fixture(Duration{-1});
  std::thread silence([&] {
    while (fixture.peer().received() == 0) {
      Sleep(Duration{10});
    }
    fixture.relay().BlackholeOpenConnections();
  });
  BOOST_TEST((fixture.Call() == ExchangeStatus::kLinkLost));
  silence.join();
}

BOOST_AUTO_TEST_CASE(a_slow_answer_is_awaited_on_a_live_link) {
  LinkFixture fixture(FrameLink::kDeadPeerTimeout + kPause);
  BOOST_TEST((fixture.Call() == ExchangeStatus::kReplied));
}

// A node in whose queue each request waits until it is cancelled there.
class QueueingPeer {
 public:
  explicit QueueingPeer(asio::io_context& context)
      : m_listener(
            context,
            [this](const std::shared_ptr<FrameLink>& link, const Frame& frame) {
              OnFrame(link, frame);
            },
            [](const std::shared_ptr<FrameLink>&) {}) {
    BOOST_REQUIRE(m_listener.Start(m_address));
  }

  const std::string& address() const { return m_address; }

 private:
  void OnFrame(const std::shared_ptr<FrameLink>& link, const Frame& frame) {
    std::scoped_lock lock(m_mutex);
    if (frame.type == FrameType::kHopRequest) {
      m_queued.insert({link.get(), frame.exchange});
    } else if (frame.type == FrameType::kCancelIfQueued &&
               m_queued.erase({link.get(), frame.exchange}) > 0) {
      link->Send({FrameType::kHopResponse, frame.exchange, "not run"});
    }
  }

  const std::string m_address = "127.0.0.1:" + std::to_string(test::FreePort());
  std::mutex m_mutex;
  std::set<std::pair<const FrameLink*, uint64_t>> m_queued;
  FrameListener m_listener;
};

// Failure: a request that was sent while all were cancelled was overtaken by
// its cancellation, and would have been started after it.
BOOST_AUTO_TEST_CASE(no_request_misses_the_cancellation_of_queued_ones) {
  constexpr int kRounds = 60;
  constexpr int kRequests = 100;
  constexpr Duration kMissed{5'000};
  asio::io_context context;
  auto work = asio::make_work_guard(context);
  QueueingPeer peer(context);
  std::deque<LinkClient> clients;
  std::vector<std::thread> threads;
  for (int i = 0; i < 4; ++i) {
    threads.emplace_back([&] { context.run(); });
  }
  int replied = 0;
  for (int round = 0; round < kRounds; ++round) {
    LinkClient& links = clients.emplace_back(context);
    std::vector<std::future<ExchangeResult>> results;
    std::thread cancelling;
    for (int i = 0; i < kRequests; ++i) {
      results.push_back(asio::co_spawn(
          context,
          links.Exchange(peer.address(), FrameType::kHopRequest, "request",
                         kMissed, std::make_shared<CancellationToken>()),
          asio::use_future));
      if (i == round) {
        cancelling = std::thread([&] { links.CancelQueuedHopRequests(); });
      }
    }
    cancelling.join();
    for (auto& result : results) {
      const ExchangeStatus status = result.get().status;
      BOOST_REQUIRE((status == ExchangeStatus::kReplied ||
                     status == ExchangeStatus::kNotSent));
      replied += status == ExchangeStatus::kReplied ? 1 : 0;
    }
  }
  BOOST_TEST(replied > 0);
  context.stop();
  for (std::thread& thread : threads) {
    thread.join();
  }
}

}  // namespace
