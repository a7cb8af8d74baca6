#include "rosemarywinch/adapters/http_server.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <ulfius.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <condition_variable>
#include <cstring>
#include <mutex>
#include <utility>

namespace rosemarywinch {

namespace {

constexpr int kListenBacklog = 1024;
constexpr size_t kThreadStackBytes = 256UL * 1024;
constexpr size_t kMaxHeaderBytes = 32UL * 1024;
// Longer than the maximum timeout of a request, so that only idle connections
// are closed.
constexpr unsigned kIdleTimeoutSeconds = 660;

HttpHeaders ReadHeaders(const _u_map& map) {
  HttpHeaders headers;
  const char** keys = u_map_enum_keys(&map);
  for (size_t i = 0; keys != nullptr && keys[i] != nullptr; ++i) {
    const char* value = u_map_get(&map, keys[i]);
    headers.Add(keys[i], value == nullptr ? "" : value);
  }
  return headers;
}

HttpRequest ReadRequest(const _u_request& raw) {
  HttpRequest request;
  request.method = raw.http_verb;
  const std::string url = raw.http_url;
  const size_t mark = url.find('?');
  request.path = url.substr(0, mark);
  request.query = mark == std::string::npos ? "" : url.substr(mark + 1);
  request.headers = ReadHeaders(*raw.map_header);
  if (raw.binary_body_length > 0) {
    request.body.assign(static_cast<const char*>(raw.binary_body),
                        raw.binary_body_length);
  }
  return request;
}

// Opens the listening socket, so that port 0 works and the chosen port is
// known.
int OpenListenSocket(const std::string& address, uint32_t port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in name{};
  name.sin_family = AF_INET;
  name.sin_port = htons(static_cast<uint16_t>(port));
  const bool open =
      ::inet_pton(AF_INET, address.c_str(), &name.sin_addr) == 1 &&
      ::bind(fd, reinterpret_cast<sockaddr*>(&name), sizeof(name)) == 0 &&
      ::listen(fd, kListenBacklog) == 0;
  if (!open) {
    ::close(fd);
    return -1;
  }
  return fd;
}

uint32_t PortOf(int fd) {
  sockaddr_in name{};
  socklen_t size = sizeof(name);
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&name), &size);
  return ntohs(name.sin_port);
}

}  // namespace

struct HttpServer::State {
  _u_instance instance{};
  Handler handler;
  uint32_t port = 0;
  size_t max_body_bytes = 0;
  bool started = false;

  std::mutex mutex;
  std::condition_variable idle;
  size_t open_requests = 0;
  bool draining = false;

  void BeginRequest() {
    std::scoped_lock lock(mutex);
    ++open_requests;
  }

  void EndRequest() {
    std::scoped_lock lock(mutex);
    --open_requests;
    if (open_requests == 0) {
      idle.notify_all();
    }
  }

  bool Draining() {
    std::scoped_lock lock(mutex);
    return draining;
  }

  static int Handle(const _u_request* raw, _u_response* out, void* self) {
    auto* state = static_cast<State*>(self);
    const HttpResponse response = state->handler(ReadRequest(*raw));
    for (const HttpHeader& header : response.headers.all()) {
      // The HTTP library writes these itself and rejects them from a handler.
      if (!IsConnectionHeader(header.name)) {
        u_map_put(out->map_header, header.name.c_str(), header.value.c_str());
      }
    }
    if (state->Draining()) {
      u_map_put(out->map_header, "Connection", "close");
    }
    ulfius_set_binary_body_response(out, static_cast<unsigned>(response.status),
                                    response.body.data(), response.body.size());
    return U_CALLBACK_COMPLETE;
  }

  static void* OnRequestBegin(void* self, const char* uri) {
    static_cast<State*>(self)->BeginRequest();
    return ulfius_uri_logger(nullptr, uri);
  }

  static void OnRequestEnd(void* self,
                           MHD_Connection* connection,
                           void** context,
                           MHD_RequestTerminationCode code) {
    mhd_request_completed(nullptr, connection, context, code);
    static_cast<State*>(self)->EndRequest();
  }
};

HttpServer::HttpServer() : m_state(std::make_unique<State>()) {}

HttpServer::~HttpServer() {
  Stop();
}

Result<Done> HttpServer::Start(const HttpServerOptions& options,
                               Handler handler) {
  State& state = *m_state;
  const int fd = OpenListenSocket(options.address, options.port);
  if (fd < 0) {
    return Fail(ErrorId::kPortInUse,
                options.address + ":" + std::to_string(options.port));
  }
  state.port = PortOf(fd);
  state.handler = std::move(handler);
  ulfius_init_instance(&state.instance, state.port, nullptr, nullptr);
  state.instance.max_post_body_size = options.max_body_bytes + 1;
  state.instance.check_utf8 = 0;
  state.instance.allowed_post_processor = U_POST_PROCESS_NONE;
  ulfius_set_default_endpoint(&state.instance, &State::Handle, &state);
  const auto stack = static_cast<intptr_t>(kThreadStackBytes);
  std::array<MHD_OptionItem, 8> settings{{
      {MHD_OPTION_NOTIFY_COMPLETED,
       reinterpret_cast<intptr_t>(&State::OnRequestEnd), &state},
      {MHD_OPTION_URI_LOG_CALLBACK,
       reinterpret_cast<intptr_t>(&State::OnRequestBegin), &state},
      {MHD_OPTION_LISTEN_SOCKET, fd, nullptr},
      {MHD_OPTION_CONNECTION_LIMIT,
       static_cast<intptr_t>(options.max_connections), nullptr},
      {MHD_OPTION_THREAD_STACK_SIZE, stack, nullptr},
      {MHD_OPTION_CONNECTION_MEMORY_LIMIT,
       static_cast<intptr_t>(kMaxHeaderBytes), nullptr},
      {MHD_OPTION_CONNECTION_TIMEOUT, kIdleTimeoutSeconds, nullptr},
      {MHD_OPTION_END, 0, nullptr},
  }};
  const unsigned flags = MHD_USE_THREAD_PER_CONNECTION |
                         MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL |
                         MHD_USE_ITC;
  const int started = ulfius_start_framework_with_mhd_options(
      &state.instance, flags, settings.data());
  if (started != U_OK) {
    ulfius_clean_instance(&state.instance);
    ::close(fd);
    return Fail(ErrorId::kPortInUse, std::to_string(state.port));
  }
  state.started = true;
  return Done{};
}

uint32_t HttpServer::port() const {
  return m_state->port;
}

size_t HttpServer::Drain(Duration limit) {
  std::unique_lock lock(m_state->mutex);
  m_state->draining = true;
  m_state->idle.wait_for(lock, std::chrono::milliseconds(limit.ms),
                         [this] { return m_state->open_requests == 0; });
  return m_state->open_requests;
}

void HttpServer::Stop() {
  if (std::exchange(m_state->started, false)) {
    ulfius_stop_framework(&m_state->instance);
    ulfius_clean_instance(&m_state->instance);
  }
}

}  // namespace rosemarywinch
