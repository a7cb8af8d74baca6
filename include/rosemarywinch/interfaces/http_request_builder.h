#ifndef ROSEMARYWINCH_INTERFACES_HTTP_REQUEST_BUILDER_H_
#define ROSEMARYWINCH_INTERFACES_HTTP_REQUEST_BUILDER_H_

#include <string>
#include <utility>

#include "rosemarywinch/interfaces/http.h"

namespace rosemarywinch {

/// Fluent builder for HttpRequest:
/// `HttpRequestBuilder("POST", "/rpc").Body(text).Build()`.
class HttpRequestBuilder {
 public:
  HttpRequestBuilder(std::string method, std::string path) {
    m_request.method = std::move(method);
    m_request.path = std::move(path);
  }

  /// Sets the query, without the question mark.
  HttpRequestBuilder& Query(std::string query) {
    m_request.query = std::move(query);
    return *this;
  }

  HttpRequestBuilder& Header(std::string name, std::string value) {
    m_request.headers.Add(std::move(name), std::move(value));
    return *this;
  }

  HttpRequestBuilder& Body(std::string body) {
    m_request.body = std::move(body);
    return *this;
  }

  /// Returns the request and leaves the builder empty.
  HttpRequest Build() { return std::move(m_request); }

 private:
  HttpRequest m_request;
};

/// Fluent builder for HttpSendOptions.
class HttpSendOptionsBuilder {
 public:
  explicit HttpSendOptionsBuilder(Duration timeout) {
    m_options.timeout = timeout;
  }

  HttpSendOptionsBuilder& FreshConnection(bool fresh = true) {
    m_options.fresh_connection = fresh;
    return *this;
  }

  HttpSendOptionsBuilder& KeepWaiting(std::function<bool()> keep_waiting) {
    m_options.keep_waiting = std::move(keep_waiting);
    return *this;
  }

  HttpSendOptions Build() { return std::move(m_options); }

 private:
  HttpSendOptions m_options;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_INTERFACES_HTTP_REQUEST_BUILDER_H_
