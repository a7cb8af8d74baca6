#include "rosemarywinch/decisions/traffic/entry_demand_meter.h"

#include <algorithm>
#include <utility>

namespace rosemarywinch {

namespace {

// Polls are as close as 40 ms while something changes; a rate over so short a
// time would stand for the next half second.
constexpr Duration kMinPeriod{250};

}  // namespace

void EntryDemandMeter::OnRequest(const EntryClass& entry,
                                 const std::string& account,
                                 bool admitted,
                                 uint64_t random) {
  Demand& demand = m_demands[entry];
  ++demand.offered;
  demand.admitted += admitted ? 1 : 0;
  if (demand.accounts.size() < kSamples) {
    demand.accounts.push_back(account);
    return;
  }
  const uint64_t index = random % demand.offered;
  if (index < kSamples) {
    demand.accounts[index] = account;
  }
}

void EntryDemandMeter::OnRefusedLater(const EntryClass& entry) {
  const auto found = m_demands.find(entry);
  if (found != m_demands.end() && found->second.admitted > 0) {
    --found->second.admitted;
  }
}

std::vector<EntryDemand> EntryDemandMeter::Take(TimePoint now) {
  if (now < m_since + kMinPeriod) {
    return m_last;
  }
  const double length = (now - m_since).Seconds();
  std::vector<EntryDemand> demands;
  // The first elements of a sample are a sample too.
  const size_t kept =
      std::max<size_t>(1, kMaxReported / std::max<size_t>(1, m_demands.size()));
  for (auto& [entry, demand] : m_demands) {
    demand.accounts.resize(std::min(demand.accounts.size(), kept));
    EntryDemand report;
    report.service = entry.service;
    report.priority = entry.priority;
    report.offered_rate = demand.offered / length;
    report.admitted_rate = demand.admitted / length;
    std::sort(demand.accounts.begin(), demand.accounts.end());
    const double each =
        report.offered_rate / static_cast<double>(demand.accounts.size());
    for (const std::string& account : demand.accounts) {
      if (report.accounts.empty() ||
          report.accounts.back().account != account) {
        report.accounts.push_back({account, 0});
      }
      report.accounts.back().offered_rate += each;
    }
    demands.push_back(std::move(report));
  }
  m_demands.clear();
  m_since = now;
  m_last = std::move(demands);
  return m_last;
}

}  // namespace rosemarywinch
