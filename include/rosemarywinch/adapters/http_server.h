#ifndef ROSEMARYWINCH_ADAPTERS_HTTP_SERVER_H_
#define ROSEMARYWINCH_ADAPTERS_HTTP_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "rosemarywinch/core/error.h"
#include "rosemarywinch/core/time.h"
#include "rosemarywinch/interfaces/http.h"

namespace rosemarywinch {

struct HttpServerOptions {
  std::string address = "127.0.0.1";
  /// 0 selects a free port.
  uint32_t port = 0;
  uint32_t max_connections = 900;
  /// A larger body is truncated one byte past the limit.
  size_t max_body_bytes = 64UL * 1024 * 1024;
};

/// HTTP server on ulfius, with one thread per connection.
class HttpServer {
 public:
  /// Handles one request; runs on the connection's thread and may block.
  using Handler = std::function<HttpResponse(const HttpRequest&)>;

  HttpServer();
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Opens the port and starts serving. Errors: kPortInUse.
  Result<Done> Start(const HttpServerOptions& options, Handler handler);

  uint32_t port() const;

  /// Waits until all open requests have completed, for `limit` at most. New
  /// requests still reach the handler, but from now on each response closes its
  /// connection. Returns the number of requests still open.
  size_t Drain(Duration limit);

  /// Closes the port and all connections.
  void Stop();

 private:
  struct State;
  std::unique_ptr<State> m_state;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_ADAPTERS_HTTP_SERVER_H_
