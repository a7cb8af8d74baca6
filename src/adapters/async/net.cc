#include "rosemarywinch/adapters/async/net.h"

#include <netinet/tcp.h>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <memory>
#include <utility>

#include "rosemarywinch/core/text_value.h"

namespace rosemarywinch {

namespace {

using boost::system::error_code;

constexpr int kListenBacklog = 1024;
constexpr int kKeepAliveProbes = 2;
// Delay before the next accept after a failure, such as no free descriptor.
constexpr std::chrono::milliseconds kAcceptRetryDelay{20};

template <int kName>
using TcpOption = asio::detail::socket_option::integer<IPPROTO_TCP, kName>;

}  // namespace

Result<Tcp::endpoint> ParseEndpoint(const std::string& address) {
  const size_t colon = address.rfind(':');
  error_code error;
  const auto ip = asio::ip::make_address(address.substr(0, colon), error);
  const std::optional<uint16_t> port = PortOf(address);
  if (error || !port) {
    return Fail(ErrorId::kBadValue, "address " + address + " is not IP:PORT");
  }
  return Tcp::endpoint(ip, *port);
}

std::optional<uint16_t> PortOf(const std::string& address) {
  const size_t colon = address.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  return ParseWhole<uint16_t>(std::string_view(address).substr(colon + 1));
}

uint32_t Ipv4AsUint(const std::string& address) {
  error_code error;
  const auto ip =
      asio::ip::make_address_v4(address.substr(0, address.rfind(':')), error);
  return error ? 0 : ip.to_uint();
}

std::string AddressFromIpv4(uint32_t number, uint16_t port) {
  return asio::ip::address_v4(number).to_string() + ":" + std::to_string(port);
}

void SetConnectionOptions(Tcp::socket& socket, Duration dead_peer_timeout) {
  // The connection works without these options, so errors are ignored.
  error_code ignored;
  const int seconds =
      static_cast<int>(std::max<int64_t>(1, dead_peer_timeout.ms / 2000));
  socket.set_option(Tcp::no_delay(true), ignored);
  socket.set_option(asio::socket_base::keep_alive(true), ignored);
  socket.set_option(TcpOption<TCP_KEEPIDLE>(seconds), ignored);
  socket.set_option(TcpOption<TCP_KEEPINTVL>(seconds), ignored);
  socket.set_option(TcpOption<TCP_KEEPCNT>(kKeepAliveProbes), ignored);
  socket.set_option(
      TcpOption<TCP_USER_TIMEOUT>(static_cast<int>(dead_peer_timeout.ms)),
      ignored);
}

asio::awaitable<void> Connect(Tcp::socket& socket,
                              Tcp::endpoint endpoint,
                              Duration limit,
                              error_code& error) {
  const auto executor = co_await asio::this_coro::executor;
  const auto finished = std::make_shared<bool>(false);
  asio::steady_timer timer(executor);
  timer.expires_after(std::chrono::milliseconds(limit.ms));
  timer.async_wait([&socket, finished](error_code cancelled) {
    if (!cancelled && !*finished) {
      error_code ignored;
      socket.close(ignored);
    }
  });
  co_await socket.async_connect(
      endpoint, asio::redirect_error(asio::use_awaitable, error));
  // The timer's handler must not touch the socket after this coroutine returns.
  *finished = true;
  timer.cancel();
}

Result<Tcp::acceptor> Listen(const asio::any_io_executor& executor,
                             const std::string& address) {
  BOOST_LEAF_AUTO(endpoint, ParseEndpoint(address));
  Tcp::acceptor acceptor(executor);
  error_code error;
  acceptor.open(endpoint.protocol(), error);
  acceptor.set_option(Tcp::acceptor::reuse_address(true), error);
  acceptor.bind(endpoint, error);
  if (!error) {
    acceptor.listen(kListenBacklog, error);
  }
  if (error) {
    return Fail(ErrorId::kPortInUse, address + ": " + error.message());
  }
  return acceptor;
}

bool IsFromThisHost(const Tcp::socket& socket) {
  error_code error;
  const auto here = socket.local_endpoint(error);
  const auto there = error ? here : socket.remote_endpoint(error);
  return !error && here.address() == there.address();
}

asio::awaitable<void> AcceptConnections(
    Tcp::acceptor& acceptor,
    asio::any_io_executor executor,
    std::function<void(Tcp::socket)> on_connection) {
  asio::steady_timer pause(acceptor.get_executor());
  while (acceptor.is_open()) {
    error_code error;
    Tcp::socket socket = co_await acceptor.async_accept(
        executor, asio::redirect_error(asio::use_awaitable, error));
    if (!error) {
      on_connection(std::move(socket));
      continue;
    }
    pause.expires_after(kAcceptRetryDelay);
    co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, error));
  }
}

}  // namespace rosemarywinch
