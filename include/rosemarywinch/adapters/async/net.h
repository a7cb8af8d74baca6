#ifndef ROSEMARYWINCH_ADAPTERS_ASYNC_NET_H_
#define ROSEMARYWINCH_ADAPTERS_ASYNC_NET_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>
#include <boost/system/error_code.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "rosemarywinch/core/error.h"
#include "rosemarywinch/core/time.h"

namespace rosemarywinch {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
/// Runs handlers one at a time. The executor beneath has a concrete type, so
/// that copies of a strand need no memory of their own.
using Strand = asio::strand<asio::io_context::executor_type>;

/// Parses "IP:PORT"; host names are not resolved. Errors: kBadValue.
Result<Tcp::endpoint> ParseEndpoint(const std::string& address);

/// Returns the port of "IP:PORT", or nothing unless it is from 0 to 65535.
std::optional<uint16_t> PortOf(const std::string& address);

/// Returns the IPv4 address of "IP:PORT" as a number, which identifies a
/// control replica; 0 when the address cannot be parsed.
uint32_t Ipv4AsUint(const std::string& address);

/// Returns "IP:PORT" for a number that Ipv4AsUint() returned.
std::string AddressFromIpv4(uint32_t number, uint16_t port);

/// Disables Nagle's algorithm and makes the connection fail after about
/// `dead_peer_timeout` when the peer no longer acknowledges data or, on an idle
/// connection, keep-alive probes.
void SetConnectionOptions(Tcp::socket& socket, Duration dead_peer_timeout);

/// Connects within `limit`; sets `error` on failure.
asio::awaitable<void> Connect(Tcp::socket& socket,
                              Tcp::endpoint endpoint,
                              Duration limit,
                              boost::system::error_code& error);

/// Opens a listening socket. Errors: kBadValue, kPortInUse.
Result<Tcp::acceptor> Listen(const asio::any_io_executor& executor,
                             const std::string& address);

/// Returns whether the peer of an open connection has the address of this end,
/// hence is a process on this host.
bool IsFromThisHost(const Tcp::socket& socket);

/// Accepts connections until `acceptor` is closed and passes each to
/// `on_connection` as a socket of `executor`. Runs on the executor of
/// `acceptor`, which must outlive it.
asio::awaitable<void> AcceptConnections(
    Tcp::acceptor& acceptor,
    asio::any_io_executor executor,
    std::function<void(Tcp::socket)> on_connection);

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_ADAPTERS_ASYNC_NET_H_
