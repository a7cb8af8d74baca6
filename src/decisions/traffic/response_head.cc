#include "rosemarywinch/decisions/traffic/response_head.h"

#include <algorithm>
#include <charconv>
#include <string>

#include "rosemarywinch/core/text_value.h"

namespace rosemarywinch {

namespace {

constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kVersion = "HTTP/1.";
constexpr size_t kStatusDigits = 3;
constexpr int kFirstInterimStatus = 100;
constexpr int kSwitchingProtocols = 101;
constexpr int kFirstFinalStatus = 200;
constexpr int kLastFinalStatus = 599;

bool IsInterimStatus(int status) {
  return status >= kFirstInterimStatus && status < kFirstFinalStatus &&
         status != kSwitchingProtocols;
}

bool IsDigit(char byte) {
  return byte >= '0' && byte <= '9';
}

bool IsLetter(char byte) {
  return (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z');
}

bool IsTokenByte(char byte) {
  constexpr std::string_view kMarks = "!#$%&'*+-.^_`|~";
  return IsDigit(byte) || IsLetter(byte) ||
         kMarks.find(byte) != std::string_view::npos;
}

// Bytes above 127 are allowed, as obs-text.
bool IsTextByte(char byte) {
  const auto code = static_cast<unsigned char>(byte);
  constexpr unsigned char kFirstPrintable = 0x20;
  constexpr unsigned char kDelete = 0x7f;
  return byte == '\t' || (code >= kFirstPrintable && code != kDelete);
}

bool IsText(std::string_view text) {
  return std::all_of(text.begin(), text.end(), IsTextByte);
}

// Reads a value of Content-Length: one number, or the same one several times.
std::optional<uint64_t> ReadLength(std::string_view list) {
  std::optional<uint64_t> length;
  size_t start = 0;
  while (start <= list.size()) {
    const size_t comma = std::min(list.find(',', start), list.size());
    const auto number =
        ParseWhole<uint64_t>(WithoutBlanks(list.substr(start, comma - start)));
    if (!number || number != length.value_or(*number)) {
      return std::nullopt;
    }
    length = number;
    start = comma + 1;
  }
  return length;
}

}  // namespace

bool IsFinalStatus(int status) {
  return status >= kFirstFinalStatus && status <= kLastFinalStatus;
}

ResponseFault CheckField(std::string_view name, std::string_view value) {
  if (name.empty() || !std::all_of(name.begin(), name.end(), IsTokenByte)) {
    return ResponseFault::kFieldName;
  }
  return IsText(value) ? ResponseFault::kNone : ResponseFault::kFieldValue;
}

ResponseFault ResponseHeadReader::TakeLine(std::string_view line) {
  const bool ended = line.ends_with(kLineEnd);
  if (ended) {
    line.remove_suffix(kLineEnd.size());
  }
  if (!m_has_status) {
    return ended ? TakeStatusLine(line) : ResponseFault::kStatusLine;
  }
  if (!ended) {
    return ResponseFault::kFieldValue;
  }
  return line.empty() ? TakeHeadEnd() : TakeField(line);
}

// HTTP/1.1 200 OK; the reason and the blank before it may be missing.
ResponseFault ResponseHeadReader::TakeStatusLine(std::string_view line) {
  constexpr size_t kVersionLength = kVersion.size() + 1;
  constexpr size_t kStatusEnd = kVersionLength + 1 + kStatusDigits;
  const std::string_view status =
      line.substr(std::min(kVersionLength + 1, line.size()), kStatusDigits);
  const bool valid =
      line.size() >= kStatusEnd && line.starts_with(kVersion) &&
      (line[kVersion.size()] == '0' || line[kVersion.size()] == '1') &&
      line[kVersionLength] == ' ' &&
      std::all_of(status.begin(), status.end(), IsDigit) &&
      (line.size() == kStatusEnd || line[kStatusEnd] == ' ') &&
      IsText(line.substr(kStatusEnd));
  if (!valid) {
    return ResponseFault::kStatusLine;
  }
  m_has_status = true;
  m_head.minor_version = line[kVersion.size()] - '0';
  std::from_chars(status.data(), status.data() + status.size(), m_head.status);
  const bool expected =
      IsInterimStatus(m_head.status) || IsFinalStatus(m_head.status);
  return expected ? ResponseFault::kNone : ResponseFault::kStatus;
}

ResponseFault ResponseHeadReader::TakeField(std::string_view line) {
  if (line.front() == ' ' || line.front() == '\t') {
    return ResponseFault::kLineFolding;
  }
  const size_t colon = line.find(':');
  if (colon == std::string_view::npos) {
    return ResponseFault::kFieldName;
  }
  const std::string_view name = line.substr(0, colon);
  const std::string_view value = WithoutBlanks(line.substr(colon + 1));
  m_head.headers.Add(std::string(name), std::string(value));
  return CheckField(name, value);
}

ResponseFault ResponseHeadReader::TakeHeadEnd() {
  if (IsInterimStatus(m_head.status)) {
    m_head = {};
    m_has_status = false;
    return ResponseFault::kNone;
  }
  m_complete = true;
  return ReadFraming();
}

// The end of the body must follow from the head in one way only (RFC 9112,
// section 6). The one transfer coding that is understood is `chunked`, which
// HTTP/1.0 does not have.
ResponseFault ResponseHeadReader::ReadFraming() {
  for (const HttpHeader& header : m_head.headers.all()) {
    if (SameHeaderName(header.name, "Content-Length")) {
      const std::optional<uint64_t> length = ReadLength(header.value);
      if (!length || length != m_head.body_length.value_or(*length)) {
        return ResponseFault::kFraming;
      }
      m_head.body_length = length;
    } else if (SameHeaderName(header.name, "Transfer-Encoding")) {
      if (m_head.chunked || !SameHeaderName(header.value, "chunked")) {
        return ResponseFault::kFraming;
      }
      m_head.chunked = true;
    }
  }
  const bool sound =
      !m_head.chunked || (!m_head.body_length && m_head.minor_version == 1);
  return sound ? ResponseFault::kNone : ResponseFault::kFraming;
}

}  // namespace rosemarywinch
