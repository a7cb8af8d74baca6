#include "rosemarywinch/programs/configuration_publisher.h"

#include <utility>

#include "rosemarywinch/adapters/text_packer.h"

namespace rosemarywinch {

namespace {

// Number of versions, the current one included, that nodes may hold as a
// reference. Changes come in quick succession at times.
constexpr size_t kRememberedDocuments = 8;

}  // namespace

Result<PackedDocument> ConfigurationPublisher::Pack(
    const ConfigurationRecord& record,
    uint64_t held_version) {
  std::scoped_lock lock(m_mutex);
  Remember(record);
  const auto reference = m_documents.find(held_version);
  const uint64_t base = reference == m_documents.end() ? 0 : held_version;
  const auto known = m_packed.find(base);
  if (known != m_packed.end() && IsNewest(record)) {
    return known->second;
  }
  PackedDocument packed;
  packed.reference_version = base;
  const std::string none;
  BOOST_LEAF_ASSIGN(packed.data,
                    rosemarywinch::Pack(record.document,
                                        base == 0 ? none : reference->second));
  if (IsNewest(record)) {
    m_packed[base] = packed;
  }
  return packed;
}

// A thread may have read its view before a change that others know already.
// Requires m_mutex to be held.
bool ConfigurationPublisher::IsNewest(const ConfigurationRecord& record) const {
  return !m_documents.empty() && record.version == m_documents.rbegin()->first;
}

// Requires m_mutex to be held.
void ConfigurationPublisher::Remember(const ConfigurationRecord& record) {
  const auto added = m_documents.try_emplace(record.version, record.document);
  if (!added.second) {
    return;
  }
  m_packed.clear();
  while (m_documents.size() > kRememberedDocuments) {
    m_documents.erase(m_documents.begin());
  }
}

}  // namespace rosemarywinch
