#ifndef ROSEMARYWINCH_ADAPTERS_HTTP_RESPONSE_READER_H_
#define ROSEMARYWINCH_ADAPTERS_HTTP_RESPONSE_READER_H_

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstddef>
#include <memory>
#include <optional>

#include "rosemarywinch/adapters/shared_response_budget.h"
#include "rosemarywinch/decisions/traffic/response_head.h"
#include "rosemarywinch/interfaces/http.h"

namespace rosemarywinch {

/// Reads one HTTP/1.x response out of the bytes of a connection, whatever
/// transports them. Only a response is returned whose head is sound and whose
/// body is complete. Fields of a trailer are checked and dropped. The memory
/// of the body counts towards a budget that several responses share.
class HttpResponseReader {
 public:
  /// Bytes that were received and belong to no response yet.
  using Buffer = boost::beast::flat_buffer;

  /// Largest size of a Buffer in bytes, such as for the header of a chunk that
  /// does not end.
  static constexpr size_t kMaxBufferBytes = 262'144;

  /// `without_body` is set for the response to a HEAD request.
  HttpResponseReader(const std::shared_ptr<SharedResponseBudget>& budget,
                     bool without_body);

  /// Takes bytes from the front of `buffer` until the response is complete, has
  /// a fault or needs more bytes.
  void Read(Buffer& buffer);

  /// Tells that the peer has ended the connection in order, which completes a
  /// body without a stated length.
  void ReadEnd();

  /// Tells that the connection was lost, so that the response breaks off.
  void BreakOff();

  /// Returns whether the response is complete or has a fault.
  bool finished() const;
  /// Returns whether the response is complete and sound.
  bool complete() const;
  ResponseFault fault() const { return m_fault; }
  /// Returns whether the connection may serve further requests. Requires that
  /// the response is complete.
  bool keep_alive() const;

  /// Returns the response. Requires that it is complete.
  HttpResponse Release();

 private:
  void ReadHead(Buffer& buffer);
  void BeginBody();
  void ReadBody(Buffer& buffer);

  const bool m_without_body;
  SharedResponseBudget::Share m_share;
  ResponseHeadReader m_head_reader;
  size_t m_head_bytes = 0;
  // Decodes the body once the head is complete.
  std::optional<
      boost::beast::http::response_parser<boost::beast::http::string_body>>
      m_body_parser;
  ResponseFault m_fault = ResponseFault::kNone;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_ADAPTERS_HTTP_RESPONSE_READER_H_
