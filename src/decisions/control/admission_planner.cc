#include "rosemarywinch/decisions/control/admission_planner.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace rosemarywinch {

namespace {

// The upper half of a revision holds the term, so that the plan of a new leader
// replaces that of an earlier one.
constexpr int kTermShift = 32;
constexpr Duration kStepInterval{500};
// Lifetime of a report: nodes poll twice a second.
constexpr Duration kReportTtl{1'200};
// A service without members keeps its trim factor for this long.
constexpr Duration kServiceTtl{60'000};
constexpr double kMaxNumber = 1e6;
constexpr double kUnlimitedSlots = 1e9;
constexpr size_t kMaxListLength = 512;
// Waiting calls of a member count up to those that it answers in this time.
constexpr double kMaxCountedWaitSeconds = 2;

// Part of the announced slots that nodes use; for reports without a load.
constexpr double kUsableSlots = 0.94;
// Gains of moving averages for each step: the time constant is 4 s for costs,
// 2 s for accounts, and 2 s for the demand of a class, or half a second if it
// has changed by more than randomness explains.
constexpr double kCostGain = 0.118;
constexpr double kAccountGain = 0.22;
constexpr double kDemandGain = 0.22;
constexpr double kFastDemandGain = 0.7;
constexpr double kRandomDeviations = 3;
// Below this rate (requests/s) demand counts as none.
constexpr double kMinRate = 0.02;
// Admitted requests/s below which a cost is not measured anew.
constexpr double kMinMeasuredRate = 0.5;
// Costs below this part of those of all services together may come from calls
// that were taken for those of another request, and do not limit a class.
constexpr double kMinCostPart = 0.02;

bool IsValid(double value) {
  return value >= 0 && value < kMaxNumber;
}

bool IsValid(const BackendLoad& load) {
  return IsValid(load.usable_slots) && IsValid(load.busy) &&
         IsValid(load.waiting) && IsValid(load.completed_rate) &&
         IsValid(load.refused_rate);
}

bool IsValid(const EntryDemand& demand) {
  return IsValid(demand.offered_rate) && IsValid(demand.admitted_rate) &&
         demand.accounts.size() <= kMaxListLength &&
         std::all_of(demand.accounts.begin(), demand.accounts.end(),
                     [](const AccountDemand& account) {
                       return IsValid(account.offered_rate);
                     });
}

void Smooth(double gain, double sample, double& mean) {
  mean += gain * (sample - mean);
}

// The queue of a member that answers hardly any call says nothing about the
// service: fewer requests would not shorten it.
double CountedWaiting(const BackendLoad& load) {
  return std::min(load.waiting, load.completed_rate * kMaxCountedWaitSeconds);
}

BackendLoad LoadOf(const PollRequest& request, bool in_use) {
  BackendLoad load = request.load.value_or(BackendLoad{});
  if (!request.load) {
    load.usable_slots = kUsableSlots * request.member.slots;
  }
  const bool serves = request.member.state == BackendState::kReady ||
                      request.member.state == BackendState::kStarting;
  if (request.leaving || !serves || !in_use) {
    load.usable_slots = 0;
  }
  return load;
}

}  // namespace

void AdmissionPlanner::Reset(TimePoint now, uint64_t term) {
  m_since = now;
  m_last_step = now;
  m_plan = {};
  m_plan.revision = (term << kTermShift) + 1;
  m_reports.clear();
  m_services.clear();
  m_costs.clear();
  m_classes.clear();
}

Result<Done> AdmissionPlanner::CheckReport(const PollRequest& request) {
  if (request.demand.size() > kMaxListLength ||
      request.usage.size() > kMaxListLength) {
    return Fail(ErrorId::kBadValue, "too many classes");
  }
  if (request.load && !IsValid(*request.load)) {
    return Fail(ErrorId::kBadValue, "load");
  }
  for (const EntryDemand& demand : request.demand) {
    if (!IsValid(demand)) {
      return Fail(ErrorId::kBadValue, "demand of " + demand.service);
    }
  }
  for (const EntryUsage& usage : request.usage) {
    if (!IsValid(usage.slots)) {
      return Fail(ErrorId::kBadValue, "usage of " + usage.entry_service);
    }
  }
  return Done{};
}

Result<Done> AdmissionPlanner::OnReport(TimePoint now,
                                        const PollRequest& request,
                                        bool in_use) {
  BOOST_LEAF_CHECK(CheckReport(request));
  m_reports[request.node] = {now, request.member.service,
                             LoadOf(request, in_use), request.demand,
                             request.usage};
  return Done{};
}

bool AdmissionPlanner::IsComplete(TimePoint now) const {
  return now >= m_since + kReportTtl;
}

const AdmissionPlan& AdmissionPlanner::Plan(TimePoint now,
                                            const AccountLimit& limit) {
  if (IsComplete(now) && now >= m_last_step + kStepInterval) {
    Step(now, limit);
    m_last_step = now;
  }
  return m_plan;
}

void AdmissionPlanner::Step(TimePoint now, const AccountLimit& limit) {
  const Sums sums = SumReports(now);
  UpdateDemand(sums);
  UpdateCosts(sums);
  UpdateTrims(now);
  AdmissionPlan plan = MakePlan(limit);
  if (Differs(m_plan, plan)) {
    plan.revision = m_plan.revision + 1;
    m_plan = std::move(plan);
  }
}

AdmissionPlanner::Sums AdmissionPlanner::SumReports(TimePoint now) {
  std::erase_if(m_reports, [&](const auto& entry) {
    return now >= entry.second.at + kReportTtl;
  });
  Sums sums;
  for (auto& [name, service] : m_services) {
    service.load = {};
    service.unknown_usage = 0;
  }
  for (const auto& [node, report] : m_reports) {
    if (!report.service.empty()) {
      ServiceCapacity& service = m_services[report.service];
      service.seen = now;
      service.load.usable_slots += report.load.usable_slots;
      service.load.busy += report.load.busy;
      service.load.waiting += CountedWaiting(report.load);
      service.load.completed_rate += report.load.completed_rate;
      service.load.refused_rate += report.load.refused_rate;
      for (const EntryUsage& usage : report.usage) {
        if (usage.entry_service.empty()) {
          service.unknown_usage += usage.slots;
        } else {
          sums.usage[usage.entry_service][report.service] += usage.slots;
        }
      }
    }
    for (const EntryDemand& demand : report.demand) {
      ClassState& sum = sums.classes[{demand.service, demand.priority}];
      sum.offered += demand.offered_rate;
      sums.admitted[demand.service] += demand.admitted_rate;
      for (const AccountDemand& account : demand.accounts) {
        sum.accounts[account.account] += account.offered_rate;
      }
    }
  }
  return sums;
}

void AdmissionPlanner::UpdateDemand(const Sums& sums) {
  for (const auto& [entry, sum] : sums.classes) {
    m_classes.try_emplace(entry);
  }
  const ClassState none;
  for (auto& [entry, state] : m_classes) {
    const auto found = sums.classes.find(entry);
    const ClassState& sample =
        found == sums.classes.end() ? none : found->second;
    const double seconds = kStepInterval.Seconds();
    const double deviation =
        std::sqrt(std::max(state.offered * seconds, 1.0)) / seconds;
    const bool changed = std::abs(sample.offered - state.offered) >
                         kRandomDeviations * deviation;
    Smooth(changed ? kFastDemandGain : kDemandGain, sample.offered,
           state.offered);
    for (auto& [account, rate] : state.accounts) {
      rate *= 1 - kAccountGain;
    }
    for (const auto& [account, rate] : sample.accounts) {
      state.accounts[account] += kAccountGain * rate;
    }
    std::erase_if(state.accounts, [](const auto& account) {
      return account.second < kMinRate;
    });
  }
  std::erase_if(m_classes, [](const auto& entry) {
    return entry.second.offered < kMinRate;
  });
}

void AdmissionPlanner::UpdateCosts(const Sums& sums) {
  for (const auto& [entry_service, usages] : sums.usage) {
    for (const auto& [service, slots] : usages) {
      m_costs[entry_service].try_emplace(service);
    }
  }
  for (auto& [entry_service, costs] : m_costs) {
    const auto admitted = sums.admitted.find(entry_service);
    if (admitted == sums.admitted.end()) {
      continue;
    }
    const auto usages = sums.usage.find(entry_service);
    for (auto& [service, cost] : costs) {
      double slots = 0;
      if (usages != sums.usage.end()) {
        const auto found = usages->second.find(service);
        slots = found == usages->second.end() ? 0 : found->second;
      }
      UpdateCost(m_services[service], slots, admitted->second, cost);
    }
  }
}

// While calls wait or are refused, slots are used up whatever was admitted, so
// a low ratio shows the capacity and not the cost. A high one still shows that
// requests have become more expensive, except while calls are worked off that
// were admitted earlier.
void AdmissionPlanner::UpdateCost(const ServiceCapacity& service,
                                  double usage,
                                  double admitted,
                                  Cost& cost) {
  const bool strained = service.IsStrained();
  if (admitted < kMinMeasuredRate || service.IsDraining() ||
      (strained && usage < cost.slots * admitted)) {
    return;
  }
  const double gain = cost.admitted > 0 ? kCostGain : 1;
  Smooth(gain, usage, cost.usage);
  Smooth(gain, admitted, cost.admitted);
  const double ratio = cost.usage / cost.admitted;
  cost.slots = strained ? std::max(cost.slots, ratio) : ratio;
}

void AdmissionPlanner::UpdateTrims(TimePoint now) {
  for (auto& [name, service] : m_services) {
    service.UpdateTrim();
  }
  std::erase_if(m_services, [&](const auto& entry) {
    return now >= entry.second.seen + kServiceTtl;
  });
}

AdmissionPlan AdmissionPlanner::MakePlan(const AccountLimit& limit) const {
  std::vector<std::string> names;
  std::vector<double> capacities;
  std::map<std::string, size_t> indexes;
  for (const auto& [name, service] : m_services) {
    indexes[name] = names.size();
    names.push_back(name);
    capacities.push_back(service.HasFreeSlots()
                             ? kUnlimitedSlots
                             : std::max(0.0, service.Capacity()));
  }
  std::vector<ClassDemand> demands;
  std::vector<std::vector<EntryAccount>> accounts;
  for (const auto& [entry, state] : m_classes) {
    accounts.push_back(AccountsOf(state, limit));
    ClassDemand demand;
    demand.priority = entry.priority;
    demand.rate = RateOf(accounts.back(), state.offered);
    demand.costs = CostsOf(entry.service, indexes);
    demands.push_back(std::move(demand));
  }
  const std::vector<ClassShare> shares = DivideCapacity(demands, capacities);
  const auto limited_classes = static_cast<size_t>(std::count_if(
      shares.begin(), shares.end(),
      [](const ClassShare& share) { return share.bottleneck.has_value(); }));
  AdmissionPlan plan;
  plan.revision = m_plan.revision;
  size_t index = 0;
  for (const auto& [entry, state] : m_classes) {
    const ClassShare& share = shares[index];
    if (share.bottleneck &&
        IsLimited(share.fraction, FindEntry(m_plan, entry) != nullptr)) {
      EntryAdmission limited =
          MakeEntry(share.fraction, accounts[index], limited_classes);
      limited.service = entry.service;
      limited.priority = entry.priority;
      limited.bottleneck = names[*share.bottleneck];
      plan.entries.push_back(std::move(limited));
    }
    ++index;
  }
  return plan;
}

std::vector<EntryAccount> AdmissionPlanner::AccountsOf(
    const ClassState& state,
    const AccountLimit& limit) {
  double sum = 0;
  for (const auto& [account, rate] : state.accounts) {
    sum += rate;
  }
  std::vector<EntryAccount> accounts;
  for (const auto& [account, rate] : state.accounts) {
    const double offered = state.offered * rate / sum;
    const double own_limit = limit(account);
    accounts.push_back(
        {account, offered,
         own_limit > 0 ? std::min(offered, own_limit) : offered});
  }
  return accounts;
}

std::vector<SlotCost> AdmissionPlanner::CostsOf(
    const std::string& entry_service,
    const std::map<std::string, size_t>& indexes) const {
  std::vector<SlotCost> result;
  const auto found = m_costs.find(entry_service);
  if (found == m_costs.end()) {
    return result;
  }
  double sum = 0;
  for (const auto& [service, cost] : found->second) {
    sum += cost.slots;
  }
  for (const auto& [service, cost] : found->second) {
    const auto index = indexes.find(service);
    if (index != indexes.end() && cost.slots > 0) {
      result.push_back(
          {index->second, cost.slots, cost.slots >= kMinCostPart * sum});
    }
  }
  return result;
}

}  // namespace rosemarywinch
