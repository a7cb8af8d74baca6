#ifndef ROSEMARYWINCH_ADAPTERS_MESH_CODEC_H_
#define ROSEMARYWINCH_ADAPTERS_MESH_CODEC_H_

#include <memory>
#include <string>

#include "rosemarywinch/decisions/mesh/mesh_config.h"

namespace rosemarywinch {

/// Parses and validates a configuration document of an operator.
/// Errors: kMalformedMessage, kBadValue.
Result<std::shared_ptr<const MeshConfig>> ParseMeshConfig(
    const std::string& document);

/// Parses the parts of an accepted configuration document that control needs
/// itself: all but the routes, which make up most of a large one.
/// Errors: kMalformedMessage.
Result<std::shared_ptr<const Configuration>> ParseWithoutRoutes(
    const std::string& document);

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_ADAPTERS_MESH_CODEC_H_
