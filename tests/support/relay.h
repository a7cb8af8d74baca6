#ifndef ROSEMARYWINCH_TESTS_SUPPORT_RELAY_H_
#define ROSEMARYWINCH_TESTS_SUPPORT_RELAY_H_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <list>
#include <mutex>
#include <string>
#include <thread>
#include <utility>

namespace rosemarywinch::test {

// A TCP relay inside the test process that simulates network faults: a
// partition, or open connections that silently drop all data while new ones
// work.
class Relay {
 public:
  explicit Relay(uint16_t target) : m_target(target) {
    m_listener = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in name = Loopback(0);
    ::bind(m_listener, reinterpret_cast<sockaddr*>(&name), sizeof(name));
    ::listen(m_listener, 64);
    socklen_t size = sizeof(name);
    ::getsockname(m_listener, reinterpret_cast<sockaddr*>(&name), &size);
    m_port = ntohs(name.sin_port);
    m_acceptor = std::thread([this] { AcceptLoop(); });
  }
  ~Relay() {
    m_stopping = true;
    m_acceptor.join();
    for (std::thread& thread : m_threads) {
      thread.join();
    }
    ::close(m_listener);
  }
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  uint16_t port() const { return m_port; }
  std::string Address() const { return "127.0.0.1:" + std::to_string(m_port); }

  // Drops all data of all connections, existing and new.
  void SetPartitioned(bool partitioned) { m_partitioned = partitioned; }
  // Drops all data of the connections that are open now.
  void BlackholeOpenConnections() { ++m_generation; }

 private:
  static sockaddr_in Loopback(uint16_t port) {
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_port = htons(port);
    name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return name;
  }

  void AcceptLoop() {
    while (!m_stopping) {
      pollfd waiting{m_listener, POLLIN, 0};
      if (::poll(&waiting, 1, 50) <= 0) {
        continue;
      }
      const int client_fd = ::accept(m_listener, nullptr, nullptr);
      const int target_fd = ::socket(AF_INET, SOCK_STREAM, 0);
      const sockaddr_in name = Loopback(m_target);
      if (::connect(target_fd, reinterpret_cast<const sockaddr*>(&name),
                    sizeof(name)) != 0) {
        ::close(client_fd);
        ::close(target_fd);
        continue;
      }
      const int generation = m_generation;
      m_threads.emplace_back([this, client_fd, target_fd, generation] {
        Pump(client_fd, target_fd, generation);
      });
    }
  }

  void Pump(int client_fd, int target_fd, int generation) {
    char buffer[65536];
    bool open = true;
    while (open && !m_stopping) {
      pollfd ends[2] = {{client_fd, POLLIN, 0}, {target_fd, POLLIN, 0}};
      if (::poll(ends, 2, 50) <= 0) {
        continue;
      }
      for (int i = 0; i < 2 && open; ++i) {
        if (ends[i].revents == 0) {
          continue;
        }
        const ssize_t count = ::recv(ends[i].fd, buffer, sizeof(buffer), 0);
        open = count > 0;
        const bool silent = m_partitioned || generation != m_generation;
        if (open && !silent) {
          open = ::send(ends[1 - i].fd, buffer, static_cast<size_t>(count),
                        MSG_NOSIGNAL) == count;
        }
      }
    }
    ::close(client_fd);
    ::close(target_fd);
  }

  const uint16_t m_target;
  int m_listener = -1;
  uint16_t m_port = 0;
  std::atomic<bool> m_stopping = false;
  std::atomic<bool> m_partitioned = false;
  std::atomic<int> m_generation = 0;
  std::thread m_acceptor;
  std::list<std::thread> m_threads;
};

// Returns a port that was free at the time of the call.
inline uint16_t FreePort() {
  const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in name{};
  name.sin_family = AF_INET;
  name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  ::bind(fd, reinterpret_cast<sockaddr*>(&name), sizeof(name));
  socklen_t size = sizeof(name);
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&name), &size);
  ::close(fd);
  return ntohs(name.sin_port);
}

}  // namespace rosemarywinch::test

#endif  // ROSEMARYWINCH_TESTS_SUPPORT_RELAY_H_
