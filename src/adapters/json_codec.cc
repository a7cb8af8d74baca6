#include "rosemarywinch/adapters/json_codec.h"

#include <fmt/format.h>

#include <utility>
#include <vector>

#include "rosemarywinch/adapters/cbor_scanner.h"

namespace rosemarywinch {

namespace {

/// Builds a document from the events of a parser, within the limits on nesting
/// and values. A parser with a callback does the same and takes several times
/// as long.
class DocumentBuilder final : public nlohmann::json_sax<Json> {
 public:
  /// Leaves out the member `skipped` of the outermost object.
  explicit DocumentBuilder(std::string_view skipped) : m_skipped(skipped) {}

  bool null() override { return Add(nullptr); }
  bool boolean(bool value) override { return Add(value); }
  bool number_integer(number_integer_t value) override { return Add(value); }
  bool number_unsigned(number_unsigned_t value) override { return Add(value); }
  bool number_float(number_float_t value, const string_t&) override {
    return Add(value);
  }
  bool string(string_t& value) override { return Add(std::move(value)); }
  bool binary(binary_t& value) override { return Add(std::move(value)); }
  bool start_object(size_t) override { return Open(Json::object()); }
  bool start_array(size_t) override { return Open(Json::array()); }
  bool end_object() override { return Close(); }
  bool end_array() override { return Close(); }
  bool key(string_t& name) override {
    m_skipping = m_skipping || (m_depth == 1 && name == m_skipped);
    m_key = std::move(name);
    return Count();
  }
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

  Json Take() { return std::move(m_root); }

 private:
  bool Count() {
    ++m_values;
    return m_values <= kMaxValues;
  }

  template <typename T>
  bool Add(T&& value) {
    if (!m_skipping) {
      Place(Json(std::forward<T>(value)));
    }
    EndSkippedValue();
    return Count();
  }

  bool Open(Json container) {
    ++m_depth;
    if (!m_skipping) {
      m_open.push_back(Place(std::move(container)));
    }
    return Count() && m_depth <= kMaxNesting;
  }

  bool Close() {
    --m_depth;
    if (!m_skipping) {
      m_open.pop_back();
    }
    EndSkippedValue();
    return true;
  }

  void EndSkippedValue() { m_skipping = m_skipping && m_depth > 1; }

  // Adds a value to the innermost open container, whose address stays valid
  // while it is open.
  Json* Place(Json value) {
    if (m_open.empty()) {
      m_root = std::move(value);
      return &m_root;
    }
    Json& parent = *m_open.back();
    if (parent.is_array()) {
      parent.push_back(std::move(value));
      return &parent.back();
    }
    Json& member = parent[m_key];
    member = std::move(value);
    return &member;
  }

  const std::string_view m_skipped;
  Json m_root;
  std::vector<Json*> m_open;
  std::string m_key;
  size_t m_depth = 0;
  size_t m_values = 0;
  bool m_skipping = false;
};

}  // namespace

Result<Json> ParseJson(std::string_view text, std::string_view skipped) {
  DocumentBuilder builder(skipped);
  const bool valid = Json::sax_parse(text, &builder);
  BOOST_LEAF_CHECK(builder.Verdict());
  if (!valid) {
    return Fail(ErrorId::kMalformedMessage, "not valid JSON");
  }
  return builder.Take();
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
