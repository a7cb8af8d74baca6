#ifndef ROSEMARYWINCH_ADAPTERS_ASYNC_PEER_WATCH_H_
#define ROSEMARYWINCH_ADAPTERS_ASYNC_PEER_WATCH_H_

#include <boost/asio/awaitable.hpp>
#include <boost/system/error_code.hpp>
#include <chrono>
#include <string>

#include "rosemarywinch/adapters/async/net.h"

namespace rosemarywinch {

/// Writes to a caller and tells whether it is gone. A caller that is late to
/// read, but acknowledges, is not gone. Used on the strand of the socket.
class PeerWatch {
 public:
  /// Sets the options of the connection. `socket` must outlive the watch.
  explicit PeerWatch(Tcp::socket& socket);

  /// Writes all of `text`.
  asio::awaitable<boost::system::error_code> Write(const std::string& text);

  /// Returns whether the caller has left sent data unacknowledged and has
  /// acknowledged nothing for kDeadPeerTimeout, or has taken nothing of what is
  /// being written for kStalledReaderTimeout. To be called every
  /// kCheckInterval while a response is to be sent.
  bool IsDead();

  static constexpr Duration kDeadPeerTimeout{5'000};
  /// Longer than the deadlines of requests, and some seconds, because callers
  /// may read a response at the end of their deadline.
  static constexpr Duration kStalledReaderTimeout{60'000};
  static constexpr Duration kCheckInterval{1'000};

 private:
  bool IsSilent(std::chrono::steady_clock::time_point now);

  Tcp::socket& m_socket;
  std::chrono::steady_clock::time_point m_last_check;
  /// Since when all checks have found data or a probe unacknowledged.
  std::chrono::steady_clock::time_point m_waiting_since;
  std::chrono::steady_clock::time_point m_last_progress;
  bool m_writing = false;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_ADAPTERS_ASYNC_PEER_WATCH_H_
