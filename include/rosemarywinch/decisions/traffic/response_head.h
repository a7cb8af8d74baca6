#ifndef ROSEMARYWINCH_DECISIONS_TRAFFIC_RESPONSE_HEAD_H_
#define ROSEMARYWINCH_DECISIONS_TRAFFIC_RESPONSE_HEAD_H_

#include <cstdint>
#include <optional>
#include <string_view>

#include "rosemarywinch/interfaces/http.h"
#include "rosemarywinch/schema/response.h"

namespace rosemarywinch {

/// Returns whether `status` is that of a final response: 200 to 599 (RFC 9110,
/// section 15).
bool IsFinalStatus(int status);

/// Returns kFieldName unless the name is a token, kFieldValue if the value has
/// a control character other than a tab (RFC 9110, section 5), else kNone.
ResponseFault CheckField(std::string_view name, std::string_view value);

/// Head of a final response.
struct ResponseHead {
  /// 0 for HTTP/1.0, 1 for HTTP/1.1.
  int minor_version = 1;
  int status = 0;
  HttpHeaders headers;
  /// Length of the body in bytes, if the head states it.
  std::optional<uint64_t> body_length;
  /// The body comes in chunks.
  bool chunked = false;
};

/// Reads the head of an HTTP/1.x response line by line, and accepts only what
/// can be read in one way: what RFC 9112 allows a server to send, a status line
/// without a reason and the blank before it, and a length that is repeated.
/// Interim heads (1xx), which may come before the final one, are checked and
/// dropped; no request asks for a change of protocol (101). Knows no sockets.
class ResponseHeadReader {
 public:
  /// Takes the next line, with its line end. Nothing may follow a fault or the
  /// line that completes the head.
  ResponseFault TakeLine(std::string_view line);

  /// Returns whether the final head has been taken up to its empty line.
  bool complete() const { return m_complete; }
  const ResponseHead& head() const { return m_head; }

 private:
  ResponseFault TakeStatusLine(std::string_view line);
  ResponseFault TakeField(std::string_view line);
  ResponseFault TakeHeadEnd();
  ResponseFault ReadFraming();

  bool m_has_status = false;
  bool m_complete = false;
  ResponseHead m_head;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_DECISIONS_TRAFFIC_RESPONSE_HEAD_H_
