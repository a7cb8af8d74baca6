#include "rosemarywinch/adapters/message_sinks.h"

#include <bit>
#include <cmath>
#include <limits>

#include "rosemarywinch/adapters/cbor_format.h"

namespace rosemarywinch {

namespace {

using cbor::MajorType;

void AppendBigEndian(std::string& bytes, uint64_t number, int length) {
  for (int i = length - 1; i >= 0; --i) {
    bytes += static_cast<char>(number >> (i * cbor::kBitsPerByte));
  }
}

void AppendHead(std::string& bytes, MajorType type, uint64_t argument) {
  const int high = static_cast<int>(type) << cbor::kMajorTypeShift;
  if (argument < cbor::kOneByteArgument) {
    bytes += static_cast<char>(high | static_cast<int>(argument));
    return;
  }
  // The argument follows in 1, 2, 4 or 8 bytes.
  int info = cbor::kOneByteArgument;
  int length = 1;
  while (length < 8 && (argument >> (length * cbor::kBitsPerByte)) != 0) {
    length *= 2;
    ++info;
  }
  bytes += static_cast<char>(high | info);
  AppendBigEndian(bytes, argument, length);
}

void AppendSimple(std::string& bytes, uint8_t info) {
  const int high = static_cast<int>(MajorType::kSimple)
                   << cbor::kMajorTypeShift;
  bytes += static_cast<char>(high | info);
}

}  // namespace

nlohmann::json& JsonSink::Place(nlohmann::json value) {
  if (m_open.empty()) {
    m_root = std::move(value);
    return m_root;
  }
  nlohmann::json& parent = *m_open.back();
  if (parent.is_array()) {
    return parent.emplace_back(std::move(value));
  }
  return parent[m_key] = std::move(value);
}

void CborSink::BeginObject(size_t members) {
  AppendHead(m_bytes, MajorType::kMap, members);
}

void CborSink::BeginArray(size_t elements) {
  AppendHead(m_bytes, MajorType::kArray, elements);
}

void CborSink::Value(bool value) {
  AppendSimple(m_bytes, value ? cbor::kTrue : cbor::kFalse);
}

void CborSink::Value(double value) {
  AppendSimple(m_bytes, cbor::kEightByteArgument);
  AppendBigEndian(m_bytes, std::bit_cast<uint64_t>(value), sizeof(value));
}

void CborSink::Value(std::string_view text) {
  AppendHead(m_bytes, MajorType::kText, text.size());
  // A large text is followed by little else, for which the memory is not
  // doubled.
  constexpr size_t kLarge = 65'536;
  constexpr size_t kSpare = 4'096;
  if (text.size() > kLarge) {
    m_bytes.reserve(m_bytes.size() + text.size() + kSpare);
  }
  m_bytes += text;
}

void CborSink::Single(float value) {
  AppendSimple(m_bytes, cbor::kFourByteArgument);
  AppendBigEndian(m_bytes, std::bit_cast<uint32_t>(value), sizeof(value));
}

void WireSink::Value(double value) {
  const bool in_range = std::abs(value) <= std::numeric_limits<float>::max();
  const auto single = in_range ? static_cast<float>(value) : 0.0F;
  if (in_range && static_cast<double>(single) == value) {
    Single(single);
    return;
  }
  CborSink::Value(value);
}

void CborSink::Unsigned(uint64_t value) {
  AppendHead(m_bytes, MajorType::kUnsigned, value);
}

void CborSink::Signed(int64_t value) {
  if (value >= 0) {
    Unsigned(static_cast<uint64_t>(value));
    return;
  }
  AppendHead(m_bytes, MajorType::kNegative,
             static_cast<uint64_t>(-(value + 1)));
}

}  // namespace rosemarywinch
