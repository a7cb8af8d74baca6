#define BOOST_TEST_MODULE text_packer
#include <boost/test/unit_test.hpp>

#include <string>

#include "rosemarywinch/adapters/text_packer.h"
#include "rosemarywinch/programs/configuration_publisher.h"
#include "support/fakes.h"

// Pattern: hundreds of nodes get each new version of a large configuration that
// differs little from the one before.

using namespace rosemarywinch;

namespace {

std::string Document(uint64_t version) {
  test::SeededRandom random(7);
  std::string text = "{\"version\":" + std::to_string(version);
  constexpr int kAccounts = 500;
  for (int i = 0; i < kAccounts; ++i) {
    text += ",\"account-" + std::to_string(i) + "\":{\"key\":\"" +
            random.Hex(12) + "\"}";
  }
  return text + "}";
}

ConfigurationRecord Record(uint64_t version) {
  ConfigurationRecord record;
  record.version = version;
  record.document = Document(version);
  return record;
}

std::string Packed(const std::string& text, const std::string& reference) {
  const auto outcome = Capture([&] { return Pack(text, reference); });
  BOOST_REQUIRE(std::holds_alternative<std::string>(outcome));
  return std::get<std::string>(outcome);
}

Outcome<std::string> Restored(const std::string& packed,
                              const std::string& reference) {
  return Capture([&] { return Unpack(packed, reference); });
}

bool IsMalformed(const Outcome<std::string>& outcome) {
  const auto* error = std::get_if<Error>(&outcome);
  return error != nullptr && error->id == ErrorId::kMalformedMessage;
}

PackedDocument Published(ConfigurationPublisher& publisher,
                         uint64_t version,
                         uint64_t held) {
  const auto outcome =
      Capture([&] { return publisher.Pack(Record(version), held); });
  BOOST_REQUIRE(std::holds_alternative<PackedDocument>(outcome));
  return std::get<PackedDocument>(outcome);
}

}  // namespace

BOOST_AUTO_TEST_CASE(a_text_survives_with_and_without_a_reference) {
  for (const std::string& text : {std::string(), Document(2)}) {
    for (const std::string& reference : {std::string(), Document(1)}) {
      const auto outcome = Restored(Packed(text, reference), reference);
      BOOST_REQUIRE(std::holds_alternative<std::string>(outcome));
      BOOST_TEST(std::get<std::string>(outcome) == text);
    }
  }
}

BOOST_AUTO_TEST_CASE(a_small_change_makes_a_small_message) {
  const std::string packed = Packed(Document(2), Document(1));
  BOOST_TEST(packed.size() * 20 < Document(2).size());
}

BOOST_AUTO_TEST_CASE(another_reference_is_noticed) {
  const std::string packed = Packed(Document(2), Document(1));
  std::string other = Document(1);
  other.replace(other.size() / 2, 4, "xxxx");
  BOOST_TEST(IsMalformed(Restored(packed, other)));
  BOOST_TEST(IsMalformed(Restored(packed, "")));
}

BOOST_AUTO_TEST_CASE(damaged_bytes_are_rejected) {
  const std::string packed = Packed(Document(2), "");
  BOOST_TEST(IsMalformed(Restored("", "")));
  BOOST_TEST(IsMalformed(Restored("no packed text", "")));
  BOOST_TEST(IsMalformed(Restored(packed.substr(0, packed.size() / 2), "")));
  std::string flipped = packed;
  flipped[packed.size() / 2] ^= 1;
  BOOST_TEST(IsMalformed(Restored(flipped, "")));
}

BOOST_AUTO_TEST_CASE(a_text_that_would_fill_the_memory_is_rejected) {
  // The head of a frame that claims 2^40 bytes.
  const std::string claims("\x28\xb5\x2f\xfd\xe0\0\0\0\0\0\x01\0\0", 13);
  BOOST_TEST(IsMalformed(Restored(claims, "")));
}

BOOST_AUTO_TEST_CASE(nodes_get_the_difference_from_the_version_they_hold) {
  ConfigurationPublisher publisher;
  Published(publisher, 1, 0);
  const PackedDocument packed = Published(publisher, 2, 1);
  BOOST_TEST(packed.reference_version == 1u);
  BOOST_TEST(std::get<std::string>(Restored(packed.data, Document(1))) ==
             Document(2));
}

BOOST_AUTO_TEST_CASE(nodes_with_an_unknown_version_get_the_whole_document) {
  ConfigurationPublisher publisher;
  Published(publisher, 5, 0);
  const PackedDocument packed = Published(publisher, 6, 3);
  BOOST_TEST(packed.reference_version == 0u);
  BOOST_TEST(std::get<std::string>(Restored(packed.data, "")) == Document(6));
}

// Failure: a thread that had read its view before a change filled the cache
// with the former document, which nodes then got under the number of the new
// one.
BOOST_AUTO_TEST_CASE(a_late_thread_leaves_no_older_document_behind) {
  ConfigurationPublisher publisher;
  Published(publisher, 4, 0);
  Published(publisher, 5, 4);
  Published(publisher, 6, 5);
  Published(publisher, 5, 4);
  const PackedDocument packed = Published(publisher, 6, 4);
  BOOST_TEST((std::get<std::string>(Restored(packed.data, Document(4))) ==
              Document(6)));
}
