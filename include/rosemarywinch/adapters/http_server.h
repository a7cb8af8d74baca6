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
  /// 0 takes a free port.
  uint32_t port = 0;
  uint32_t max_connections = 900;
  /// A larger body is cut off one byte past the limit.
  size_t max_body_bytes = 64UL * 1024 * 1024;
};

/// HTTP server on ulfius, with a thread for each connection.
class HttpServer {
 public:
  /// Answers one request; runs on the connection's thread and may block.
  using Handler = std::function<HttpResponse(const HttpRequest&)>;

  HttpServer();
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Opens the port and serves. Errors: kPortInUse.
  Result<Done> Start(const HttpServerOptions& options, Handler handler);

  uint32_t port() const;

  /// Waits until every answer in progress has been sent whole, at most for
  /// `limit`, while new requests still reach the handler. From now on each
  /// answer closes its connection. Returns how many requests are still open.
  size_t Drain(Duration limit);

  /// Closes the port and all connections.
  void Stop();

 private:
  struct State;
  std::unique_ptr<State> m_state;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_ADAPTERS_HTTP_SERVER_H_
