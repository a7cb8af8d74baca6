#include "rosemarywinch/decisions/control/admission_entry.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <utility>

#include "rosemarywinch/decisions/control/capacity_shares.h"

namespace rosemarywinch {

namespace {

// Fractions above this count as 1, so that noise refuses nothing.
constexpr double kWhole = 0.95;
constexpr double kWholeAfterLimit = 0.98;
// Accounts named in an entry, and in all entries together unless there are more
// entries, to keep a plan small: 4 entries with 4 accounts each
// take 872 bytes.
constexpr size_t kMaxNamedInEntry = 8;
constexpr size_t kMaxNamedAccounts = 64;
// Accounts whose fraction is nearer to that of the others are not named.
constexpr double kMinDifference = 0.1;
// Fractions are multiples of this, a power of 2, for a short encoding.
constexpr double kResolution = 1.0 / 512;
// Changes below these are not published.
constexpr double kMinChange = 0.01;
constexpr double kMinRelativeChange = 0.04;
constexpr double kMinAccountChange = 0.05;
constexpr double kMinRelativeAccountChange = 0.2;

double Round(double fraction) {
  return std::clamp(std::round(fraction / kResolution) * kResolution, 0.0, 1.0);
}

bool HasChanged(double left, double right, double least, double relative) {
  return std::abs(left - right) > std::max(least, relative * left);
}

// Accounts of a class with their fractions, of which some are to be named.
class Naming {
 public:
  Naming(const std::vector<EntryAccount>& accounts,
         const std::vector<double>& fractions)
      : m_accounts(accounts),
        m_fractions(fractions),
        m_named(accounts.size(), false) {
    for (size_t i = 0; i < accounts.size(); ++i) {
      m_offered += accounts[i].offered;
      m_admitted += accounts[i].offered * fractions[i];
    }
  }

  double FractionOfOthers() const {
    return m_offered > 0 ? std::clamp(m_admitted / m_offered, 0.0, 1.0) : 1;
  }

  // Names the account that the fraction of the others fits least, if any.
  std::optional<AccountAdmission> NameNext() {
    const double others = FractionOfOthers();
    size_t best = m_accounts.size();
    double greatest = 0;
    for (size_t i = 0; i < m_accounts.size(); ++i) {
      const double difference = std::abs(m_fractions[i] - others);
      const double misplaced = difference * m_accounts[i].offered;
      if (!m_named[i] && difference > kMinDifference && misplaced > greatest) {
        best = i;
        greatest = misplaced;
      }
    }
    if (best == m_accounts.size()) {
      return std::nullopt;
    }
    m_named[best] = true;
    m_offered -= m_accounts[best].offered;
    m_admitted -= m_accounts[best].offered * m_fractions[best];
    return AccountAdmission{m_accounts[best].name, Round(m_fractions[best])};
  }

 private:
  const std::vector<EntryAccount>& m_accounts;
  const std::vector<double>& m_fractions;
  std::vector<bool> m_named;
  // Sums over the accounts that are not named.
  double m_offered = 0;
  double m_admitted = 0;
};

bool AccountsDiffer(const EntryAdmission& left, const EntryAdmission& right) {
  const auto fraction_of = [](const EntryAdmission& entry,
                              const std::string& name) {
    const auto found = std::find_if(
        entry.accounts.begin(), entry.accounts.end(),
        [&](const AccountAdmission& other) { return other.account == name; });
    return found == entry.accounts.end() ? entry.fraction : found->fraction;
  };
  const auto changed = [&](const AccountAdmission& account) {
    return HasChanged(fraction_of(left, account.account),
                      fraction_of(right, account.account), kMinAccountChange,
                      kMinRelativeAccountChange);
  };
  return std::any_of(left.accounts.begin(), left.accounts.end(), changed) ||
         std::any_of(right.accounts.begin(), right.accounts.end(), changed);
}

}  // namespace

double RateOf(const std::vector<EntryAccount>& accounts, double offered) {
  if (accounts.empty()) {
    return offered;
  }
  double rate = 0;
  for (const EntryAccount& account : accounts) {
    rate += account.within_limit;
  }
  return rate;
}

bool IsLimited(double fraction, bool listed) {
  return fraction < (listed ? kWholeAfterLimit : kWhole);
}

EntryAdmission MakeEntry(double fraction,
                         const std::vector<EntryAccount>& accounts,
                         size_t entries) {
  EntryAdmission entry;
  entry.fraction = Round(fraction);
  if (accounts.empty()) {
    return entry;
  }
  std::vector<AccountDemand> demands;
  demands.reserve(accounts.size());
  for (const EntryAccount& account : accounts) {
    demands.push_back({account.name, account.within_limit});
  }
  std::vector<double> fractions = DivideAmongAccounts(fraction, demands);
  for (size_t i = 0; i < accounts.size(); ++i) {
    // An account within its share is limited by its own rate only; of another
    // one, as many requests are admitted as its share of the capacity serves.
    const bool whole = fractions[i] >= 1 || accounts[i].offered <= 0;
    fractions[i] =
        whole ? 1
              : fractions[i] * accounts[i].within_limit / accounts[i].offered;
  }
  Naming naming(accounts, fractions);
  const size_t max_named = std::clamp<size_t>(
      kMaxNamedAccounts / std::max<size_t>(1, entries), 1, kMaxNamedInEntry);
  while (entry.accounts.size() < max_named) {
    auto named = naming.NameNext();
    if (!named) {
      break;
    }
    entry.accounts.push_back(std::move(*named));
  }
  entry.fraction = Round(naming.FractionOfOthers());
  return entry;
}

const EntryAdmission* FindEntry(const AdmissionPlan& plan,
                                const EntryClass& entry) {
  const auto found = std::find_if(plan.entries.begin(), plan.entries.end(),
                                  [&](const EntryAdmission& other) {
                                    return other.service == entry.service &&
                                           other.priority == entry.priority;
                                  });
  return found == plan.entries.end() ? nullptr : &*found;
}

bool Differs(const AdmissionPlan& left, const AdmissionPlan& right) {
  if (left.entries.size() != right.entries.size()) {
    return true;
  }
  // The entries of both are in the order of their classes.
  for (size_t i = 0; i < left.entries.size(); ++i) {
    const EntryAdmission& before = left.entries[i];
    const EntryAdmission& after = right.entries[i];
    if (before.service != after.service || before.priority != after.priority ||
        before.bottleneck != after.bottleneck ||
        HasChanged(before.fraction, after.fraction, kMinChange,
                   kMinRelativeChange) ||
        AccountsDiffer(before, after)) {
      return true;
    }
  }
  return false;
}

}  // namespace rosemarywinch
