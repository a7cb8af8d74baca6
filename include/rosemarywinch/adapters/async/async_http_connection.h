#ifndef ROSEMARYWINCH_ADAPTERS_ASYNC_ASYNC_HTTP_CONNECTION_H_
#define ROSEMARYWINCH_ADAPTERS_ASYNC_ASYNC_HTTP_CONNECTION_H_

#include <array>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <deque>
#include <memory>
#include <optional>
#include <string>

#include "rosemarywinch/adapters/async/async_http_server.h"
#include "rosemarywinch/adapters/async/http_serialization.h"
#include "rosemarywinch/adapters/async/peer_watch.h"

namespace rosemarywinch {

/// One connection of a caller. Its four loops run on one strand: one reads,
/// also while requests run, so that a disconnect is noticed; one parses and
/// starts requests; one writes the responses in the order of the requests; and
/// one enforces the timeouts.
class AsyncHttpConnection
    : public std::enable_shared_from_this<AsyncHttpConnection> {
 public:
  AsyncHttpConnection(std::shared_ptr<AsyncHttpServer> server,
                      Tcp::socket socket);

  void Start();

  /// Closes the connection if it is idle. A busy one closes after its last
  /// response, because the server is closing by then.
  void CloseWhenIdle();

  /// Returns whether the peer is a process on this host.
  bool from_this_host() const { return m_from_this_host; }

  /// Cancels the requests that have no response yet.
  void CancelOpenRequests();

 private:
  struct Exchange {
    std::shared_ptr<CancellationToken> cancellation =
        std::make_shared<CancellationToken>();
    std::optional<HttpResponse> response;
    /// Memory of the body, for as long as the exchange exists.
    MemoryShare memory;
    bool head = false;
  };
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  asio::awaitable<void> ReadLoop();
  asio::awaitable<void> ParseLoop();
  asio::awaitable<void> WriteLoop();
  asio::awaitable<void> TimeoutLoop();
  asio::awaitable<void> RunHandler(std::shared_ptr<Exchange> exchange,
                                   HttpRequest request);
  bool ParseBuffered();
  void Dispatch(BeastRequest message, MemoryShare memory);
  void RejectInput(int status, HttpHeaders headers = {});
  /// Takes memory for the body as far as its length is known. Returns whether
  /// it fits; otherwise the request is refused as not run.
  bool CheckMemory();
  void ResetParser();
  std::optional<std::chrono::steady_clock::time_point> NextTimeout() const;
  /// Sends no more and reads on without using it, until the peer closes or its
  /// last response had time to arrive. A connection that is closed with bytes
  /// unread is reset, which destroys what is on its way.
  void FinishAndClose();
  void Close();
  void Wake();
  asio::awaitable<void> WaitForChange();

  static constexpr size_t kReadBytes = 4'096;

  const std::shared_ptr<AsyncHttpServer> m_server;
  Strand m_strand;
  Tcp::socket m_socket;
  PeerWatch m_peer;
  const AsyncServerLimits m_limits;
  const bool m_from_this_host;
  /// Target of a read; the bytes are then appended to `m_buffer`.
  std::array<char, kReadBytes> m_chunk;
  boost::beast::flat_buffer m_buffer;
  std::optional<Parser> m_parser;
  MemoryShare m_memory;
  std::deque<std::shared_ptr<Exchange>> m_exchanges;
  /// Never expires; cancelled to wake the loops that wait for a change of this
  /// connection.
  asio::steady_timer m_changed;
  /// Cancelled when the next timeout has changed.
  asio::steady_timer m_timeout;
  std::chrono::steady_clock::time_point m_last_activity;
  /// When the last response had been written.
  std::chrono::steady_clock::time_point m_last_response;
  std::chrono::steady_clock::time_point m_request_start;
  bool m_partial = false;
  /// The read loop waits until the parser has taken bytes from `m_buffer`.
  bool m_reading_paused = false;
  /// No further request is parsed from this connection.
  bool m_last_request = false;
  /// Everything is written; FinishAndClose() was called.
  bool m_finishing = false;
  bool m_closed = false;
  /// The rest of a refused body is read and ignored, so that the response
  /// arrives before the connection ends.
  bool m_body_refused = false;
  /// The parse loop must send 100 Continue. Set only while no exchange is open,
  /// so that it cannot interleave with a response.
  bool m_continue_wanted = false;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_ADAPTERS_ASYNC_ASYNC_HTTP_CONNECTION_H_
