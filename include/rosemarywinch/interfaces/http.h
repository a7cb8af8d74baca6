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

/// Header list in the order of arrival; names are case-insensitive.
class HttpHeaders {
 public:
  void Add(std::string name, std::string value);
  void Remove(std::string_view name);
  /// Removes the headers that are not forwarded: see IsConnectionHeader() and
  /// IsListedInConnection().
  void RemoveConnectionHeaders();
  /// Returns whether the sender lists `name` in a Connection header, as one
  /// that applies to its connection only.
  bool IsListedInConnection(std::string_view name) const;
  /// Returns the first value of `name`, or null when there is none.
  const std::string* Find(std::string_view name) const;
  const std::vector<HttpHeader>& all() const { return m_headers; }

 private:
  std::vector<HttpHeader> m_headers;
};

/// Compares two header names, ignoring ASCII case.
bool SameHeaderName(std::string_view a, std::string_view b);

/// Returns whether a header applies to one connection only and must not be
/// forwarded: hop-by-hop headers and those that each hop writes itself, such as
/// Content-Length, Date and Host.
bool IsConnectionHeader(std::string_view name);

struct HttpRequest {
  std::string method = "GET";
  /// Path with a leading slash, without the query.
  std::string path = "/";
  /// Query without the question mark; may be empty.
  std::string query;
  /// Path and query as received; empty for a request created in this process.
  std::string target;
  HttpHeaders headers;
  std::string body;
  /// The sender is a process on this host.
  bool from_this_host = false;
};

struct HttpResponse {
  int status = 200;
  HttpHeaders headers;
  std::string body;
  /// Closes the caller's connection without a response.
  bool drop = false;
};

/// The request was not sent, so it certainly did not run.
struct NotSent {
  Error error;
};

/// The request was sent, but no complete response arrived: it may have run.
struct ResponseLost {
  Error error;
};

using HttpResult = std::variant<HttpResponse, NotSent, ResponseLost>;

/// Options for sending one request.
struct HttpSendOptions {
  Duration timeout{5000};
  /// Uses a new connection, because HTTP libraries resend a request by
  /// themselves when a reused connection fails.
  bool fresh_connection = false;
  /// Called about once a second while waiting for the response; returning false
  /// cancels the request.
  std::function<bool()> keep_waiting;
};

/// HTTP client. Implementations are thread-safe.
class HttpChannel {
 public:
  virtual ~HttpChannel() = default;

  /// Sends `request` to `address` (HOST:PORT) and waits for the complete
  /// response.
  virtual HttpResult Send(const std::string& address,
                          const HttpRequest& request,
                          const HttpSendOptions& options) = 0;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_INTERFACES_HTTP_H_
