// The evacuated data centres in a node's view of the mesh.
#include <utility>

#include "rosemarywinch/programs/evacuation_log.h"
#include "rosemarywinch/programs/mesh/mesh_view.h"

namespace rosemarywinch {

Result<Done> MeshView::ApplyEvacuations(const PollResponse& response) {
  BOOST_LEAF_CHECK(CheckSender(response));
  const std::set<std::string> evacuated(response.evacuated.begin(),
                                        response.evacuated.end());
  std::set<std::string> before;
  {
    std::scoped_lock lock(m_mutex);
    if (response.config_version < m_control_state.evacuated_version) {
      return Done{};
    }
    m_control_state.evacuated_version = response.config_version;
    before = std::exchange(m_control_state.evacuated, evacuated);
  }
  if (before != evacuated) {
    LogEvacuationChange(before, evacuated);
    m_services.ForEach([&](ServiceShard& shard) {
      for (auto& [service, router] : shard.routers) {
        router.SetEvacuated(evacuated);
      }
    });
  }
  return Done{};
}

bool MeshView::IsLocalEvacuated() const {
  std::scoped_lock lock(m_mutex);
  return m_control_state.evacuated.contains(m_data_centre);
}

size_t MeshView::evacuated_count() const {
  std::scoped_lock lock(m_mutex);
  return m_control_state.evacuated.size();
}

Router& MeshView::RouterOf(ServiceShard& shard, const std::string& service) {
  const auto [entry, added] = shard.routers.try_emplace(service, m_data_centre);
  if (added) {
    std::scoped_lock lock(m_mutex);
    entry->second.SetEvacuated(m_control_state.evacuated);
  }
  return entry->second;
}

}  // namespace rosemarywinch
