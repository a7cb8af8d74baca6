#ifndef ROSEMARYWINCH_ADAPTERS_ASYNC_BACKEND_CHANNEL_H_
#define ROSEMARYWINCH_ADAPTERS_ASYNC_BACKEND_CHANNEL_H_

#include <boost/beast/core/flat_buffer.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "rosemarywinch/adapters/async/cancellation_token.h"
#include "rosemarywinch/adapters/async/net.h"
#include "rosemarywinch/interfaces/backend_server.h"

namespace rosemarywinch {

/// Tells whether an answer belongs to the request that was sent.
using ResponseMatcher = std::function<bool(const HttpResponse& response)>;

/// Sends requests to one backend server over connections that are kept, one
/// request at a time on each. Thread-safe.
///
/// Only whole answers come back. An answer that belongs to another request is
/// dropped, and a connection that showed one, or bytes behind an answer, is not
/// used again.
class BackendChannel {
 public:
  explicit BackendChannel(std::string address)
      : m_address(std::move(address)) {}

  /// Sends `request` and waits for its answer until `limit` is over.
  asio::awaitable<BackendResult> Send(
      HttpRequest request,
      ResponseMatcher matches,
      Duration limit,
      std::shared_ptr<CancellationToken> cancellation);

  /// Closes the kept connections, for instance of an ended backend server.
  void CloseIdle();

 private:
  struct Connection {
    explicit Connection(Tcp::socket opened) : socket(std::move(opened)) {}
    Tcp::socket socket;
    std::chrono::steady_clock::time_point usable_until;
  };
  class Attempt;

  std::unique_ptr<Connection> TakeIdle();
  void AddIdle(std::unique_ptr<Connection> connection,
               const HttpResponse& response);

  const std::string m_address;
  std::mutex m_mutex;
  std::vector<std::unique_ptr<Connection>> m_idle;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_ADAPTERS_ASYNC_BACKEND_CHANNEL_H_
