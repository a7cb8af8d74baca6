#include "rosemarywinch/adapters/async/async_http_server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <utility>
#include <vector>

#include "rosemarywinch/adapters/async/async_http_connection.h"

namespace rosemarywinch {

using boost::system::error_code;

Result<Done> AsyncHttpServer::Start(const std::string& address) {
  BOOST_LEAF_AUTO(acceptor, Listen(m_strand, address));
  m_acceptor = std::make_unique<Tcp::acceptor>(std::move(acceptor));
  asio::co_spawn(
      m_strand,
      [self = shared_from_this()] {
        return AcceptConnections(*self->m_acceptor,
                                 self->m_context.get_executor(),
                                 [self](Tcp::socket socket) {
                                   self->AddConnection(std::move(socket));
                                 });
      },
      asio::detached);
  return Done{};
}

void AsyncHttpServer::SetLimits(const AsyncServerLimits& limits) {
  std::scoped_lock lock(m_mutex);
  m_limits = limits;
}

AsyncServerLimits AsyncHttpServer::limits() const {
  std::scoped_lock lock(m_mutex);
  return m_limits;
}

void AsyncHttpServer::BeginClosing() {
  m_closing = true;
}

void AsyncHttpServer::CloseToOtherHosts() {
  m_closing = true;
  m_closed_to_other_hosts = true;
  for (const auto& connection : OpenConnections()) {
    if (!connection->from_this_host()) {
      connection->CloseWhenIdle();
    }
  }
}

void AsyncHttpServer::CancelOpenRequests() {
  for (const auto& connection : OpenConnections()) {
    connection->CancelOpenRequests();
  }
}

void AsyncHttpServer::Stop() {
  m_closing = true;
  asio::post(m_strand, [self = shared_from_this()] {
    error_code ignored;
    self->m_acceptor->close(ignored);
  });
  for (const auto& connection : OpenConnections()) {
    connection->CloseWhenIdle();
  }
}

std::vector<std::shared_ptr<AsyncHttpConnection>>
AsyncHttpServer::OpenConnections() const {
  std::vector<std::shared_ptr<AsyncHttpConnection>> open;
  std::scoped_lock lock(m_mutex);
  for (const auto& [key, connection] : m_connections) {
    if (auto live = connection.lock()) {
      open.push_back(std::move(live));
    }
  }
  return open;
}

void AsyncHttpServer::RemoveConnection(const AsyncHttpConnection* connection) {
  std::scoped_lock lock(m_mutex);
  m_connections.erase(connection);
}

// A connection from another host is closed unread: its caller goes elsewhere.
void AsyncHttpServer::AddConnection(Tcp::socket socket) {
  if (m_closed_to_other_hosts && !IsFromThisHost(socket)) {
    return;
  }
  auto connection = std::make_shared<AsyncHttpConnection>(shared_from_this(),
                                                          std::move(socket));
  {
    std::scoped_lock lock(m_mutex);
    m_connections[connection.get()] = connection;
  }
  connection->Start();
}

}  // namespace rosemarywinch
