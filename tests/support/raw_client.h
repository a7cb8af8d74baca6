#ifndef ROSEMARYWINCH_TESTS_SUPPORT_RAW_CLIENT_H_
#define ROSEMARYWINCH_TESTS_SUPPORT_RAW_CLIENT_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <string>

#include "rosemarywinch/adapters/async/http_serialization.h"
#include "rosemarywinch/adapters/async/net.h"
#include "rosemarywinch/adapters/http_response_reader.h"

namespace rosemarywinch::test {

// One connection of a client, on which it may send requests before earlier ones
// are answered. Calls block.
class RawClient {
 public:
  // `source` is the IPv4 address of this end; by default the system chooses.
  explicit RawClient(const std::string& address, const std::string& source = "")
      : m_socket(m_context) {
    const auto endpoint = std::get<Tcp::endpoint>(
        Capture([&] { return ParseEndpoint(address); }));
    m_socket.open(Tcp::v4(), m_error);
    if (!source.empty()) {
      m_socket.bind({boost::asio::ip::make_address(source), 0}, m_error);
    }
    m_socket.connect(endpoint, m_error);
  }

  void Send(const HttpRequest& request) {
    boost::asio::write(m_socket, boost::asio::buffer(SerializeRequest(request)),
                       m_error);
  }

  // Returns the next response. Its status is 0 if the connection ended without
  // a complete one, or if it is broken.
  HttpResponse Read() {
    HttpResponseReader reader(m_budget, /*without_body=*/false);
    reader.Read(m_buffer);
    while (!reader.finished() && !m_error) {
      constexpr size_t kReadBytes = 16'384;
      m_buffer.commit(
          m_socket.read_some(m_buffer.prepare(kReadBytes), m_error));
      if (m_error == boost::asio::error::eof) {
        reader.ReadEnd();
      } else {
        reader.Read(m_buffer);
      }
    }
    return reader.complete() ? reader.Release()
                             : HttpResponse{0, {}, "", false};
  }

 private:
  boost::asio::io_context m_context;
  Tcp::socket m_socket;
  HttpResponseReader::Buffer m_buffer;
  const std::shared_ptr<SharedResponseBudget> m_budget =
      std::make_shared<SharedResponseBudget>();
  boost::system::error_code m_error;
};

}  // namespace rosemarywinch::test

#endif  // ROSEMARYWINCH_TESTS_SUPPORT_RAW_CLIENT_H_
