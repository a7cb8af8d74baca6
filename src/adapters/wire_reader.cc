#include "rosemarywinch/adapters/wire_reader.h"

#include <bit>

#include "rosemarywinch/adapters/message_codec.h"

namespace rosemarywinch {

using cbor::MajorType;
using detail::Require;

CborHead WireReader::Head() {
  const std::optional<CborHead> head = ReadCborHead(m_rest);
  Require(head.has_value(), "truncated");
  return *head;
}

uint64_t WireReader::BeginMap() {
  const CborHead head = Head();
  Require(head.type == MajorType::kMap, "expected a map");
  return head.argument;
}

uint64_t WireReader::BeginArray() {
  const CborHead head = Head();
  Require(head.type == MajorType::kArray, "expected an array");
  return head.argument;
}

uint64_t WireReader::FieldNumber() {
  const CborHead head = Head();
  Require(head.type == MajorType::kUnsigned, "expected a field number");
  return head.argument;
}

CborHead WireReader::Whole() {
  const CborHead head = Head();
  Require(
      head.type == MajorType::kUnsigned || head.type == MajorType::kNegative,
      "expected a whole number");
  return head;
}

double WireReader::Fraction() {
  const CborHead head = Head();
  const bool simple = head.type == MajorType::kSimple;
  if (simple && head.info == cbor::kFourByteArgument) {
    return std::bit_cast<float>(static_cast<uint32_t>(head.argument));
  }
  Require(simple && head.info == cbor::kEightByteArgument, "expected a number");
  return std::bit_cast<double>(head.argument);
}

bool WireReader::Bool() {
  const CborHead head = Head();
  Require(head.type == MajorType::kSimple &&
              (head.info == cbor::kTrue || head.info == cbor::kFalse),
          "expected true or false");
  return head.info == cbor::kTrue;
}

std::string_view WireReader::Text() {
  const CborHead head = Head();
  Require(head.type == MajorType::kText, "expected a text");
  Require(head.argument <= m_rest.size(), "truncated");
  const std::string_view text = m_rest.substr(0, head.argument);
  m_rest.remove_prefix(head.argument);
  return text;
}

void WireReader::Skip() {
  for (uint64_t left = 1; left > 0; --left) {
    const CborHead head = Head();
    if (head.type == MajorType::kText) {
      Require(head.argument <= m_rest.size(), "truncated");
      m_rest.remove_prefix(head.argument);
    } else if (head.type == MajorType::kArray || head.type == MajorType::kMap) {
      Require(head.argument <= m_rest.size(), "truncated");
      left += head.items();
    }
  }
}

bool HasNamedFields(std::string_view bytes) {
  const std::optional<CborHead> map = ReadCborHead(bytes);
  if (!map || map->type != MajorType::kMap || map->argument == 0) {
    return false;
  }
  const std::optional<CborHead> key = ReadCborHead(bytes);
  return key && key->type == MajorType::kText;
}

Result<Done> CheckWire(std::string_view bytes) {
  if (HasNamedFields(bytes)) {
    return Fail(ErrorId::kProtocolVersion, "message with names of fields");
  }
  if (!IsBoundedCbor(bytes, {kMaxNesting, kMaxValues})) {
    return Fail(ErrorId::kMalformedMessage, "not valid CBOR, or too large");
  }
  return Done{};
}

}  // namespace rosemarywinch
