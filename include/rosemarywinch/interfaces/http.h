#ifndef ROSEMARYWINCH_INTERFACES_HTTP_H_
#define ROSEMARYWINCH_INTERFACES_HTTP_H_

#include <functional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "rosemarywinch/core/error.h"
#include "rosemarywinch/core/time.h"

namespace rosemarywinch {

struct HttpHeader {
  std::string name;
  std::string value;
};

/// Headers in the order in which they came; names ignore case.
class HttpHeaders {
 public:
  void Add(std::string name, std::string value);
  void Remove(std::string_view name);
  /// Removes the headers that speak of one connection only; whoever passes a
  /// message on writes its own.
  void RemoveConnectionHeaders();
  /// Returns the first value of `name`, or null.
  const std::string* Find(std::string_view name) const;
  const std::vector<HttpHeader>& all() const { return m_headers; }

 private:
  std::vector<HttpHeader> m_headers;
};

/// Tells whether two header names are the same; ASCII case is ignored.
bool SameHeaderName(std::string_view a, std::string_view b);

/// Tells whether a header speaks of one connection and not of the message.
bool IsConnectionHeader(std::string_view name);

struct HttpRequest {
  std::string method = "GET";
  /// Path with its leading slash, without the query.
  std::string path = "/";
  /// Query without the question mark; may be empty.
  std::string query;
  /// Path and query as they came in; empty for a request made here.
  std::string target;
  HttpHeaders headers;
  std::string body;
};

struct HttpResponse {
  int status = 200;
  HttpHeaders headers;
  std::string body;
  /// The caller's connection is to be closed without an answer.
  bool drop = false;
};

/// The request never left this process: it certainly did not run.
struct NotSent {
  Error error;
};

/// The request left, but no whole answer came: it may have run.
struct ResponseLost {
  Error error;
};

using HttpResult = std::variant<HttpResponse, NotSent, ResponseLost>;

/// How to send one request.
struct HttpSendOptions {
  Duration timeout{5000};
  /// Sends on a new connection, so that no library resends by itself.
  bool fresh_connection = false;
  /// Called about once a second while no answer has come; returning false
  /// gives the request up.
  std::function<bool()> keep_waiting;
};

/// Client side of HTTP. Implementations are thread-safe.
class HttpChannel {
 public:
  virtual ~HttpChannel() = default;

  /// Sends `request` to `address` (HOST:PORT) and waits for the whole answer.
  virtual HttpResult Send(const std::string& address,
                          const HttpRequest& request,
                          const HttpSendOptions& options) = 0;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_INTERFACES_HTTP_H_
