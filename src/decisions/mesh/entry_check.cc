#include "rosemarywinch/decisions/mesh/entry_check.h"

namespace rosemarywinch {

namespace {

// Nodes poll about twice a second. One that has missed two polls may have an
// outdated configuration.
constexpr Duration kMaxConfirmationAge{1'200};
// Time in which replicas that have started elect a leader, and over which the
// returns after it are spread.
constexpr Duration kCutOffRetryAfter{1'000};
constexpr Duration kCutOffRetrySpread{800};

EntryDecision Deny(TimePoint now, const EntryContext& context, ErrorId reason) {
  const bool up_to_date = now < context.confirmed + kMaxConfirmationAge;
  return Rejected{up_to_date ? reason : ErrorId::kCutOff};
}

}  // namespace

EntryDecision CheckEntry(TimePoint now,
                         const EntryContext& context,
                         const EntryRequest& request) {
  if (context.config == nullptr) {
    return Rejected{ErrorId::kCutOff};
  }
  const MeshRoute* route =
      context.config->FindRoute(request.host, request.path);
  if (route == nullptr) {
    return Deny(now, context, ErrorId::kUnknownRoute);
  }
  if (route->spec.open || !context.config->RequiresKeys()) {
    return Admitted{route, nullptr, route->spec.priority};
  }
  if (now >= context.lease_end) {
    return Rejected{ErrorId::kCutOff};
  }
  const MeshAccount* account =
      request.key ? context.config->FindAccountByKey(*request.key) : nullptr;
  if (account == nullptr) {
    return Deny(now, context,
                request.key ? ErrorId::kWrongKey : ErrorId::kNoKey);
  }
  return Admitted{route, account,
                  account->spec.priority.value_or(route->spec.priority)};
}

Duration RetryAfterRejection(ErrorId reason, double sample) {
  if (reason != ErrorId::kCutOff) {
    return kDefaultRetryAfter;
  }
  const double spread = sample * static_cast<double>(kCutOffRetrySpread.ms);
  return kCutOffRetryAfter + Duration{static_cast<int64_t>(spread)};
}

}  // namespace rosemarywinch
