#ifndef ROSEMARYWINCH_CORE_SHARDED_H_
#define ROSEMARYWINCH_CORE_SHARDED_H_

#include <array>
#include <cstddef>
#include <functional>
#include <mutex>
#include <string_view>

namespace rosemarywinch {

/// State partitioned by key into shards, each with its own lock.
/// `State` must be default constructible.
template <typename State, size_t kShards = 16>
class Sharded {
 public:
  /// Calls `use(state)` for the shard of `key` under that shard's lock and
  /// returns its result. `use` must not block or access another shard.
  template <typename Use>
  decltype(auto) With(std::string_view key, Use&& use) {
    Shard& shard = m_shards[std::hash<std::string_view>{}(key) % kShards];
    std::scoped_lock lock(shard.mutex);
    return use(shard.state);
  }

  /// Calls `use(state)` for each shard in turn, holding one lock at a time.
  template <typename Use>
  void ForEach(Use&& use) {
    for (Shard& shard : m_shards) {
      std::scoped_lock lock(shard.mutex);
      use(shard.state);
    }
  }

 private:
  struct Shard {
    std::mutex mutex;
    State state;
  };

  std::array<Shard, kShards> m_shards;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_CORE_SHARDED_H_
