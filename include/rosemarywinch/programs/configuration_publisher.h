#ifndef ROSEMARYWINCH_PROGRAMS_CONFIGURATION_PUBLISHER_H_
#define ROSEMARYWINCH_PROGRAMS_CONFIGURATION_PUBLISHER_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include "rosemarywinch/core/error.h"
#include "rosemarywinch/schema/control.h"
#include "rosemarywinch/schema/fleet.h"

namespace rosemarywinch {

/// Packs the current configuration for nodes, most of which hold an earlier
/// version: they get the differences. Thread-safe.
class ConfigurationPublisher {
 public:
  /// Returns the document of `record` for a node that holds `held_version`, 0
  /// for none. Errors: those of Pack().
  Result<PackedDocument> Pack(const ConfigurationRecord& record,
                              uint64_t held_version);

 private:
  void Remember(const ConfigurationRecord& record);
  bool IsNewest(const ConfigurationRecord& record) const;

  std::mutex m_mutex;
  /// The latest documents by version.
  std::map<uint64_t, std::string> m_documents;
  /// The newest document, by the version of its reference.
  std::map<uint64_t, PackedDocument> m_packed;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_PROGRAMS_CONFIGURATION_PUBLISHER_H_
