#include "rosemarywinch/adapters/json_codec.h"

namespace rosemarywinch {

Result<Json> ParseJson(std::string_view text) {
  Json json = Json::parse(text, /*cb=*/nullptr, /*allow_exceptions=*/false);
  if (json.is_discarded()) {
    return Fail(ErrorId::kMalformedMessage, "not valid JSON");
  }
  return json;
}

}  // namespace rosemarywinch
