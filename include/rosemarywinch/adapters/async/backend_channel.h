#ifndef ROSEMARYWINCH_ADAPTERS_ASYNC_BACKEND_CHANNEL_H_
#define ROSEMARYWINCH_ADAPTERS_ASYNC_BACKEND_CHANNEL_H_

#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "rosemarywinch/adapters/async/cancellation_token.h"
#include "rosemarywinch/adapters/async/net.h"
#include "rosemarywinch/adapters/http_response_reader.h"
#include "rosemarywinch/adapters/shared_response_budget.h"
#include "rosemarywinch/interfaces/backend_server.h"

namespace rosemarywinch {

/// Returns whether a response belongs to the request that was sent. `reused`
/// tells that the connection has served other requests, whose responses may
/// come again.
using ResponseMatcher =
    std::function<bool(const HttpResponse& response, bool reused)>;

/// Sends requests to one backend server over a pool of persistent connections,
/// one request at a time on each. Thread-safe.
///
/// Only complete and sound responses are returned. A response to another
/// request is discarded; a connection on which one arrived, or on which bytes
/// follow a response, is not reused. The memory of unfinished responses is
/// bounded; a response without end is broken off.
class BackendChannel {
 public:
  explicit BackendChannel(std::string address);

  /// Sends `request` and waits for its response for `limit` at most. The
  /// time for opening a connection is not counted; it has a limit of its own.
  asio::awaitable<BackendResult> Send(
      HttpRequest request,
      ResponseMatcher matches,
      Duration limit,
      std::shared_ptr<CancellationToken> cancellation);

  /// Closes the idle connections, for instance when the backend server has
  /// been replaced.
  void CloseIdle();

 private:
  struct Connection {
    explicit Connection(Tcp::socket opened) : socket(std::move(opened)) {}
    Tcp::socket socket;
    std::chrono::steady_clock::time_point usable_until;
  };
  class Attempt;

  /// Feeds `reader` until it is finished or the connection ends.
  static asio::awaitable<void> ReadResponse(Connection& connection,
                                            HttpResponseReader::Buffer& buffer,
                                            HttpResponseReader& reader);
  std::unique_ptr<Connection> TakeIdle();
  void AddIdle(std::unique_ptr<Connection> connection,
               const HttpResponse& response);

  const std::string m_address;
  std::mutex m_mutex;
  std::vector<std::unique_ptr<Connection>> m_idle;
  const std::shared_ptr<SharedResponseBudget> m_budget =
      std::make_shared<SharedResponseBudget>();
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_ADAPTERS_ASYNC_BACKEND_CHANNEL_H_
