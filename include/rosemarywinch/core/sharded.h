#ifndef ROSEMARYWINCH_CORE_SHARDED_H_
#define ROSEMARYWINCH_CORE_SHARDED_H_

#include <array>
#include <cstddef>
#include <functional>
#include <mutex>
#include <string_view>

namespace rosemarywinch {

/// State split into shards by a key, each shard under its own lock.
/// `State` must be default constructible.
template <typename State, size_t kShards = 16>
class Sharded {
 public:
  /// Runs `use(state)` on the shard of `key` under that shard's lock and
  /// returns what it returns. `use` must not block or enter another shard.
  template <typename Use>
  decltype(auto) With(std::string_view key, Use&& use) {
    Shard& shard = m_shards[std::hash<std::string_view>{}(key) % kShards];
    std::scoped_lock lock(shard.mutex);
    return use(shard.state);
  }

  /// Runs `use(state)` on each shard in turn, one lock at a time.
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
