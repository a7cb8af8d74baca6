#include "rosemarywinch/decisions/control/capacity_shares.h"

#include <algorithm>
#include <map>
#include <numeric>

namespace rosemarywinch {

namespace {

// Part of a capacity, and of a fraction, that counts as none.
constexpr double kEpsilon = 1e-9;
// Steps in which the fair rate of accounts is found by bisection; the last one
// is 1e-9 of the greatest rate.
constexpr int kBisections = 30;

/// Progressive filling of classes from the fractions in `shares` up to 1.
class Filling {
 public:
  Filling(const std::vector<ClassDemand>& classes,
          std::vector<double>& remaining,
          std::vector<ClassShare>& shares)
      : m_classes(classes),
        m_remaining(remaining),
        m_shares(shares),
        m_load(remaining.size()) {}

  void Run(std::vector<size_t> active) {
    std::vector<double> missing(m_classes.size());
    for (const size_t index : active) {
      missing[index] = 1 - m_shares[index].fraction;
    }
    double progress = 0;
    while (!active.empty() && progress < 1 - kEpsilon) {
      const double step = std::min(NextStep(active, missing), 1 - progress);
      Advance(active, missing, step);
      progress += step;
      std::erase_if(active, [&](size_t index) { return IsStopped(index); });
    }
  }

 private:
  // Returns by which part of their missing fractions all classes can grow until
  // a service that limits one of them is used up.
  double NextStep(const std::vector<size_t>& active,
                  const std::vector<double>& missing) {
    std::fill(m_load.begin(), m_load.end(), 0);
    for (const size_t index : active) {
      for (const SlotCost& cost : m_classes[index].costs) {
        m_load[cost.service] +=
            cost.slots * m_classes[index].rate * missing[index];
      }
    }
    double step = 1;
    for (const size_t index : active) {
      for (const SlotCost& cost : m_classes[index].costs) {
        const double need = cost.slots * m_classes[index].rate;
        if (cost.limits && need * missing[index] > 0) {
          step =
              std::min(step, m_remaining[cost.service] / m_load[cost.service]);
        }
      }
    }
    return std::max(step, 0.0);
  }

  void Advance(const std::vector<size_t>& active,
               const std::vector<double>& missing,
               double step) {
    for (const size_t index : active) {
      m_shares[index].fraction += step * missing[index];
    }
    for (size_t service = 0; service < m_load.size(); ++service) {
      m_remaining[service] -= step * m_load[service];
    }
  }

  bool IsStopped(size_t index) {
    if (m_shares[index].fraction >= 1 - kEpsilon) {
      return true;
    }
    for (const SlotCost& cost : m_classes[index].costs) {
      const double need = cost.slots * m_classes[index].rate;
      if (cost.limits && need > 0 &&
          m_remaining[cost.service] <= kEpsilon * (1 + need)) {
        m_shares[index].bottleneck = cost.service;
        return true;
      }
    }
    return false;
  }

  const std::vector<ClassDemand>& m_classes;
  std::vector<double>& m_remaining;
  std::vector<ClassShare>& m_shares;
  std::vector<double> m_load;
};

}  // namespace

std::vector<ClassShare> DivideInProportion(
    const std::vector<ClassDemand>& classes,
    const std::vector<double>& capacities) {
  std::vector<size_t> all(classes.size());
  std::iota(all.begin(), all.end(), 0);
  std::vector<double> remaining = capacities;
  std::vector<ClassShare> shares(classes.size());
  Filling(classes, remaining, shares).Run(all);
  return shares;
}

std::vector<ClassShare> DivideCapacity(const std::vector<ClassDemand>& classes,
                                       const std::vector<double>& capacities) {
  std::vector<ClassShare> shares = DivideInProportion(classes, capacities);
  std::vector<double> remaining = capacities;
  std::map<uint32_t, std::vector<size_t>> by_priority;
  for (size_t index = 0; index < classes.size(); ++index) {
    const ClassDemand& demand = classes[index];
    shares[index] = {std::max(kProbe, kLeastShare * shares[index].fraction),
                     std::nullopt};
    for (const SlotCost& cost : demand.costs) {
      remaining[cost.service] -=
          cost.slots * demand.rate * shares[index].fraction;
    }
    by_priority[demand.priority].push_back(index);
  }
  for (const auto& [priority, indexes] : by_priority) {
    Filling(classes, remaining, shares).Run(indexes);
  }
  return shares;
}

std::vector<double> DivideAmongAccounts(
    double fraction,
    const std::vector<AccountDemand>& accounts) {
  double greatest = 0;
  double sum = 0;
  for (const AccountDemand& account : accounts) {
    greatest = std::max(greatest, account.offered_rate);
    sum += account.offered_rate;
  }
  const auto admitted = [&](const AccountDemand& account, double fair_rate) {
    return std::max(std::min(account.offered_rate, fair_rate),
                    kLeastShare * fraction * account.offered_rate);
  };
  double low = 0;
  double high = greatest;
  for (int i = 0; i < kBisections; ++i) {
    const double fair_rate = (low + high) / 2;
    double total = 0;
    for (const AccountDemand& account : accounts) {
      total += admitted(account, fair_rate);
    }
    (total < fraction * sum ? low : high) = fair_rate;
  }
  std::vector<double> fractions;
  fractions.reserve(accounts.size());
  for (const AccountDemand& account : accounts) {
    fractions.push_back(account.offered_rate > 0
                            ? admitted(account, high) / account.offered_rate
                            : 1);
  }
  return fractions;
}

}  // namespace rosemarywinch
