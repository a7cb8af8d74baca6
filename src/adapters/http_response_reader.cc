#include "rosemarywinch/adapters/http_response_reader.h"

#include <string>
#include <string_view>
#include <utility>

namespace rosemarywinch {

namespace {

namespace http = boost::beast::http;
namespace asio = boost::asio;
using boost::system::error_code;

// Returns a head that states the framing of a response and nothing else.
std::string FramingOf(const ResponseHead& head) {
  std::string text = "HTTP/1." + std::to_string(head.minor_version) + " " +
                     std::to_string(head.status) + " \r\n";
  if (head.chunked) {
    text += "Transfer-Encoding: chunked\r\n";
  } else if (head.body_length) {
    text += "Content-Length: " + std::to_string(*head.body_length) + "\r\n";
  }
  for (const HttpHeader& header : head.headers.all()) {
    if (SameHeaderName(header.name, "Connection")) {
      text += "Connection: " + header.value + "\r\n";
    }
  }
  return text + "\r\n";
}

ResponseFault FaultOf(error_code error) {
  const bool too_large =
      error == http::error::body_limit || error == http::error::header_limit;
  return too_large ? ResponseFault::kTooLarge : ResponseFault::kBody;
}

}  // namespace

HttpResponseReader::HttpResponseReader(
    const std::shared_ptr<SharedResponseBudget>& budget,
    bool without_body)
    : m_without_body(without_body), m_share(budget) {}

bool HttpResponseReader::finished() const {
  return m_fault != ResponseFault::kNone || complete();
}

bool HttpResponseReader::complete() const {
  return m_fault == ResponseFault::kNone && m_body_parser &&
         m_body_parser->is_done();
}

bool HttpResponseReader::keep_alive() const {
  return m_body_parser->keep_alive() && !m_body_parser->need_eof();
}

void HttpResponseReader::Read(Buffer& buffer) {
  if (!m_body_parser) {
    ReadHead(buffer);
  }
  if (m_body_parser && !finished()) {
    ReadBody(buffer);
  }
}

void HttpResponseReader::ReadEnd() {
  if (finished()) {
    return;
  }
  if (!m_body_parser || !m_body_parser->need_eof()) {
    BreakOff();
    return;
  }
  error_code error;
  m_body_parser->put_eof(error);
  if (error) {
    m_fault = FaultOf(error);
  }
}

void HttpResponseReader::BreakOff() {
  if (!finished()) {
    m_fault = ResponseFault::kTruncated;
  }
}

void HttpResponseReader::ReadHead(Buffer& buffer) {
  while (!finished() && !m_head_reader.complete()) {
    const std::string_view text(static_cast<const char*>(buffer.data().data()),
                                buffer.size());
    const size_t end = text.find('\n');
    const size_t length = end == std::string_view::npos ? text.size() : end + 1;
    if (m_head_bytes + length > SharedResponseBudget::kMaxHeadBytes) {
      m_fault = ResponseFault::kTooLarge;
      return;
    }
    if (end == std::string_view::npos) {
      return;
    }
    m_fault = m_head_reader.TakeLine(text.substr(0, length));
    m_head_bytes += length;
    buffer.consume(length);
  }
  if (m_fault == ResponseFault::kNone) {
    BeginBody();
  }
}

void HttpResponseReader::BeginBody() {
  m_body_parser.emplace();
  m_body_parser->eager(true);
  m_body_parser->body_limit(SharedResponseBudget::kMaxBodyBytes);
  m_body_parser->header_limit(SharedResponseBudget::kMaxHeadBytes);
  m_body_parser->skip(m_without_body);
  const std::string framing = FramingOf(m_head_reader.head());
  error_code error;
  m_body_parser->put(asio::buffer(framing), error);
  if (error && error != http::error::need_more) {
    m_fault = FaultOf(error);
  }
}

void HttpResponseReader::ReadBody(Buffer& buffer) {
  error_code error;
  while (!error && !m_body_parser->is_done() && buffer.size() > 0) {
    buffer.consume(m_body_parser->put(buffer.data(), error));
  }
  const bool stuck =
      !m_body_parser->is_done() && buffer.size() >= kMaxBufferBytes;
  if (error && error != http::error::need_more) {
    m_fault = FaultOf(error);
  } else if (stuck || !m_share.Grow(m_body_parser->get().body().size())) {
    m_fault = ResponseFault::kTooLarge;
  }
}

HttpResponse HttpResponseReader::Release() {
  HttpResponse response;
  response.status = m_head_reader.head().status;
  response.headers = m_head_reader.head().headers;
  response.body = std::move(m_body_parser->get().body());
  return response;
}

}  // namespace rosemarywinch
