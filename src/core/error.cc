#include "rosemarywinch/core/error.h"

namespace rosemarywinch {

std::string Error::Message() const {
  const auto& entry = EntryOf(id);
  std::string message = "E" + std::to_string(static_cast<int>(id)) + " ";
  message += entry.text;
  if (!detail.empty()) {
    message += ": " + detail;
  }
  if (!entry.remedy.empty()) {
    message += "; remedy: ";
    message += entry.remedy;
  }
  return message;
}

int Error::HttpStatus() const {
  constexpr int kInternalError = 500;
  const int status = EntryOf(id).http_status;
  return status == 0 ? kInternalError : status;
}

}  // namespace rosemarywinch
