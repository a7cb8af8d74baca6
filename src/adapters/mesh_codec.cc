#include "rosemarywinch/adapters/mesh_codec.h"

#include "rosemarywinch/adapters/json_codec.h"

namespace rosemarywinch {

Result<std::shared_ptr<const MeshConfig>> ParseMeshConfig(
    const std::string& document) {
  BOOST_LEAF_AUTO(json, ParseJson(document));
  BOOST_LEAF_AUTO(configuration, FromJson<Configuration>(json));
  return MeshConfig::Build(std::move(configuration));
}

Result<std::shared_ptr<const Configuration>> ParseWithoutRoutes(
    const std::string& document) {
  BOOST_LEAF_AUTO(json, ParseJson(document, /*skipped=*/"routes"));
  BOOST_LEAF_AUTO(configuration, FromJson<Configuration>(json));
  return std::make_shared<const Configuration>(std::move(configuration));
}

}  // namespace rosemarywinch
