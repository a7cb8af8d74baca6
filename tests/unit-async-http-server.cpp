#define BOOST_TEST_MODULE async_http_server
#include <boost/test/unit_test.hpp>

#include <boost/asio/io_context.hpp>
#include <string>
#include <thread>
#include <utility>

#include "rosemarywinch/adapters/async/async_http_server.h"
#include "rosemarywinch/adapters/curl_channel.h"
#include "rosemarywinch/interfaces/http_request_builder.h"
#include "support/loopback.h"
#include "support/process.h"

// Patterns: long request bodies, which arrive in many pieces; callers that read
// slowly and send on while their connection closes.

using namespace rosemarywinch;

namespace {

constexpr Duration kTimeout{5'000};

asio::awaitable<HttpResponse> AnswerWithLength(
    HttpRequest request,
    std::shared_ptr<CancellationToken>) {
  HttpResponse response;
  response.body = std::to_string(request.body.size());
  co_return response;
}

// More than a socket takes, so that the end of it is sent as it is read.
constexpr size_t kLongBytes = 4'000'000;

asio::awaitable<HttpResponse> AnswerAtLength(
    HttpRequest,
    std::shared_ptr<CancellationToken>) {
  HttpResponse response;
  response.body = std::string(kLongBytes, 'x');
  co_return response;
}

// Runs a server on threads of its own.
class RunningServer {
 public:
  explicit RunningServer(AsyncHandler handler, MemoryBudget* memory = nullptr)
      : m_server(std::make_shared<AsyncHttpServer>(m_context,
                                                   std::move(handler),
                                                   memory)),
        m_port(test::FreePort()) {
    BOOST_REQUIRE(!std::holds_alternative<Error>(
        Capture([&] { return m_server->Start(address()); })));
    for (std::thread& thread : m_threads) {
      thread = std::thread([this] { m_context.run(); });
    }
  }
  ~RunningServer() {
    m_context.stop();
    for (std::thread& thread : m_threads) {
      thread.join();
    }
  }

  AsyncHttpServer& server() { return *m_server; }
  uint16_t port() const { return m_port; }
  std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }

 private:
  asio::io_context m_context;
  std::shared_ptr<AsyncHttpServer> m_server;
  const uint16_t m_port;
  std::array<std::thread, 2> m_threads;
};

// A caller that takes a little at a time.
class SlowCaller {
 public:
  explicit SlowCaller(uint16_t port) : m_fd(::socket(AF_INET, SOCK_STREAM, 0)) {
    constexpr int kReceiveBytes = 32'768;
    ::setsockopt(m_fd, SOL_SOCKET, SO_RCVBUF, &kReceiveBytes,
                 sizeof(kReceiveBytes));
    const sockaddr_in name = test::LoopbackName(port);
    BOOST_REQUIRE(::connect(m_fd, reinterpret_cast<const sockaddr*>(&name),
                            sizeof(name)) == 0);
  }
  ~SlowCaller() { ::close(m_fd); }
  SlowCaller(const SlowCaller&) = delete;
  SlowCaller& operator=(const SlowCaller&) = delete;

  void SendRequest() {
    const std::string text = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    ::send(m_fd, text.data(), text.size(), MSG_NOSIGNAL);
  }

  // Reads until `bytes` are read or the connection ends. Returns how many were
  // read.
  size_t Read(size_t bytes) {
    std::string block(kBlockBytes, '\0');
    size_t total = 0;
    while (total < bytes) {
      const ssize_t count = ::recv(m_fd, block.data(), block.size(), 0);
      if (count <= 0) {
        return total;
      }
      total += static_cast<size_t>(count);
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    return total;
  }

 private:
  static constexpr size_t kBlockBytes = 65'536;

  const int m_fd;
};

}  // namespace

BOOST_AUTO_TEST_CASE(long_bodies_are_read_whole) {
  constexpr int kRounds = 200;
  RunningServer server(AnswerWithLength);
  CurlChannel channel;
  for (int i = 0; i < kRounds; ++i) {
    const size_t length = 300'000 + static_cast<size_t>(i) * 1'000;
    const HttpResult result = channel.Send(
        server.address(),
        HttpRequestBuilder("PUT", "/").Body(std::string(length, 'x')).Build(),
        {kTimeout, true, {}});
    const auto* response = std::get_if<HttpResponse>(&result);
    BOOST_REQUIRE_MESSAGE(response != nullptr, "round " << i);
    BOOST_TEST(response->body == std::to_string(length));
  }
}

// Failure: the caller sent its next request while the last answer was on its
// way; the connection had been closed, was reset, and the answer broke off.
BOOST_AUTO_TEST_CASE(an_answer_arrives_whole_at_a_caller_that_sends_on) {
  for (const size_t missing : {100'000, 300'000, 600'000, 1'000'000}) {
    RunningServer server(AnswerAtLength);
    server.server().BeginClosing();
    SlowCaller caller(server.port());
    caller.SendRequest();
    size_t total = caller.Read(kLongBytes - missing);
    caller.SendRequest();
    total += caller.Read(2 * kLongBytes);
    BOOST_TEST(total > kLongBytes, missing << " bytes were missing");
  }
}

// Failure: two uploads together took a node over its memory, and the requests
// in progress on other connections were lost.
BOOST_AUTO_TEST_CASE(uploads_without_memory_are_refused_before_they_are_read) {
  constexpr size_t kLarge = 8'000'000;
  MemoryBudget memory(kLarge * MemoryShare::kCopies);
  MemoryShare other(&memory);
  RunningServer server(AnswerWithLength, &memory);
  CurlChannel channel;
  const auto status_of = [&](size_t bytes) {
    const HttpResult result = channel.Send(
        server.address(),
        HttpRequestBuilder("PUT", "/").Body(std::string(bytes, 'x')).Build(),
        {kTimeout, true, {}});
    const auto* response = std::get_if<HttpResponse>(&result);
    return response == nullptr ? 0 : response->status;
  };
  BOOST_TEST(status_of(kLarge) == 200);
  BOOST_TEST(status_of(kLarge) == 200);
  BOOST_REQUIRE(other.GrowTo(kLarge / 2));
  BOOST_TEST(status_of(kLarge) == 503);
  BOOST_TEST(status_of(1'000) == 200);
  BOOST_TEST(status_of(kLarge / 4) == 200);
}

BOOST_AUTO_TEST_CASE(a_body_counts_until_its_response_is_written) {
  constexpr size_t kLarge = 1'000'000;
  MemoryBudget memory(kLarge * MemoryShare::kCopies);
  RunningServer server(
      [&](HttpRequest,
          std::shared_ptr<CancellationToken>) -> asio::awaitable<HttpResponse> {
        HttpResponse response;
        response.body = std::to_string(memory.used());
        co_return response;
      },
      &memory);
  CurlChannel channel;
  const HttpResult result = channel.Send(
      server.address(),
      HttpRequestBuilder("PUT", "/").Body(std::string(kLarge, 'x')).Build(),
      {kTimeout, true, {}});
  BOOST_TEST(std::get<HttpResponse>(result).body ==
             std::to_string(kLarge * MemoryShare::kCopies));
  BOOST_TEST(memory.used() == 0u);
}

// Failure: a caller that read its response 5.8 s late found the connection
// ended. TCP_USER_TIMEOUT also counts the time in which the peer answers the
// probes of a closed window.
BOOST_AUTO_TEST_CASE(a_caller_that_reads_late_gets_its_whole_answer) {
  RunningServer server(AnswerAtLength);
  SlowCaller caller(server.port());
  caller.SendRequest();
  std::this_thread::sleep_for(std::chrono::milliseconds(8'000));
  BOOST_TEST(caller.Read(kLongBytes) >= kLongBytes);
}

BOOST_AUTO_TEST_CASE(a_stop_leaves_what_is_on_its_way) {
  RunningServer server(AnswerAtLength);
  SlowCaller caller(server.port());
  caller.SendRequest();
  size_t total = caller.Read(kLongBytes / 2);
  BOOST_TEST(test::WaitUntil([&] {
    total += caller.Read(1);
    return server.server().open_requests() == 0;
  }));
  server.server().Stop();
  caller.SendRequest();
  total += caller.Read(2 * kLongBytes);
  BOOST_TEST(total > kLongBytes);
}

BOOST_AUTO_TEST_CASE(a_connection_lingers_no_longer_than_its_caller) {
  RunningServer server(AnswerAtLength);
  server.server().BeginClosing();
  {
    SlowCaller caller(server.port());
    caller.SendRequest();
    BOOST_TEST(caller.Read(2 * kLongBytes) > kLongBytes);
  }
  BOOST_TEST(test::WaitUntil(
      [&] { return server.server().lingering_connections() == 0; }));
  // One that stays is closed all the same.
  SlowCaller caller(server.port());
  caller.SendRequest();
  BOOST_TEST(caller.Read(2 * kLongBytes) > kLongBytes);
  BOOST_TEST(test::WaitUntil(
      [&] { return server.server().lingering_connections() == 0; }));
}
