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
using BeastResponse =
    boost::beast::http::response<boost::beast::http::string_body>;

/// Takes over a parsed request.
HttpRequest FromBeast(BeastRequest message);

/// Takes over a parsed response.
HttpResponse FromBeast(BeastResponse message);

/// How an answer leaves on its connection.
struct ResponseFraming {
  bool close = false;
  /// The answer belongs to a HEAD request, so its body stays away.
  bool head = false;
};

/// Writes an answer as HTTP/1.1 text with its length.
std::string SerializeResponse(const HttpResponse& response,
                              ResponseFraming framing);

/// Writes a request as HTTP/1.1 text with its length.
std::string SerializeRequest(const HttpRequest& request);

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_ADAPTERS_ASYNC_HTTP_SERIALIZATION_H_
