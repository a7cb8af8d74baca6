#include "rosemarywinch/adapters/async/peer_watch.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace rosemarywinch {

using boost::system::error_code;
using SteadyClock = std::chrono::steady_clock;

namespace {

std::chrono::milliseconds ToChrono(Duration length) {
  return std::chrono::milliseconds(length.ms);
}

}  // namespace

PeerWatch::PeerWatch(Tcp::socket& socket) : m_socket(socket) {
  SetConnectionOptions(m_socket, kDeadPeerTimeout);
  // TCP_USER_TIMEOUT also ends connections whose peer answers the probes of a
  // closed window, so IsSilent() decides instead. The connection works without
  // the option, so an error is ignored.
  using UserTimeout =
      asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
  error_code ignored;
  m_socket.set_option(UserTimeout(0), ignored);
}

asio::awaitable<error_code> PeerWatch::Write(const std::string& text) {
  error_code error;
  m_writing = true;
  for (size_t sent = 0; sent < text.size() && !error;) {
    m_last_progress = SteadyClock::now();
    sent += co_await m_socket.async_write_some(
        asio::buffer(text) + sent,
        asio::redirect_error(asio::use_awaitable, error));
  }
  m_writing = false;
  co_return error;
}

bool PeerWatch::IsDead() {
  const auto now = SteadyClock::now();
  const bool stalled =
      m_writing && now >= m_last_progress + ToChrono(kStalledReaderTimeout);
  return IsSilent(now) || stalled;
}

bool PeerWatch::IsSilent(SteadyClock::time_point now) {
  // After a pause, or a stall of this process, the checks begin anew.
  const bool paused = now >= m_last_check + 3 * ToChrono(kCheckInterval);
  m_last_check = now;
  tcp_info info{};
  socklen_t length = sizeof(info);
  const bool known = ::getsockopt(m_socket.native_handle(), IPPROTO_TCP,
                                  TCP_INFO, &info, &length) == 0;
  const bool waiting = known && (info.tcpi_unacked > 0 || info.tcpi_probes > 0);
  if (paused || !waiting) {
    m_waiting_since = now;
  }
  const auto last_ack =
      now - std::chrono::milliseconds(info.tcpi_last_ack_recv);
  return waiting && now >= std::max(m_waiting_since, last_ack) +
                               ToChrono(kDeadPeerTimeout);
}

}  // namespace rosemarywinch
