#ifndef ROSEMARYWINCH_ADAPTERS_ASYNC_HTTP_SERIALIZATION_H_
#define ROSEMARYWINCH_ADAPTERS_ASYNC_HTTP_SERIALIZATION_H_

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <string>
#include <string_view>

#include "rosemarywinch/interfaces/http.h"

namespace rosemarywinch {

using BeastRequest =
    boost::beast::http::request<boost::beast::http::string_body>;

/// Converts a parsed request.
HttpRequest FromBeast(BeastRequest message);

/// How a response is sent on its connection.
struct ResponseFraming {
  bool close = false;
  /// The response is to a HEAD request, so its body is omitted.
  bool head = false;
};

/// Serializes a response as HTTP/1.1 with Content-Length, except for statuses
/// without a body. Hop-by-hop headers are omitted.
std::string SerializeResponse(const HttpResponse& response,
                              ResponseFraming framing);

/// Serializes a request as HTTP/1.1 with Content-Length, which a GET or HEAD
/// without a body lacks. Hop-by-hop headers are omitted.
std::string SerializeRequest(const HttpRequest& request);

/// As SerializeRequest(), without the body, so that a large one is not copied.
std::string SerializeRequestHead(const HttpRequest& request);

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_ADAPTERS_ASYNC_HTTP_SERIALIZATION_H_
