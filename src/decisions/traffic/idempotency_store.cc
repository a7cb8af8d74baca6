#include "rosemarywinch/decisions/traffic/idempotency_store.h"

#include <array>
#include <charconv>

#include "rosemarywinch/core/schema_support.h"
#include "rosemarywinch/decisions/fleet/tree_path.h"

namespace rosemarywinch {

namespace {

constexpr char kSeparator = '~';
constexpr size_t kIdParts = 5;

std::optional<int64_t> ParseMs(std::string_view text) {
  int64_t ms = 0;
  const auto [rest, code] =
      std::from_chars(text.data(), text.data() + text.size(), ms);
  const bool complete =
      code == std::errc() && rest == text.data() + text.size();
  return complete && ms >= 0 ? std::optional(ms) : std::nullopt;
}

}  // namespace

std::string RequestIdText(const RequestIdParts& parts) {
  return parts.node + kSeparator + parts.service + kSeparator + parts.account +
         kSeparator + parts.nonce + kSeparator +
         std::to_string(parts.issued.ms);
}

Result<RequestIdParts> ParseRequestId(std::string_view text) {
  std::array<std::string_view, kIdParts> parts;
  size_t count = 0;
  size_t start = 0;
  while (count < kIdParts && start <= text.size()) {
    const size_t end = std::min(text.find(kSeparator, start), text.size());
    parts[count++] = text.substr(start, end - start);
    start = end + 1;
  }
  const std::optional<int64_t> issued =
      count == kIdParts ? ParseMs(parts[4]) : std::nullopt;
  const bool valid = issued && start == text.size() + 1 &&
                     IsValidName(parts[0]) && IsValidName(parts[1]) &&
                     (parts[2].empty() || IsValidName(parts[2])) &&
                     IsValidName(parts[3]);
  if (!valid) {
    return Fail(ErrorId::kBadRequestId, std::string(text));
  }
  return RequestIdParts{std::string(parts[0]), std::string(parts[1]),
                        std::string(parts[2]), std::string(parts[3]),
                        Duration{*issued}};
}

std::string IdempotencyStore::Issue(TimePoint now,
                                    const std::string& service,
                                    const std::string& account,
                                    std::string nonce) const {
  return RequestIdText(
      {m_node, service, account, std::move(nonce), Duration{now.ms}});
}

AttemptResult IdempotencyStore::Begin(TimePoint now,
                                      const std::string& id,
                                      const std::string& fingerprint) {
  if (auto error = CheckId(now, id)) {
    return NotRunnable{std::move(*error)};
  }
  return m_shards.With(id, [&](Shard& shard) -> AttemptResult {
    Expire(shard, now);
    const auto [entry, added] =
        shard.records.try_emplace(id, Record{fingerprint, Running{}});
    if (!added) {
      return Repeat(entry->second, fingerprint);
    }
    shard.expiries.emplace_back(now + m_window, id);
    return FirstAttempt{};
  });
}

void IdempotencyStore::Forget(const std::string& id) {
  m_shards.With(id, [&](Shard& shard) { shard.records.erase(id); });
}

void IdempotencyStore::Finish(const std::string& id,
                              const HttpResponse& answer) {
  if (answer.body.size() <= kMaxResponseBytes) {
    SetState(id, Ran{answer, true});
  } else {
    SetState(id, Ran{{}, false});
  }
}

void IdempotencyStore::MarkUnknown(const std::string& id) {
  SetState(id, Unknown{});
}

bool IdempotencyStore::Fence(TimePoint now, const std::string& id) {
  if (CheckId(now, id)) {
    return false;
  }
  return m_shards.With(id, [&](Shard& shard) {
    const auto [entry, added] =
        shard.records.try_emplace(id, Record{std::string(), Fenced{}});
    if (added) {
      shard.expiries.emplace_back(now + m_window, id);
    }
    return std::holds_alternative<Fenced>(entry->second.state);
  });
}

bool IdempotencyStore::IsFresh(TimePoint now, const std::string& id) {
  if (CheckId(now, id)) {
    return false;
  }
  return m_shards.With(
      id, [&](const Shard& shard) { return !shard.records.contains(id); });
}

std::optional<Error> IdempotencyStore::CheckId(TimePoint now,
                                               const std::string& id) const {
  const Outcome<RequestIdParts> parsed =
      Capture([&] { return ParseRequestId(id); });
  const auto* parts = std::get_if<RequestIdParts>(&parsed);
  if (parts == nullptr) {
    return std::get<Error>(parsed);
  }
  const TimePoint issued{parts->issued.ms};
  const bool known_here =
      parts->node == m_node && issued <= now && now < issued + m_window;
  if (!known_here) {
    return Error{ErrorId::kOutcomeUnknown, "the node has no record of " + id};
  }
  return std::nullopt;
}

void IdempotencyStore::Expire(Shard& shard, TimePoint now) const {
  // An id is at least as old as its record, so it has expired by now.
  while (!shard.expiries.empty() && shard.expiries.front().first <= now) {
    shard.records.erase(shard.expiries.front().second);
    shard.expiries.pop_front();
  }
}

AttemptResult IdempotencyStore::Repeat(const Record& record,
                                       const std::string& fingerprint) {
  const bool fenced = std::holds_alternative<Fenced>(record.state);
  if (!fenced && record.fingerprint != fingerprint) {
    return NotRunnable{{ErrorId::kRequestReused, {}}};
  }
  return std::visit(
      Overloaded{[](const Running&) -> AttemptResult {
                   return NotRunnable{{ErrorId::kStillRunning, {}}};
                 },
                 [](const Ran& ran) -> AttemptResult {
                   if (ran.complete) {
                     return AlreadyExecuted{ran.answer};
                   }
                   HttpResponse dropped;
                   dropped.headers.Add("X-Answer-Dropped", "true");
                   return AlreadyExecuted{std::move(dropped)};
                 },
                 [](const Unknown&) -> AttemptResult {
                   return NotRunnable{{ErrorId::kOutcomeUnknown, {}}};
                 },
                 [](const Fenced&) -> AttemptResult {
                   return NotRunnable{
                       {ErrorId::kBadRequestId,
                        "no attempt may start under this id any more"}};
                 }},
      record.state);
}

void IdempotencyStore::SetState(const std::string& id, State state) {
  m_shards.With(id, [&](Shard& shard) {
    const auto found = shard.records.find(id);
    if (found != shard.records.end()) {
      found->second.state = std::move(state);
    }
  });
}

}  // namespace rosemarywinch
