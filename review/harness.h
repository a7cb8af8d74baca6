// Stand-ins for the platform, clients and upstreams, shared by the cases.
// Every case is one program: it starts the product's processes, plays its
// clients and upstreams, and judges by what those have seen.
#ifndef REVIEW_HARNESS_H_
#define REVIEW_HARNESS_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;

inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCouldNotRun = 2;

// Seconds since the program started.
inline double Now() {
  static const Clock::time_point start = Clock::now();
  return std::chrono::duration<double>(Clock::now() - start).count();
}

inline void SleepFor(double seconds) {
  std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

inline void SleepUntil(double when) {
  if (when > Now()) {
    SleepFor(when - Now());
  }
}

inline bool WaitUntil(const std::function<bool()>& holds, double limit) {
  const double end = Now() + limit;
  while (!holds()) {
    if (Now() >= end) {
      return false;
    }
    SleepFor(0.02);
  }
  return true;
}

inline int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// What was sent, answered and run, one line each, in `record.txt`.
class Record {
 public:
  explicit Record(const std::string& path)
      : m_file(std::fopen(path.c_str(), "w")) {}
  ~Record() { std::fclose(m_file); }

  __attribute__((format(printf, 2, 3))) void Add(const char* format, ...) {
    std::scoped_lock lock(m_mutex);
    std::fprintf(m_file, "%9.3f ", Now());
    va_list values;
    va_start(values, format);
    std::vfprintf(m_file, format, values);
    va_end(values);
    std::fputc('\n', m_file);
    std::fflush(m_file);
  }

 private:
  std::mutex m_mutex;
  std::FILE* m_file;
};

inline sockaddr_in SocketAddress(const std::string& address) {
  const size_t colon = address.rfind(':');
  sockaddr_in name{};
  name.sin_family = AF_INET;
  name.sin_port =
      htons(static_cast<uint16_t>(std::stoi(address.substr(colon + 1))));
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &name.sin_addr);
  return name;
}

// Returns a port that is free on all loopback addresses.
inline int FreePort() {
  static std::vector<int> kept;
  const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in name = SocketAddress("0.0.0.0:0");
  socklen_t length = sizeof(name);
  ::bind(fd, reinterpret_cast<sockaddr*>(&name), sizeof(name));
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&name), &length);
  const int port = ntohs(name.sin_port);
  ::close(fd);
  if (std::find(kept.begin(), kept.end(), port) != kept.end()) {
    return FreePort();
  }
  kept.push_back(port);
  return port;
}

inline bool SameName(const std::string& a, const std::string& b) {
  return a.size() == b.size() && ::strcasecmp(a.c_str(), b.c_str()) == 0;
}

// An HTTP message. `start` is the request or status line.
struct Message {
  std::string start;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;

  std::optional<std::string> Find(const std::string& name) const {
    for (const auto& [key, value] : headers) {
      if (SameName(key, name)) {
        return value;
      }
    }
    return std::nullopt;
  }
  std::string Get(const std::string& name) const {
    return Find(name).value_or("");
  }
  int Status() const {
    return start.size() < 12 ? 0 : std::atoi(start.c_str() + 9);
  }
};

// A TCP connection that carries HTTP/1.1 messages with a length.
class Connection {
 public:
  explicit Connection(int fd) : m_fd(fd) { SetNoDelay(); }
  Connection() = default;
  ~Connection() { Close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  // `receive_buffer` bounds the bytes that arrive before they are read; 0 keeps
  // the system's default.
  bool Open(const std::string& address, int receive_buffer = 0) {
    Close();
    m_buffer.clear();
    m_ended = false;
    m_fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in name = SocketAddress(address);
    SetNoDelay();
    if (receive_buffer > 0) {
      ::setsockopt(m_fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
                   sizeof(receive_buffer));
    }
    if (::connect(m_fd, reinterpret_cast<const sockaddr*>(&name),
                  sizeof(name)) != 0) {
      Close();
      return false;
    }
    return true;
  }

  bool open() const { return m_fd >= 0; }
  // Returns whether the peer has closed or reset the connection.
  bool ended() const { return m_ended; }

  bool Send(const std::string& text) {
    size_t sent = 0;
    while (sent < text.size()) {
      const ssize_t count =
          ::send(m_fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
      if (count <= 0) {
        return false;
      }
      sent += static_cast<size_t>(count);
    }
    return true;
  }

  // Reads one message. Returns nothing if the connection ends before it is
  // complete, or after `limit` seconds.
  std::optional<Message> Read(double limit) {
    const double end = Now() + limit;
    size_t head = std::string::npos;
    while ((head = m_buffer.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill(end)) {
        return std::nullopt;
      }
    }
    Message message = ParseHead(m_buffer.substr(0, head));
    m_buffer.erase(0, head + 4);
    const size_t length =
        std::strtoull(message.Get("Content-Length").c_str(), nullptr, 10);
    while (m_buffer.size() < length) {
      if (!Fill(end)) {
        return std::nullopt;
      }
    }
    message.body = m_buffer.substr(0, length);
    m_buffer.erase(0, length);
    return message;
  }

  void Close() {
    if (m_fd >= 0) {
      ::close(m_fd);
      m_fd = -1;
    }
  }

  // Makes a thread that reads here return.
  void Interrupt() { ::shutdown(m_fd, SHUT_RDWR); }

 private:
  void SetNoDelay() {
    const int on = 1;
    ::setsockopt(m_fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  }

  bool Fill(double end) {
    const int wait = static_cast<int>((end - Now()) * 1000);
    pollfd ready{m_fd, POLLIN, 0};
    if (wait <= 0 || ::poll(&ready, 1, wait) <= 0) {
      return false;
    }
    char chunk[65536];
    const ssize_t count = ::recv(m_fd, chunk, sizeof(chunk), 0);
    if (count <= 0) {
      m_ended = true;
      return false;
    }
    m_buffer.append(chunk, static_cast<size_t>(count));
    return true;
  }

  static Message ParseHead(const std::string& text) {
    Message message;
    size_t at = text.find("\r\n");
    message.start = text.substr(0, at);
    while (at != std::string::npos) {
      const size_t begin = at + 2;
      at = text.find("\r\n", begin);
      const std::string line = text.substr(
          begin, at == std::string::npos ? std::string::npos : at - begin);
      const size_t colon = line.find(':');
      if (colon != std::string::npos) {
        const size_t value = line.find_first_not_of(' ', colon + 1);
        message.headers.emplace_back(
            line.substr(0, colon),
            value == std::string::npos ? "" : line.substr(value));
      }
    }
    return message;
  }

  int m_fd = -1;
  bool m_ended = false;
  std::string m_buffer;
};

using Headers = std::vector<std::pair<std::string, std::string>>;

inline std::string RequestText(const std::string& method,
                               const std::string& target,
                               const Headers& headers,
                               const std::string& body = "") {
  std::string text = method + " " + target + " HTTP/1.1\r\n";
  for (const auto& [name, value] : headers) {
    text += name + ": " + value + "\r\n";
  }
  if (!body.empty() || method != "GET") {
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  return text + "\r\n" + body;
}

// Sends one request on a connection of its own. Returns nothing without a
// complete answer.
inline std::optional<Message> Call(const std::string& address,
                                   const std::string& text,
                                   double limit) {
  Connection connection;
  if (!connection.Open(address) || !connection.Send(text)) {
    return std::nullopt;
  }
  return connection.Read(limit);
}

// A process of the product. It ends with this program at the latest.
class Process {
 public:
  Process(const std::string& program,
          const std::string& role,
          const std::string& settings,
          const std::string& log) {
    m_pid = ::fork();
    if (m_pid == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      ::dup2(out, 1);
      ::dup2(out, 2);
      ::setenv("ROSEMARYWINCH_CONFIG", settings.c_str(), 1);
      ::execl(program.c_str(), program.c_str(), "mesh", role.c_str(), nullptr);
      ::_exit(127);
    }
  }
  ~Process() { Kill(); }
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  pid_t pid() const { return m_pid; }
  void Signal(int number) const {
    if (m_pid > 0) {
      ::kill(m_pid, number);
    }
  }
  void Kill() {
    if (m_pid > 0) {
      ::kill(m_pid, SIGKILL);
      ::waitpid(m_pid, nullptr, 0);
      m_pid = -1;
    }
  }
  // Resident memory in bytes; 0 once the process has ended.
  uint64_t ResidentBytes() const {
    std::ifstream file("/proc/" + std::to_string(m_pid) + "/statm");
    uint64_t total = 0;
    uint64_t resident = 0;
    file >> total >> resident;
    return resident * static_cast<uint64_t>(::sysconf(_SC_PAGESIZE));
  }

 private:
  pid_t m_pid = -1;
};

// An upstream: runs each request for a while and answers with its seal. It
// answers 421 to a request that expects another instance, and refuses one
// without an id, as the pages say.
class Upstream {
 public:
  struct Run {
    double at = 0;
    std::string id;
    Message request;
  };
  using WorkSeconds = std::function<double(const Message&)>;

  Upstream(std::string address,
           std::string service,
           std::string id,
           Record& record,
           WorkSeconds work,
           size_t answer_bytes = 0)
      : m_address(std::move(address)),
        m_service(std::move(service)),
        m_id(std::move(id)),
        m_born(UnixMs()),
        m_record(record),
        m_work(std::move(work)),
        m_answer_bytes(answer_bytes) {
    m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in name = SocketAddress(m_address);
    m_ok = ::bind(m_listener, reinterpret_cast<const sockaddr*>(&name),
                  sizeof(name)) == 0 &&
           ::listen(m_listener, 128) == 0;
    m_acceptor = std::thread([this] { Accept(); });
  }
  ~Upstream() { Stop(); }
  Upstream(const Upstream&) = delete;
  Upstream& operator=(const Upstream&) = delete;

  // Number of requests that the upstream says it can run at the same time.
  int slots = 35;

  bool ok() const { return m_ok; }
  const std::string& id() const { return m_id; }

  void Stop() {
    if (m_stopped.exchange(true)) {
      return;
    }
    ::shutdown(m_listener, SHUT_RDWR);
    m_acceptor.join();
    ::close(m_listener);
    {
      std::scoped_lock lock(m_mutex);
      for (const auto& connection : m_connections) {
        connection->Interrupt();
      }
    }
    for (std::thread& thread : m_threads) {
      thread.join();
    }
  }

  std::vector<Run> Runs() {
    std::scoped_lock lock(m_mutex);
    return m_runs;
  }

  // The call with which the upstream reports its state now. Each call has a
  // higher sequence number.
  std::string ReportText(const std::string& state) {
    const std::string body =
        R"({"service":")" + m_service + R"(","address":")" + m_address +
        R"(","zone":"dc","version":"v1","slots":)" + std::to_string(slots) +
        R"(,"state":")" + state + R"(","cold_left":0,"sequence":)" +
        std::to_string(++m_sequence) + R"(,"born":)" + std::to_string(m_born) +
        "}";
    return RequestText("PUT", "/backends/" + m_id,
                       {{"Host", "node"}, {"Content-Type", "application/json"}},
                       body);
  }

  std::string DeregisterText() const {
    const std::string body = R"({"born":)" + std::to_string(m_born) + "}";
    return RequestText("DELETE", "/backends/" + m_id,
                       {{"Host", "node"}, {"Content-Type", "application/json"}},
                       body);
  }

 private:
  void Accept() {
    while (!m_stopped) {
      const int fd = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        continue;
      }
      auto connection = std::make_shared<Connection>(fd);
      std::scoped_lock lock(m_mutex);
      m_connections.push_back(connection);
      m_threads.emplace_back([this, connection] { Serve(*connection); });
    }
  }

  void Serve(Connection& connection) {
    while (!m_stopped) {
      const auto request = connection.Read(60);
      if (!request || !connection.Send(Answer(*request))) {
        break;
      }
    }
    connection.Interrupt();
  }

  std::string Answer(const Message& request) {
    const std::string id = request.Get("X-Request-Id");
    if (request.start.find(" /health ") != std::string::npos) {
      return AnswerText("200 OK", {{"X-Instance-Id", m_id}}, "");
    }
    const std::string expected = request.Get("X-Expect-Instance");
    if (!expected.empty() && expected != m_id) {
      return AnswerText("421 Misdirected Request",
                        {{"X-Request-Id", id}, {"X-Instance-Id", m_id}}, "");
    }
    if (id.empty()) {
      return AnswerText("400 Bad Request", {{"X-Not-Executed", "1"}}, "");
    }
    m_record.Add("run      %s at %s (%zu bytes)", id.c_str(), m_id.c_str(),
                 request.body.size());
    {
      std::scoped_lock lock(m_mutex);
      m_runs.push_back({Now(), id, request});
    }
    SleepFor(m_work(request));
    return AnswerText("200 OK",
                      {{"X-Request-Id", id}, {"X-Server-Seal", "seal." + id}},
                      AnswerBody(id));
  }

  std::string AnswerBody(const std::string& id) const {
    std::string body = "answer to " + id;
    body.resize(std::max(body.size(), m_answer_bytes), '.');
    return body;
  }

  static std::string AnswerText(const std::string& status,
                                const Headers& headers,
                                const std::string& body) {
    std::string text = "HTTP/1.1 " + status + "\r\n";
    for (const auto& [name, value] : headers) {
      text += name + ": " + value + "\r\n";
    }
    return text + "Keep-Alive: timeout=10\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
  }

  const std::string m_address;
  const std::string m_service;
  const std::string m_id;
  const int64_t m_born;
  Record& m_record;
  const WorkSeconds m_work;
  const size_t m_answer_bytes;
  bool m_ok = false;
  int m_listener = -1;
  std::atomic<bool> m_stopped{false};
  std::atomic<uint64_t> m_sequence{0};
  std::thread m_acceptor;
  std::mutex m_mutex;
  std::vector<std::shared_ptr<Connection>> m_connections;
  std::vector<std::thread> m_threads;
  std::vector<Run> m_runs;
};

// The platform: three control replicas and some nodes, each on a loopback
// address of its own, with the bounds of `pemberton-post`.
class Deployment {
 public:
  static constexpr int kReplicas = 3;

  Deployment(std::string program, Record& record)
      : m_program(std::move(program)), m_record(record) {
    char name[] = "/tmp/rosemarywinch-review-XXXXXX";
    m_folder = ::mkdtemp(name);
    for (int i = 0; i < kReplicas; ++i) {
      m_controls.push_back(nullptr);
      StartControl(i, true);
    }
  }
  ~Deployment() {
    m_nodes.clear();
    m_controls.clear();
    if (std::getenv("KEEP") == nullptr) {
      std::filesystem::remove_all(m_folder);
    }
  }

  static std::string ControlHost(int i) {
    return "127.0.41." + std::to_string(1 + i);
  }
  static std::string NodeHost(int i) {
    return "127.0.41." + std::to_string(11 + i);
  }
  std::string Operator(int i) const { return ControlHost(i) + Port(1); }
  std::string Outbound(int i) const { return NodeHost(i) + Port(0); }
  std::string Local(int i) const { return NodeHost(i) + Port(1); }
  std::string Ready(int i) const { return NodeHost(i) + Port(2); }
  std::string App(int i) const { return NodeHost(i) + Port(3); }
  // Address at which control replicas and nodes talk to a control replica.
  std::string ControlPeer(int i) const { return ControlHost(i) + Port(4); }
  const std::string& folder() const { return m_folder; }

  void StartControl(int i, bool founding) {
    const std::string name = "core-" + std::to_string(i);
    const std::string host = ControlHost(i);
    const std::string settings =
        "node_name = " + name + "\noperator_address = " + Operator(i) +
        "\npeer_address = " + host + Port(4) + "\nmetrics_address = " + host +
        Port(5) + "\nseeds = " + Seeds() + "\ndata_folder = " + m_folder + "/" +
        name + "\nfounding = " + (founding ? "true" : "false") +
        "\ntolerated_losses = 1\nwithdrawal_limit = 5000\nquota_window = 5" +
        "\nquota_overage = 0.1\nquota_slack = 20\n";
    m_controls[static_cast<size_t>(i)] = Start(name, "control", settings);
  }

  // `control_port` is where the node finds the control replicas; 0 is the port
  // at which they listen.
  void StartNode(int i, const std::string& service, int control_port = 0) {
    const std::string name = "sidecar-" + std::to_string(i);
    const std::string host = NodeHost(i);
    const std::string settings =
        "node_name = " + name + "\ndata_centre = dc\nservice = " + service +
        "\nbackend_address = " + App(i) + "\ncaller_address = " + Outbound(i) +
        "\nlocal_address = " + Local(i) + "\nready_address = " + Ready(i) +
        "\npeer_address = " + host + Port(4) + "\nmetrics_address = " + host +
        Port(5) + "\nseeds = " + Seeds() + "\ncontrol_peer_port = " +
        (control_port > 0 ? std::to_string(control_port) : Port(4).substr(1)) +
        "\nreport_interval = 1500\nstop_grace = 6\n";
    m_nodes[i] = Start(name, "node", settings);
  }

  Process& node(int i) { return *m_nodes.at(i); }
  Process& control(int i) { return *m_controls.at(static_cast<size_t>(i)); }

  bool IsReady(int i) const {
    const auto answer =
        Call(Ready(i), RequestText("GET", "/readiness", {{"Host", "node"}}), 1);
    return answer && answer->Status() == 200;
  }

  // Sends a configuration as the operator does, until it is acknowledged.
  bool Put(const std::string& document) {
    return WaitUntil(
        [&] {
          for (int i = 0; i < kReplicas; ++i) {
            const auto answer = Call(
                Operator(i),
                RequestText(
                    "PUT", "/configuration",
                    {{"Host", "control"}, {"Content-Type", "application/json"}},
                    document),
                2);
            if (answer && answer->Status() == 200) {
              m_record.Add("operator configuration acknowledged by %s",
                           Operator(i).c_str());
              return true;
            }
          }
          return false;
        },
        20);
  }

 private:
  std::string Port(size_t which) const {
    return ":" + std::to_string(m_ports.at(which));
  }

  std::string Seeds() const {
    std::string seeds;
    for (int i = 0; i < kReplicas; ++i) {
      seeds += (i > 0 ? "," : "") + Operator(i);
    }
    return seeds;
  }

  std::unique_ptr<Process> Start(const std::string& name,
                                 const std::string& role,
                                 const std::string& settings) {
    const std::string file = m_folder + "/" + name + ".settings";
    std::ofstream(file) << settings;
    m_record.Add("platform starts %s", name.c_str());
    return std::make_unique<Process>(m_program, role, file,
                                     m_folder + "/" + name + ".log");
  }

  const std::string m_program;
  Record& m_record;
  std::string m_folder;
  // Ports for: clients; local calls and operators; readiness; upstreams;
  // internal; metrics.
  const std::vector<int> m_ports{FreePort(), FreePort(), FreePort(),
                                 FreePort(), FreePort(), FreePort()};
  std::vector<std::unique_ptr<Process>> m_controls;
  std::map<int, std::unique_ptr<Process>> m_nodes;
};

// Routes to the service `till`, /read/ (safe) and /pay/ (unsafe), and to the
// service `shop`, /shop/ (safe). With `later_route`, there is also /later/ to
// `till` (safe). One tenant with one key.
inline std::string Configuration(int version,
                                 int base,
                                 int timeout_ms,
                                 bool later_route = false) {
  const auto route = [&](const std::string& prefix, const std::string& kind,
                         const std::string& service) {
    return R"({"hostname":"a.example","path_prefix":")" + prefix +
           R"(","kind":")" + kind + R"(","timeout":)" +
           std::to_string(timeout_ms) +
           R"(,"target_latency":1500,"priority":0,"service":")" + service +
           R"(","max_attempts":2,"open":false})";
  };
  return R"({"version":)" + std::to_string(version) + R"(,"base_version":)" +
         std::to_string(base) + R"(,"routes":{"r-read":)" +
         route("/read/", "idempotent", "till") + R"(,"r-pay":)" +
         route("/pay/", "at_most_once", "till") + R"(,"r-shop":)" +
         route("/shop/", "idempotent", "shop") +
         (later_route
              ? R"(,"r-later":)" + route("/later/", "idempotent", "till")
              : "") +
         R"(},"services":{"shop":{"health_path":"/health",)" +
         R"("max_connections":310,"protocol":"h1","tls":false},)" +
         R"("till":{"health_path":"/health","max_connections":310,)" +
         R"("protocol":"h1","tls":false}},"limits":{"max_header_bytes":16384,)" +
         R"("max_body_bytes":67108864,"header_timeout":3000,)" +
         R"("idle_timeout":15000},"accounts":{"ann":{"keys":["key-of-ann"],)" +
         R"("priority":1,"rate":500,"burst":500}}})";
}

inline Headers ClientHeaders(const std::string& id, int deadline_ms) {
  return {{"Host", "a.example"},
          {"X-Request-Id", id},
          {"X-Deadline-Ms", std::to_string(deadline_ms)},
          {"Authorization", "Token key-of-ann"}};
}

// Sends an upstream's reports to its node about every 1.5 s until stopped.
class Heartbeats {
 public:
  Heartbeats(Upstream& upstream, std::string node)
      : m_thread([this, &upstream, node = std::move(node)] {
          while (!m_stopped) {
            Call(node, upstream.ReportText("ready"), 1);
            for (int i = 0; i < 15 && !m_stopped; ++i) {
              SleepFor(0.1);
            }
          }
        }) {}
  ~Heartbeats() { Stop(); }
  void Stop() {
    m_stopped = true;
    if (m_thread.joinable()) {
      m_thread.join();
    }
  }

 private:
  std::atomic<bool> m_stopped{false};
  std::thread m_thread;
};

// Arguments of a case: the product's program, and the folder of the record.
struct CaseSetup {
  std::string program;
  std::string folder;
  bool trouble = true;
};

inline CaseSetup ReadSetup(int count, char** words) {
  if (count != 3 || ::access(words[1], X_OK) != 0) {
    std::fprintf(stderr, "usage: %s PROGRAM FOLDER\n", words[0]);
    std::exit(kCouldNotRun);
  }
  ::signal(SIGPIPE, SIG_IGN);
  Now();
  const char* trouble = std::getenv("TROUBLE");
  return {words[1], words[2],
          trouble == nullptr || std::string(trouble) != "0"};
}

inline int GiveUp(Record& record, const char* reason) {
  record.Add("verdict  could not run: %s", reason);
  std::printf("could not run: %s\n", reason);
  return kCouldNotRun;
}

}  // namespace review

#endif  // REVIEW_HARNESS_H_
