#ifndef ROSEMARYWINCH_ADAPTERS_MESSAGE_SINKS_H_
#define ROSEMARYWINCH_ADAPTERS_MESSAGE_SINKS_H_

#include <concepts>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "rosemarywinch/core/schema_support.h"

namespace rosemarywinch {

/// Builds JSON from the values of a message, in the order in which they come:
/// a value, or the begin, the parts and the end of an array or object. In an
/// object, a key comes before each part.
class JsonSink {
 public:
  void BeginObject(size_t) { Open(nlohmann::json::object()); }
  void Key(std::string_view name) { m_key = name; }
  void Field(const FieldInfo& field) { Key(field.name); }
  void Alternative(const FieldInfo& field, size_t index) {
    Key(field.alternatives[index]);
  }
  void EndObject() { m_open.pop_back(); }
  void BeginArray(size_t) { Open(nlohmann::json::array()); }
  void EndArray() { m_open.pop_back(); }
  void Value(const auto& value) { Place(nlohmann::json(value)); }

  nlohmann::json Take() { return std::move(m_root); }

 private:
  void Open(nlohmann::json empty) {
    m_open.push_back(&Place(std::move(empty)));
  }
  nlohmann::json& Place(nlohmann::json value);

  nlohmann::json m_root;
  std::vector<nlohmann::json*> m_open;
  std::string m_key;
};

/// Writes the values of a message as CBOR (RFC 8949), with items of definite
/// length only. Takes them as JsonSink does.
class CborSink {
 public:
  void BeginObject(size_t members);
  void Key(std::string_view name) { Value(name); }
  void Field(const FieldInfo& field) { Key(field.name); }
  void Alternative(const FieldInfo& field, size_t index) {
    Key(field.alternatives[index]);
  }
  void EndObject() {}
  void BeginArray(size_t elements);
  void EndArray() {}
  void Value(bool value);
  void Value(double value);
  void Value(std::string_view text);
  void Value(const std::string& text) { Value(std::string_view(text)); }
  template <std::integral T>
  void Value(T value) {
    if constexpr (std::signed_integral<T>) {
      Signed(value);
    } else {
      Unsigned(value);
    }
  }

  std::string Take() { return std::move(m_bytes); }

 protected:
  /// Writes a number in four bytes.
  void Single(float value);

 private:
  void Signed(int64_t value);
  void Unsigned(uint64_t value);

  std::string m_bytes;
};

/// As CborSink, but the keys of a message are the numbers of its fields, and a
/// number that a float holds exactly takes four bytes.
class WireSink : public CborSink {
 public:
  using CborSink::Value;

  void Field(const FieldInfo& field) { Value(field.number); }
  void Alternative(const FieldInfo& field, size_t index) {
    Value(field.alternative_numbers[index]);
  }
  void Value(double value);
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_ADAPTERS_MESSAGE_SINKS_H_
