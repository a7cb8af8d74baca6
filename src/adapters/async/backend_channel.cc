#include "rosemarywinch/adapters/async/backend_channel.h"

#include <algorithm>
#include <array>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/read_size.hpp>
#include <charconv>
#include <optional>
#include <utility>

#include "rosemarywinch/adapters/async/http_serialization.h"

namespace rosemarywinch {

namespace {

using boost::system::error_code;
using SteadyClock = std::chrono::steady_clock;

constexpr Duration kConnectTimeout{1'000};
constexpr Duration kDeadPeerTimeout{2'000};
// Used when the backend server sends no keep-alive timeout.
constexpr Duration kDefaultKeepAlive{4'000};
// Longer keep-alive timeouts are not relied on.
constexpr int64_t kMaxKeepAliveSeconds = 3'600;
// Idle connections are not reused this close to the peer's keep-alive timeout:
// the peer could close them just as a request is sent.
constexpr Duration kKeepAliveMargin{1'000};
// Responses to earlier requests that are skipped before an attempt fails.
constexpr int kMaxStaleResponses = 3;
// Maximum number of bytes that one read takes.
constexpr size_t kMaxReadBytes = 65'536;

std::chrono::milliseconds ToChrono(Duration length) {
  return std::chrono::milliseconds(length.ms);
}

// Returns how long a connection may be reused, from `Keep-Alive:
// timeout=SECONDS`.
Duration KeepAliveOf(const HttpResponse& response) {
  const std::string* value = response.headers.Find("Keep-Alive");
  const size_t at =
      value == nullptr ? std::string::npos : value->find("timeout=");
  if (at == std::string::npos) {
    return kDefaultKeepAlive;
  }
  constexpr size_t kNameLength = 8;
  int64_t seconds = 0;
  std::from_chars(value->data() + at + kNameLength,
                  value->data() + value->size(), seconds);
  const int64_t bounded = std::clamp<int64_t>(seconds, 0, kMaxKeepAliveSeconds);
  return Duration{bounded * 1000} - kKeepAliveMargin;
}

// Readable bytes on an idle connection belong to no request, and an end of
// stream means that the peer closed it; neither connection can be reused.
bool IsReusable(Tcp::socket& socket) {
  error_code error;
  socket.non_blocking(true, error);
  char byte = 0;
  socket.receive(asio::buffer(&byte, 1), Tcp::socket::message_peek, error);
  return error == asio::error::would_block;
}

}  // namespace

/// One request on one connection. Closes the connection when the time limit
/// expires or the caller disconnects.
class BackendChannel::Attempt {
 public:
  Attempt(const asio::any_io_executor& executor,
          Connection& connection,
          Duration limit,
          std::shared_ptr<CancellationToken> cancellation)
      : m_state(std::make_shared<State>(executor, connection)),
        m_on_cancel(std::move(cancellation), [state = m_state, executor] {
          asio::post(executor,
                     [state] { state->Abort(BackendCallStatus::kCallerGone); });
        }) {
    m_state->timer.expires_after(ToChrono(limit));
    m_state->timer.async_wait([state = m_state](error_code cancelled) {
      if (!cancelled) {
        state->Abort(BackendCallStatus::kTimedOut);
      }
    });
  }
  ~Attempt() {
    m_state->connection = nullptr;
    m_state->timer.cancel();
  }
  Attempt(const Attempt&) = delete;
  Attempt& operator=(const Attempt&) = delete;

  /// Why the attempt was aborted, if it was.
  std::optional<BackendCallStatus> abort_reason() const {
    return m_state->abort_reason;
  }

 private:
  struct State {
    State(const asio::any_io_executor& executor, Connection& used)
        : timer(executor), connection(&used) {}
    void Abort(BackendCallStatus reason) {
      if (connection != nullptr && !abort_reason) {
        abort_reason = reason;
        error_code ignored;
        connection->socket.close(ignored);
      }
    }
    asio::steady_timer timer;
    Connection* connection;
    std::optional<BackendCallStatus> abort_reason;
  };

  const std::shared_ptr<State> m_state;
  const CancellationCallback m_on_cancel;
};

BackendChannel::BackendChannel(std::string address)
    : m_address(std::move(address)) {}

asio::awaitable<BackendResult> BackendChannel::Send(
    HttpRequest request,
    ResponseMatcher matches,
    Duration limit,
    std::shared_ptr<CancellationToken> cancellation) {
  const auto executor = co_await asio::this_coro::executor;
  BackendResult result;
  std::unique_ptr<Connection> connection = TakeIdle();
  const bool reused = connection != nullptr;
  error_code error;
  if (connection == nullptr) {
    connection = std::make_unique<Connection>(Tcp::socket(executor));
    const Outcome<Tcp::endpoint> endpoint =
        Capture([&] { return ParseEndpoint(m_address); });
    if (const auto* target = std::get_if<Tcp::endpoint>(&endpoint)) {
      co_await Connect(connection->socket, *target,
                       std::min(limit, kConnectTimeout), error);
    }
    if (error || !connection->socket.is_open()) {
      result.refused = error == asio::error::connection_refused;
      co_return result;
    }
    SetConnectionOptions(connection->socket, kDeadPeerTimeout);
  }
  Attempt attempt(executor, *connection, limit, cancellation);
  const std::string head = SerializeRequestHead(request);
  const std::array<asio::const_buffer, 2> parts{asio::buffer(head),
                                                asio::buffer(request.body)};
  co_await asio::async_write(connection->socket, parts,
                             asio::redirect_error(asio::use_awaitable, error));
  HttpResponseReader::Buffer buffer(HttpResponseReader::kMaxBufferBytes);
  bool in_sync = true;
  for (int i = 0; !error && i <= kMaxStaleResponses; ++i) {
    HttpResponseReader reader(m_budget, request.method == "HEAD");
    co_await ReadResponse(*connection, buffer, reader);
    if (!reader.complete()) {
      if (!attempt.abort_reason()) {
        result.fault = reader.fault();
      }
      break;
    }
    HttpResponse response = reader.Release();
    if (matches(response, reused)) {
      result.status = BackendCallStatus::kAnswered;
      result.response = std::move(response);
      if (reader.keep_alive() && in_sync && buffer.size() == 0 &&
          !attempt.abort_reason()) {
        AddIdle(std::move(connection), result.response);
      }
      co_return result;
    }
    in_sync = false;
  }
  result.status = attempt.abort_reason().value_or(BackendCallStatus::kBroken);
  co_return result;
}

asio::awaitable<void> BackendChannel::ReadResponse(
    Connection& connection,
    HttpResponseReader::Buffer& buffer,
    HttpResponseReader& reader) {
  reader.Read(buffer);
  while (!reader.finished()) {
    error_code error;
    const size_t count = co_await connection.socket.async_read_some(
        buffer.prepare(boost::beast::read_size(buffer, kMaxReadBytes)),
        asio::redirect_error(asio::use_awaitable, error));
    buffer.commit(count);
    if (!error) {
      reader.Read(buffer);
    } else if (error == asio::error::eof) {
      reader.ReadEnd();
    } else {
      reader.BreakOff();
    }
  }
}

void BackendChannel::CloseIdle() {
  std::scoped_lock lock(m_mutex);
  m_idle.clear();
}

std::unique_ptr<BackendChannel::Connection> BackendChannel::TakeIdle() {
  const auto now = SteadyClock::now();
  std::scoped_lock lock(m_mutex);
  while (!m_idle.empty()) {
    std::unique_ptr<Connection> connection = std::move(m_idle.back());
    m_idle.pop_back();
    if (now < connection->usable_until && IsReusable(connection->socket)) {
      return connection;
    }
  }
  return nullptr;
}

void BackendChannel::AddIdle(std::unique_ptr<Connection> connection,
                             const HttpResponse& response) {
  connection->usable_until =
      SteadyClock::now() + ToChrono(KeepAliveOf(response));
  std::scoped_lock lock(m_mutex);
  m_idle.push_back(std::move(connection));
}

}  // namespace rosemarywinch
