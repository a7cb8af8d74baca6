#include "rosemarywinch/adapters/async/http_serialization.h"

#include <algorithm>
#include <array>
#include <boost/beast/http/status.hpp>
#include <utility>

namespace rosemarywinch {

namespace {

namespace http = boost::beast::http;

constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

// Headers that apply to one connection only or are written by the serializer,
// in addition to those listed in `Connection`.
constexpr std::array<std::string_view, 9> kHopByHopHeaders{
    "Connection", "Content-Length",    "Expect",
    "Keep-Alive", "Proxy-Connection",  "TE",
    "Trailer",    "Transfer-Encoding", "Upgrade"};

bool IsHopByHopHeader(std::string_view name) {
  return std::any_of(
      kHopByHopHeaders.begin(), kHopByHopHeaders.end(),
      [&](std::string_view other) { return SameHeaderName(name, other); });
}

void AppendHeaders(std::string& text, const HttpHeaders& headers) {
  for (const HttpHeader& header : headers.all()) {
    if (!IsHopByHopHeader(header.name) &&
        !headers.IsListedInConnection(header.name)) {
      text += header.name + ": " + header.value + "\r\n";
    }
  }
}

bool IsBodiless(int status) {
  return status == kNoContent || status == kNotModified;
}

}  // namespace

HttpRequest FromBeast(BeastRequest message) {
  HttpRequest request;
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  const size_t mark = request.target.find('?');
  request.path = request.target.substr(0, mark);
  if (mark != std::string::npos) {
    request.query = request.target.substr(mark + 1);
  }
  for (const auto& field : message) {
    request.headers.Add(std::string(field.name_string()),
                        std::string(field.value()));
  }
  request.body = std::move(message.body());
  return request;
}

std::string SerializeResponse(const HttpResponse& response,
                              ResponseFraming framing) {
  const auto reason =
      http::obsolete_reason(static_cast<http::status>(response.status));
  std::string text = "HTTP/1.1 " + std::to_string(response.status) + " " +
                     std::string(reason) + "\r\n";
  AppendHeaders(text, response.headers);
  if (framing.close) {
    text += "Connection: close\r\n";
  }
  if (!IsBodiless(response.status)) {
    text += "Content-Length: " + std::to_string(response.body.size()) + "\r\n";
  }
  text += "\r\n";
  if (!framing.head && !IsBodiless(response.status)) {
    text += response.body;
  }
  return text;
}

std::string SerializeRequestHead(const HttpRequest& request) {
  std::string text = request.method + " ";
  if (!request.target.empty()) {
    text += request.target;
  } else {
    text += request.path + (request.query.empty() ? "" : "?" + request.query);
  }
  text += " HTTP/1.1\r\n";
  AppendHeaders(text, request.headers);
  const bool omit_length = request.body.empty() && (request.method == "GET" ||
                                                    request.method == "HEAD");
  if (!omit_length) {
    text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
  }
  return text + "\r\n";
}

std::string SerializeRequest(const HttpRequest& request) {
  return SerializeRequestHead(request) + request.body;
}

}  // namespace rosemarywinch
