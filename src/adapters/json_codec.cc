#include "rosemarywinch/adapters/json_codec.h"

#include <fmt/format.h>

#include "rosemarywinch/adapters/cbor_scanner.h"

namespace rosemarywinch {

namespace {

/// Counts what a parser reads, without keeping it.
class LimitCheck final : public nlohmann::json_sax<Json> {
 public:
  bool null() override { return Count(); }
  bool boolean(bool) override { return Count(); }
  bool number_integer(number_integer_t) override { return Count(); }
  bool number_unsigned(number_unsigned_t) override { return Count(); }
  bool number_float(number_float_t, const string_t&) override {
    return Count();
  }
  bool string(string_t&) override { return Count(); }
  bool binary(binary_t&) override { return Count(); }
  bool key(string_t&) override { return Count(); }
  bool start_object(size_t) override { return Open(); }
  bool start_array(size_t) override { return Open(); }
  bool end_object() override { return Close(); }
  bool end_array() override { return Close(); }
  bool parse_error(size_t,
                   const std::string&,
                   const nlohmann::detail::exception&) override {
    return false;
  }

  /// Returns which limit was exceeded, if one was.
  Result<Done> Verdict() const {
    if (m_depth > kMaxNesting) {
      return Fail(ErrorId::kMalformedMessage,
                  fmt::format("nested deeper than {} levels", kMaxNesting));
    }
    if (m_values > kMaxValues) {
      return Fail(ErrorId::kMalformedMessage,
                  fmt::format("more than {} values", kMaxValues));
    }
    return Done{};
  }

 private:
  bool Count() {
    ++m_values;
    return m_values <= kMaxValues;
  }
  bool Open() {
    ++m_depth;
    return Count() && m_depth <= kMaxNesting;
  }
  bool Close() {
    --m_depth;
    return true;
  }

  size_t m_depth = 0;
  size_t m_values = 0;
};

}  // namespace

// A parser with a callback takes several times as long as these two passes.
Result<Json> ParseJson(std::string_view text) {
  LimitCheck check;
  const bool valid = Json::sax_parse(text, &check);
  BOOST_LEAF_CHECK(check.Verdict());
  if (!valid) {
    return Fail(ErrorId::kMalformedMessage, "not valid JSON");
  }
  return Json::parse(text, /*cb=*/nullptr, /*allow_exceptions=*/false);
}

std::string WriteJson(const Json& json) {
  return json.dump(/*indent=*/-1, /*indent_char=*/' ', /*ensure_ascii=*/false,
                   Json::error_handler_t::replace);
}

Result<Json> ParseCbor(std::string_view bytes) {
  // The library's decoder recurses, and trusts the lengths that it reads.
  if (!IsBoundedCbor(bytes, {kMaxNesting, kMaxValues})) {
    return Fail(ErrorId::kMalformedMessage, "not valid CBOR, or too large");
  }
  Json json = Json::from_cbor(bytes, /*strict=*/true,
                              /*allow_exceptions=*/false);
  if (json.is_discarded()) {
    return Fail(ErrorId::kMalformedMessage, "not valid CBOR");
  }
  return json;
}

}  // namespace rosemarywinch
