#include "rosemarywinch/adapters/async/async_http_connection.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <exception>
#include <utility>

namespace rosemarywinch {

namespace {

namespace http = boost::beast::http;
using boost::system::error_code;
using SteadyClock = std::chrono::steady_clock;

// From the first byte of a request to the end of its body.
constexpr Duration kBodyTimeout{60'000};
// Maximum number of concurrent requests per connection.
constexpr size_t kMaxPipelined = 16;
// Reading pauses while this many bytes wait for the parser, for instance
// because kMaxPipelined requests are running.
constexpr size_t kMaxReadAhead = 65'536;
// For a response to arrive, and for the peer to see that the connection ends.
constexpr Duration kLingerTime{1'000};
constexpr int kBadRequest = 400;
constexpr int kRequestTimeout = 408;
constexpr int kBodyTooLarge = 413;
constexpr int kHeadersTooLarge = 431;
constexpr int kServerError = 500;
constexpr int kUnavailable = 503;
constexpr char kContinue[] = "HTTP/1.1 100 Continue\r\n\r\n";

int StatusOf(error_code error) {
  if (error == http::error::body_limit) {
    return kBodyTooLarge;
  }
  return error == http::error::header_limit ? kHeadersTooLarge : kBadRequest;
}

std::chrono::milliseconds ToChrono(Duration length) {
  return std::chrono::milliseconds(length.ms);
}

}  // namespace

AsyncHttpConnection::AsyncHttpConnection(
    std::shared_ptr<AsyncHttpServer> server,
    Tcp::socket socket)
    : m_server(std::move(server)),
      m_strand(asio::make_strand(m_server->m_context.get_executor())),
      m_socket(std::move(socket)),
      m_peer(m_socket),
      m_limits(m_server->limits()),
      m_from_this_host(IsFromThisHost(m_socket)),
      m_changed(m_strand, SteadyClock::time_point::max()),
      m_timeout(m_strand),
      m_last_activity(SteadyClock::now()) {
  ResetParser();
}

void AsyncHttpConnection::Start() {
  const auto self = shared_from_this();
  const auto spawn = [&](auto loop) {
    asio::co_spawn(
        m_strand, [self, loop] { return ((*self).*loop)(); }, asio::detached);
  };
  spawn(&AsyncHttpConnection::ReadLoop);
  spawn(&AsyncHttpConnection::ParseLoop);
  spawn(&AsyncHttpConnection::WriteLoop);
  spawn(&AsyncHttpConnection::TimeoutLoop);
}

void AsyncHttpConnection::CloseWhenIdle() {
  asio::post(m_strand, [self = shared_from_this()] {
    const bool idle = self->m_exchanges.empty() && !self->m_partial &&
                      self->m_buffer.size() == 0;
    if (idle) {
      self->FinishAndClose();
    }
  });
}

void AsyncHttpConnection::CancelOpenRequests() {
  asio::post(m_strand, [self = shared_from_this()] {
    for (const auto& exchange : self->m_exchanges) {
      if (!exchange->response) {
        exchange->cancellation->Cancel();
      }
    }
  });
}

void AsyncHttpConnection::ResetParser() {
  m_parser.emplace();
  m_parser->eager(true);
  m_parser->header_limit(static_cast<uint32_t>(m_limits.max_header_bytes));
  m_parser->body_limit(m_limits.max_body_bytes);
  m_memory = MemoryShare(m_server->m_memory);
  m_partial = false;
  m_continue_wanted = false;
}

void AsyncHttpConnection::Wake() {
  m_changed.cancel();
}

// The timer never expires; Wake() cancels it to resume the waiting loops.
asio::awaitable<void> AsyncHttpConnection::WaitForChange() {
  error_code ignored;
  co_await m_changed.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<void> AsyncHttpConnection::ReadLoop() {
  while (!m_closed) {
    if (m_buffer.size() >= kMaxReadAhead) {
      m_reading_paused = true;
      co_await WaitForChange();
      continue;
    }
    error_code error;
    const size_t count = co_await m_socket.async_read_some(
        asio::buffer(m_chunk),
        asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      Close();
      co_return;
    }
    if (m_finishing || m_body_refused) {
      if (m_body_refused &&
          SteadyClock::now() < m_request_start + ToChrono(kBodyTimeout)) {
        m_last_response = SteadyClock::now();
      }
      continue;
    }
    m_buffer.commit(asio::buffer_copy(m_buffer.prepare(count),
                                      asio::buffer(m_chunk, count)));
    m_last_activity = SteadyClock::now();
    Wake();
  }
}

asio::awaitable<void> AsyncHttpConnection::ParseLoop() {
  while (!m_closed) {
    const bool may_parse = !m_last_request && m_buffer.size() > 0 &&
                           m_exchanges.size() < kMaxPipelined;
    if (may_parse && ParseBuffered()) {
      continue;
    }
    if (m_continue_wanted) {
      m_continue_wanted = false;
      error_code ignored;
      co_await asio::async_write(
          m_socket, asio::buffer(kContinue, sizeof(kContinue) - 1),
          asio::redirect_error(asio::use_awaitable, ignored));
      continue;
    }
    co_await WaitForChange();
  }
}

// Feeds buffered bytes to the parser. Returns whether it made progress.
bool AsyncHttpConnection::ParseBuffered() {
  if (!m_partial) {
    m_partial = true;
    m_request_start = SteadyClock::now();
  }
  const bool had_header = m_parser->is_header_done();
  error_code error;
  const size_t used = m_parser->put(m_buffer.data(), error);
  m_buffer.consume(used);
  if (m_reading_paused && used > 0) {
    m_reading_paused = false;
    Wake();
  }
  if (error && error != http::error::need_more) {
    RejectInput(StatusOf(error));
    return false;
  }
  if (!CheckMemory()) {
    return false;
  }
  if (m_parser->is_done()) {
    BeastRequest message = m_parser->release();
    MemoryShare memory = std::move(m_memory);
    ResetParser();
    Dispatch(std::move(message), std::move(memory));
    return true;
  }
  if (!had_header && m_parser->is_header_done()) {
    m_continue_wanted = m_exchanges.empty() &&
                        m_parser->get()[http::field::expect] == "100-continue";
  }
  return used > 0;
}

void AsyncHttpConnection::Dispatch(BeastRequest message, MemoryShare memory) {
  const auto exchange = std::make_shared<Exchange>();
  exchange->head = message.method() == http::verb::head;
  exchange->memory = std::move(memory);
  m_last_request = !message.keep_alive();
  m_exchanges.push_back(exchange);
  ++m_server->m_open_requests;
  HttpRequest request = FromBeast(std::move(message));
  request.from_this_host = m_from_this_host;
  asio::co_spawn(
      m_strand,
      [self = shared_from_this(), exchange,
       request = std::move(request)]() mutable {
        return self->RunHandler(exchange, std::move(request));
      },
      asio::detached);
}

asio::awaitable<void> AsyncHttpConnection::RunHandler(
    std::shared_ptr<Exchange> exchange,
    HttpRequest request) {
  HttpResponse response;
  try {
    response = co_await m_server->m_handler(std::move(request),
                                            exchange->cancellation);
  } catch (const std::exception&) {
    response.status = kServerError;
  }
  exchange->response = std::move(response);
  Wake();
}

bool AsyncHttpConnection::CheckMemory() {
  if (!m_parser->is_header_done()) {
    return true;
  }
  const uint64_t length = m_parser->content_length().value_or(0);
  const uint64_t body = m_parser->get().body().capacity();
  if (m_memory.GrowTo(std::max(length, body))) {
    return true;
  }
  m_body_refused = true;
  m_parser.emplace();
  m_buffer.clear();
  HttpHeaders headers;
  headers.Add("Retry-After", "1");
  RejectInput(kUnavailable, std::move(headers));
  return false;
}

void AsyncHttpConnection::RejectInput(int status, HttpHeaders headers) {
  const auto exchange = std::make_shared<Exchange>();
  exchange->response = HttpResponse{status, std::move(headers), "", false};
  ++m_server->m_open_requests;
  m_exchanges.push_back(exchange);
  m_last_request = true;
  m_partial = false;
  Wake();
}

asio::awaitable<void> AsyncHttpConnection::WriteLoop() {
  while (!m_closed) {
    if (m_exchanges.empty() || !m_exchanges.front()->response) {
      co_await WaitForChange();
      continue;
    }
    const auto exchange = m_exchanges.front();
    if (exchange->response->drop) {
      Close();
      co_return;
    }
    // Requests pipelined behind this one are already running, so the connection
    // closes only after the last response.
    if (m_server->closing()) {
      m_last_request = true;
    }
    const bool close = m_last_request && m_exchanges.size() == 1;
    const std::string text =
        SerializeResponse(*exchange->response, {close, exchange->head});
    // The response is held until the caller has taken it.
    exchange->response->body.clear();
    exchange->response->body.shrink_to_fit();
    exchange->memory.Hold(text.size());
    const error_code error = co_await m_peer.Write(text);
    if (m_closed) {
      co_return;
    }
    m_exchanges.pop_front();
    --m_server->m_open_requests;
    m_last_activity = SteadyClock::now();
    m_last_response = m_last_activity;
    if (error) {
      Close();
      co_return;
    }
    if (close) {
      FinishAndClose();
      co_return;
    }
    Wake();
  }
}

std::optional<SteadyClock::time_point> AsyncHttpConnection::NextTimeout()
    const {
  if (m_finishing) {
    return m_last_response + ToChrono(kLingerTime);
  }
  if (m_partial) {
    const Duration limit =
        m_parser->is_header_done() ? kBodyTimeout : m_limits.header_timeout;
    return m_request_start + ToChrono(limit);
  }
  if (m_exchanges.empty()) {
    return m_last_activity + ToChrono(m_limits.idle_timeout);
  }
  return std::nullopt;
}

asio::awaitable<void> AsyncHttpConnection::TimeoutLoop() {
  while (!m_closed) {
    if (!m_exchanges.empty() && m_peer.IsDead()) {
      Close();
      co_return;
    }
    const auto due = NextTimeout();
    if (due && SteadyClock::now() >= *due) {
      if (!m_partial) {
        Close();
        co_return;
      }
      RejectInput(kRequestTimeout);
    }
    const auto now = SteadyClock::now();
    const auto check = now + ToChrono(PeerWatch::kCheckInterval);
    auto wake = std::max(due.value_or(check), now);
    if (!m_exchanges.empty()) {
      wake = std::min(wake, check);
    }
    m_timeout.expires_at(wake);
    error_code ignored;
    co_await m_timeout.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
  }
}

void AsyncHttpConnection::FinishAndClose() {
  if (m_finishing || m_closed) {
    return;
  }
  m_finishing = true;
  ++m_server->m_lingering_connections;
  m_last_request = true;
  m_partial = false;
  m_continue_wanted = false;
  m_buffer.clear();
  error_code ignored;
  m_socket.shutdown(Tcp::socket::shutdown_send, ignored);
  m_timeout.cancel();
  Wake();
}

void AsyncHttpConnection::Close() {
  if (m_closed) {
    return;
  }
  m_closed = true;
  if (m_finishing) {
    --m_server->m_lingering_connections;
  }
  error_code ignored;
  m_socket.shutdown(Tcp::socket::shutdown_send, ignored);
  m_socket.close(ignored);
  for (const auto& exchange : m_exchanges) {
    exchange->cancellation->Cancel();
    --m_server->m_open_requests;
  }
  m_exchanges.clear();
  m_server->RemoveConnection(this);
  m_timeout.cancel();
  Wake();
}

}  // namespace rosemarywinch
