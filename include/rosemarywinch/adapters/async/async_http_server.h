#ifndef ROSEMARYWINCH_ADAPTERS_ASYNC_ASYNC_HTTP_SERVER_H_
#define ROSEMARYWINCH_ADAPTERS_ASYNC_ASYNC_HTTP_SERVER_H_

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "rosemarywinch/adapters/async/cancellation_token.h"
#include "rosemarywinch/adapters/async/net.h"
#include "rosemarywinch/decisions/traffic/memory_budget.h"
#include "rosemarywinch/interfaces/http.h"

namespace rosemarywinch {

/// Limits on requests and connections of callers.
struct AsyncServerLimits {
  uint64_t max_header_bytes = 16'384;
  uint64_t max_body_bytes = 67'108'864;
  /// From the first byte of a request to the end of its headers.
  Duration header_timeout{3'000};
  Duration idle_timeout{15'000};
};

/// Handles one request. `cancellation` is cancelled when the caller
/// disconnects.
using AsyncHandler = std::function<asio::awaitable<HttpResponse>(
    HttpRequest request,
    std::shared_ptr<CancellationToken> cancellation)>;

class AsyncHttpConnection;

/// HTTP/1.1 server on an io_context. Pipelined requests run concurrently; their
/// responses are sent in order. Thread-safe.
class AsyncHttpServer : public std::enable_shared_from_this<AsyncHttpServer> {
 public:
  /// `memory` bounds the bodies of requests, null: unbounded. It must outlive
  /// the handlers that run on `context`.
  AsyncHttpServer(asio::io_context& context,
                  AsyncHandler handler,
                  MemoryBudget* memory = nullptr)
      : m_context(context),
        m_strand(asio::make_strand(context.get_executor())),
        m_handler(std::move(handler)),
        m_memory(memory) {}

  /// Starts accepting connections. Errors: kBadValue, kPortInUse.
  Result<Done> Start(const std::string& address);

  void SetLimits(const AsyncServerLimits& limits);
  AsyncServerLimits limits() const;

  /// From now on each connection closes after its outstanding responses.
  void BeginClosing();
  bool closing() const { return m_closing; }

  /// Closes the connections of other hosts as they become idle, and accepts
  /// only those of processes on this host from now on.
  void CloseToOtherHosts();

  /// Cancels the requests that have no response yet, so that their handlers end
  /// them with one.
  void CancelOpenRequests();

  /// Stops accepting connections and closes existing ones as they become idle.
  void Stop();

  /// Number of requests that were read and whose response is not sent yet.
  size_t open_requests() const { return m_open_requests; }

  /// Number of connections that are closing and whose last response may still
  /// be on its way.
  size_t lingering_connections() const { return m_lingering_connections; }

 private:
  friend class AsyncHttpConnection;

  void AddConnection(Tcp::socket socket);
  void RemoveConnection(const AsyncHttpConnection* connection);
  std::vector<std::shared_ptr<AsyncHttpConnection>> OpenConnections() const;

  asio::io_context& m_context;
  /// Serializes access to the listening socket.
  Strand m_strand;
  const AsyncHandler m_handler;
  MemoryBudget* const m_memory;
  std::unique_ptr<Tcp::acceptor> m_acceptor;
  std::atomic<bool> m_closing{false};
  std::atomic<bool> m_closed_to_other_hosts{false};
  std::atomic<size_t> m_open_requests{0};
  std::atomic<size_t> m_lingering_connections{0};
  mutable std::mutex m_mutex;
  AsyncServerLimits m_limits;
  std::map<const AsyncHttpConnection*, std::weak_ptr<AsyncHttpConnection>>
      m_connections;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_ADAPTERS_ASYNC_ASYNC_HTTP_SERVER_H_
