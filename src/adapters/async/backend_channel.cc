#include "rosemarywinch/adapters/async/backend_channel.h"

#include <algorithm>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <charconv>
#include <optional>
#include <utility>

#include "rosemarywinch/adapters/async/http_text.h"

namespace rosemarywinch {

namespace {

namespace http = boost::beast::http;
using boost::system::error_code;
using SteadyClock = std::chrono::steady_clock;

constexpr Duration kConnectLimit{1'000};
constexpr Duration kSilence{2'000};
// Where the backend server says nothing of how long it keeps connections.
constexpr Duration kKeptWithoutWord{4'000};
// A connection is left alone this long before the other side would close it.
constexpr Duration kKeepMargin{1'000};
// Answers to earlier requests that are passed over before ours.
constexpr int kMaxForeignAnswers = 3;
constexpr uint64_t kMaxAnswerBytes = 67'108'864;
constexpr uint32_t kMaxHeaderBytes = 65'536;

std::chrono::milliseconds ToChrono(Duration length) {
  return std::chrono::milliseconds(length.ms);
}

// Reads the time from `Keep-Alive: timeout=SECONDS`.
Duration KeptFor(const HttpResponse& response) {
  const std::string* value = response.headers.Find("Keep-Alive");
  const size_t at =
      value == nullptr ? std::string::npos : value->find("timeout=");
  if (at == std::string::npos) {
    return kKeptWithoutWord;
  }
  constexpr size_t kNameLength = 8;
  int64_t seconds = 0;
  std::from_chars(value->data() + at + kNameLength,
                  value->data() + value->size(), seconds);
  return Duration{seconds * 1000} - kKeepMargin;
}

// Bytes that lie ready on an idle connection belong to no request, and an end
// of the stream says that it is closed.
bool IsClean(Tcp::socket& socket) {
  error_code error;
  socket.non_blocking(true, error);
  char byte = 0;
  socket.receive(asio::buffer(&byte, 1), Tcp::socket::message_peek, error);
  return error == asio::error::would_block;
}

}  // namespace

/// One request on one connection, with a limit on its time. Cancels itself
/// when the time is over or the caller has gone.
class BackendChannel::Attempt {
 public:
  Attempt(const asio::any_io_executor& executor,
          Connection& connection,
          Duration limit,
          std::shared_ptr<RequestScope> scope)
      : m_state(std::make_shared<State>(executor, connection)),
        m_watch(std::move(scope), [state = m_state, executor] {
          asio::post(executor,
                     [state] { state->End(BackendCallStatus::kCallerGone); });
        }) {
    m_state->timer.expires_after(ToChrono(limit));
    m_state->timer.async_wait([state = m_state](error_code cancelled) {
      if (!cancelled) {
        state->End(BackendCallStatus::kTimedOut);
      }
    });
  }
  ~Attempt() {
    m_state->connection = nullptr;
    m_state->timer.cancel();
  }
  Attempt(const Attempt&) = delete;
  Attempt& operator=(const Attempt&) = delete;

  /// Why the attempt was cut short, if it was.
  std::optional<BackendCallStatus> cut() const { return m_state->cut; }

 private:
  struct State {
    State(const asio::any_io_executor& executor, Connection& used)
        : timer(executor), connection(&used) {}
    void End(BackendCallStatus why) {
      if (connection != nullptr && !cut) {
        cut = why;
        error_code ignored;
        connection->socket.close(ignored);
      }
    }
    asio::steady_timer timer;
    Connection* connection;
    std::optional<BackendCallStatus> cut;
  };

  const std::shared_ptr<State> m_state;
  const ScopeWatch m_watch;
};

asio::awaitable<BackendResult> BackendChannel::Send(
    HttpRequest request,
    BelongsToRequest belongs,
    Duration limit,
    std::shared_ptr<RequestScope> scope) {
  const auto executor = co_await asio::this_coro::executor;
  BackendResult result;
  std::unique_ptr<Connection> connection = TakeKept();
  error_code error;
  if (connection == nullptr) {
    connection = std::make_unique<Connection>(Tcp::socket(executor));
    const Outcome<Tcp::endpoint> endpoint =
        Capture([&] { return ParseEndpoint(m_address); });
    if (const auto* target = std::get_if<Tcp::endpoint>(&endpoint)) {
      co_await Connect(connection->socket, *target,
                       std::min(limit, kConnectLimit), error);
    }
    if (error || !connection->socket.is_open()) {
      result.refused = error == asio::error::connection_refused;
      co_return result;
    }
    SetConnectionOptions(connection->socket, kSilence);
  }
  Attempt attempt(executor, *connection, limit, scope);
  const std::string text = RequestText(request);
  co_await asio::async_write(connection->socket, asio::buffer(text),
                             asio::redirect_error(asio::use_awaitable, error));
  boost::beast::flat_buffer buffer;
  bool clean = true;
  for (int i = 0; !error && i <= kMaxForeignAnswers; ++i) {
    http::response_parser<http::string_body> parser;
    parser.body_limit(kMaxAnswerBytes);
    parser.header_limit(kMaxHeaderBytes);
    if (request.method == "HEAD") {
      parser.skip(true);
    }
    co_await http::async_read(connection->socket, buffer, parser,
                              asio::redirect_error(asio::use_awaitable, error));
    if (error || !parser.is_done()) {
      break;
    }
    const bool kept = parser.get().keep_alive() && !parser.get().need_eof();
    result.response = FromBeast(parser.release());
    if (belongs(result.response)) {
      result.status = BackendCallStatus::kAnswered;
      if (kept && clean && buffer.size() == 0 && !attempt.cut()) {
        Keep(std::move(connection), result.response);
      }
      co_return result;
    }
    clean = false;
  }
  result.response = {};
  result.status = attempt.cut().value_or(BackendCallStatus::kBroken);
  co_return result;
}

void BackendChannel::Clear() {
  std::scoped_lock lock(m_mutex);
  m_kept.clear();
}

std::unique_ptr<BackendChannel::Connection> BackendChannel::TakeKept() {
  const auto now = SteadyClock::now();
  std::scoped_lock lock(m_mutex);
  while (!m_kept.empty()) {
    std::unique_ptr<Connection> connection = std::move(m_kept.back());
    m_kept.pop_back();
    if (now < connection->usable_until && IsClean(connection->socket)) {
      return connection;
    }
  }
  return nullptr;
}

void BackendChannel::Keep(std::unique_ptr<Connection> connection,
                          const HttpResponse& response) {
  connection->usable_until = SteadyClock::now() + ToChrono(KeptFor(response));
  std::scoped_lock lock(m_mutex);
  m_kept.push_back(std::move(connection));
}

}  // namespace rosemarywinch
