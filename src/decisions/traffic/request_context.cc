#include "rosemarywinch/decisions/traffic/request_context.h"

#include <utility>

namespace rosemarywinch {

void RequestContexts::Open(const std::string& context,
                           const HopEnvelope& envelope,
                           TimePoint deadline) {
  m_shards.With(context, [&](Shard& shard) {
    shard[context] = {envelope, deadline, envelope.retries, {}, {}};
  });
}

Result<NestedCall> RequestContexts::BeginNested(
    TimePoint now,
    const std::string& context,
    const std::string& fingerprint) {
  return m_shards.With(context, [&](Shard& shard) -> Result<NestedCall> {
    const auto found = shard.find(context);
    if (found == shard.end()) {
      return Fail(ErrorId::kContextUnknown);
    }
    Record& record = found->second;
    const HopEnvelope& envelope = record.envelope;
    if (now >= record.deadline) {
      return Fail(ErrorId::kDeadlinePassed, "deadline of the calling request");
    }
    if (envelope.depth + 1 > envelope.max_depth) {
      return Fail(ErrorId::kTooDeep, std::to_string(envelope.max_depth));
    }
    const bool repeated = record.calls[fingerprint] > 0;
    if (repeated && record.retries == 0) {
      return Fail(ErrorId::kRetriesSpent);
    }
    record.retries -= repeated ? 1 : 0;
    ++record.calls[fingerprint];
    return NestedCall{envelope.request_id,
                      envelope.account,
                      std::exchange(record.retries, 0),
                      envelope.depth + 1,
                      envelope.max_depth,
                      envelope.at_most_once,
                      repeated,
                      record.deadline};
  });
}

void RequestContexts::EndNested(const std::string& context,
                                uint32_t retries_left,
                                Duration took) {
  m_shards.With(context, [&](Shard& shard) {
    const auto found = shard.find(context);
    if (found != shard.end()) {
      found->second.retries += retries_left;
      found->second.nested_time = found->second.nested_time + took;
    }
  });
}

RequestContexts::Closed RequestContexts::Close(const std::string& context) {
  return m_shards.With(context, [&](Shard& shard) {
    const auto found = shard.find(context);
    if (found == shard.end()) {
      return Closed{};
    }
    const Closed closed{found->second.retries, found->second.nested_time};
    shard.erase(found);
    return closed;
  });
}

}  // namespace rosemarywinch
