#include "rosemarywinch/interfaces/http.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <utility>

#include "rosemarywinch/core/text_value.h"

namespace rosemarywinch {

bool SameHeaderName(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](unsigned char x, unsigned char y) {
                      return std::tolower(x) == std::tolower(y);
                    });
}

namespace {

// Returns whether a comma-separated list of header names contains `name`.
bool ListContains(std::string_view list, std::string_view name) {
  while (!list.empty()) {
    const size_t comma = std::min(list.find(','), list.size());
    if (SameHeaderName(WithoutBlanks(list.substr(0, comma)), name)) {
      return true;
    }
    list.remove_prefix(std::min(comma + 1, list.size()));
  }
  return false;
}

}  // namespace

bool IsConnectionHeader(std::string_view name) {
  constexpr std::array<std::string_view, 9> kNames{
      "Connection", "Content-Length", "Date",
      "Expect",     "Host",           "Keep-Alive",
      "TE",         "Upgrade",        "Transfer-Encoding"};
  return std::any_of(kNames.begin(), kNames.end(), [&](std::string_view other) {
    return SameHeaderName(name, other);
  });
}

void HttpHeaders::RemoveConnectionHeaders() {
  const HttpHeaders received = *this;
  std::erase_if(m_headers, [&](const HttpHeader& header) {
    return IsConnectionHeader(header.name) ||
           received.IsListedInConnection(header.name);
  });
}

bool HttpHeaders::IsListedInConnection(std::string_view name) const {
  return std::any_of(m_headers.begin(), m_headers.end(),
                     [&](const HttpHeader& header) {
                       return SameHeaderName(header.name, "Connection") &&
                              ListContains(header.value, name);
                     });
}

void HttpHeaders::Add(std::string name, std::string value) {
  m_headers.push_back({std::move(name), std::move(value)});
}

void HttpHeaders::Remove(std::string_view name) {
  std::erase_if(m_headers, [&](const HttpHeader& header) {
    return SameHeaderName(header.name, name);
  });
}

const std::string* HttpHeaders::Find(std::string_view name) const {
  const auto found = std::find_if(
      m_headers.begin(), m_headers.end(),
      [&](const auto& header) { return SameHeaderName(header.name, name); });
  return found == m_headers.end() ? nullptr : &found->value;
}

}  // namespace rosemarywinch
