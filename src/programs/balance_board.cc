#include "rosemarywinch/programs/balance_board.h"

#include <fmt/format.h>

#include <optional>
#include <utility>

#include "rosemarywinch/adapters/log.h"

namespace rosemarywinch {

void BalanceBoard::Reset(TimePoint now, uint64_t term) {
  m_shards.ForEach([&](Shard& shard) {
    shard.term = term;
    shard.since = now;
    shard.services.clear();
    shard.invalid_nodes.clear();
  });
}

void BalanceBoard::OnPoll(TimePoint now,
                          const std::vector<std::string>& evacuated,
                          const PollRequest& request,
                          PollResponse& response) {
  if (request.load && !request.member.service.empty()) {
    OnLoad(now, evacuated, request);
  }
  std::map<std::string, uint64_t> held;
  for (const BalanceCursor& cursor : request.balances) {
    held[cursor.service] = cursor.revision;
  }
  for (const ServiceCursor& cursor : request.services) {
    const std::string& service = cursor.service;
    auto balance = m_shards.With(
        service, [&](Shard& shard) -> std::optional<ServiceBalance> {
          const auto found = shard.services.find(service);
          if (found == shard.services.end()) {
            return std::nullopt;
          }
          return found->second.NewerThan(now, held[service]);
        });
    if (balance) {
      balance->service = service;
      response.balances.push_back(std::move(*balance));
    }
  }
}

void BalanceBoard::OnLoad(TimePoint now,
                          const std::vector<std::string>& evacuated,
                          const PollRequest& request) {
  const std::string& service = request.member.service;
  m_shards.With(service, [&](Shard& shard) {
    if (!IsValid(shard, request)) {
      return;
    }
    auto found = shard.services.find(service);
    if (found == shard.services.end()) {
      // Services whose members have all gone, or that were misnamed.
      std::erase_if(shard.services, [&](const auto& entry) {
        return entry.second.IsEmpty(now);
      });
      found = shard.services
                  .try_emplace(service, now, shard.term, now - shard.since)
                  .first;
    }
    found->second.OnReport(now, request.member, request.sequence, *request.load,
                           {evacuated.begin(), evacuated.end()});
    LogChanges(service, found->second);
  });
}

bool BalanceBoard::IsValid(Shard& shard, const PollRequest& request) {
  const auto checked = Capture([&] { return CheckLoad(*request.load); });
  const auto* error = std::get_if<Error>(&checked);
  if (error == nullptr) {
    shard.invalid_nodes.erase(request.node);
    return true;
  }
  if (shard.invalid_nodes.insert(request.node).second) {
    LogEvent(LogLevel::kError, "load_invalid",
             {{"node", request.node}, {"error", error->Message()}});
  }
  return false;
}

void BalanceBoard::LogChanges(const std::string& service,
                              ServiceBalancer& balancer) {
  for (const WeightChange& change : balancer.TakeChanges()) {
    LogEvent(LogLevel::kInfo, change.low ? "weight_low" : "weight_recovered",
             {{"service", service},
              {"node", change.node},
              {"weight", fmt::format("{:.2f}", change.weight)},
              {"utilization", fmt::format("{:.2f}", change.utilization)}});
  }
}

std::string BalanceBoard::MetricsText() {
  std::string weights;
  std::string utilizations;
  m_shards.ForEach([&](Shard& shard) {
    for (const auto& [service, balancer] : shard.services) {
      for (const MemberBalance& member : balancer.Members()) {
        const std::string labels =
            fmt::format("{{service=\"{}\",data_centre=\"{}\",node=\"{}\"}}",
                        service, member.data_centre, member.node);
        weights += fmt::format("rosemarywinch_member_weight{} {:.3f}\n", labels,
                               member.weight);
        utilizations +=
            fmt::format("rosemarywinch_member_utilization{} {:.3f}\n", labels,
                        member.utilization);
      }
    }
  });
  return weights + utilizations;
}

}  // namespace rosemarywinch
