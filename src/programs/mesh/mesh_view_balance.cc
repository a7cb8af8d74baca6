// The part of MeshView that applies the balances of services.

#include "rosemarywinch/programs/mesh/mesh_view.h"

namespace rosemarywinch {

void MeshView::FillBalances(PollRequest& request) {
  m_services.ForEach([&](ServiceShard& shard) {
    for (const auto& [service, router] : shard.routers) {
      if (router.balance_revision() > 0) {
        request.balances.push_back({service, router.balance_revision()});
      }
    }
  });
}

void MeshView::ApplyBalances(const PollResponse& response) {
  const TimePoint now = m_clock.Now();
  for (const ServiceBalance& balance : response.balances) {
    m_services.With(balance.service, [&](ServiceShard& shard) {
      shard.routers.try_emplace(balance.service, m_data_centre)
          .first->second.ApplyBalance(balance);
    });
  }
  m_services.ForEach([&](ServiceShard& shard) {
    for (auto& [service, router] : shard.routers) {
      router.OnControl(now);
    }
  });
}

}  // namespace rosemarywinch
