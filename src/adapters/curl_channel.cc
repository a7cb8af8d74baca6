#include "rosemarywinch/adapters/curl_channel.h"

#include <curl/curl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/asio/buffer.hpp>
#include <cerrno>
#include <string_view>
#include <utility>

#include "rosemarywinch/adapters/http_response_reader.h"

namespace rosemarywinch {

namespace {

// Maximum number of idle handles per address, each with its connection.
constexpr size_t kMaxIdlePerAddress = 64;
constexpr long kConnectTimeoutMs = 1000;
constexpr long kMaxIdleSeconds = 30;
// The last one, which is checked before it is used again.
constexpr long kMaxConnectionsPerHandle = 1;
// A connection whose sent data stays unacknowledged this long counts as dead: a
// host that is up acknowledges data even while its process is busy.
constexpr unsigned kUnacknowledgedTimeoutMs = 2000;
constexpr int kKeepAliveIdleSeconds = 1;
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kKeepAliveProbes = 2;

struct ListDeleter {
  void operator()(curl_slist* list) const { curl_slist_free_all(list); }
};
using HeaderList = std::unique_ptr<curl_slist, ListDeleter>;

// A response as far as it has arrived. libcurl is only asked where the response
// ends; it takes heads and chunks that are malformed.
struct PartialResponse {
  PartialResponse(const std::shared_ptr<SharedResponseBudget>& budget,
                  bool without_body)
      : reader(budget, without_body) {}

  HttpResponseReader::Buffer buffer{HttpResponseReader::kMaxBufferBytes};
  HttpResponseReader reader;
};

// Makes libcurl give a response up when a callback returns it.
constexpr size_t kTakeNoMore = 0;

// Called for the lines of the heads, and for the body as it was transferred,
// with the chunk headers and the trailer.
size_t OnBytes(char* data, size_t size, size_t count, void* target) {
  auto& partial = *static_cast<PartialResponse*>(target);
  HttpResponseReader::Buffer& buffer = partial.buffer;
  const size_t bytes = size * count;
  if (bytes > buffer.max_size() - buffer.size()) {
    return kTakeNoMore;
  }
  buffer.commit(boost::asio::buffer_copy(buffer.prepare(bytes),
                                         boost::asio::buffer(data, bytes)));
  partial.reader.Read(buffer);
  return partial.reader.fault() == ResponseFault::kNone ? bytes : kTakeNoMore;
}

int OnProgress(void* options, curl_off_t, curl_off_t, curl_off_t, curl_off_t) {
  const auto& wait = static_cast<const HttpSendOptions*>(options)->keep_waiting;
  return wait && !wait() ? 1 : 0;
}

int OnSocket(void*, curl_socket_t fd, curlsocktype) {
  const unsigned limit = kUnacknowledgedTimeoutMs;
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &limit, sizeof(limit));
  ::setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
  ::setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &kKeepAliveIdleSeconds,
               sizeof(kKeepAliveIdleSeconds));
  ::setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &kKeepAliveIntervalSeconds,
               sizeof(kKeepAliveIntervalSeconds));
  ::setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &kKeepAliveProbes,
               sizeof(kKeepAliveProbes));
  return CURL_SOCKOPT_OK;
}

HeaderList MakeHeaders(const HttpRequest& request) {
  curl_slist* list = nullptr;
  for (const HttpHeader& header : request.headers.all()) {
    // libcurl omits a header with an empty value unless it ends in a semicolon.
    const std::string line = header.value.empty()
                                 ? header.name + ";"
                                 : header.name + ": " + header.value;
    list = curl_slist_append(list, line.c_str());
  }
  list = curl_slist_append(list, "Expect:");
  list = curl_slist_append(list, "Accept-Encoding:");
  if (request.headers.Find("User-Agent") == nullptr) {
    list = curl_slist_append(list, "User-Agent:");
  }
  if (request.headers.Find("Content-Type") == nullptr) {
    list = curl_slist_append(list, "Content-Type:");
  }
  if (request.headers.Find("Accept") == nullptr) {
    list = curl_slist_append(list, "Accept:");
  }
  return HeaderList(list);
}

void SetBody(CURL* curl, const HttpRequest& request) {
  const bool has_body = !request.body.empty() || request.method == "POST" ||
                        request.method == "PUT" || request.method == "PATCH";
  if (request.method == "HEAD") {
    curl_easy_setopt(curl, CURLOPT_NOBODY, 1L);
  } else if (has_body) {
    curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(request.body.size()));
    curl_easy_setopt(curl, CURLOPT_POSTFIELDS, request.body.data());
  }
  curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, request.method.c_str());
}

// Readable bytes on an idle connection belong to no request, and an end of
// stream means that the peer closed it; neither connection can be reused. Nor
// can a handle whose last connection is closed: it may keep an earlier one,
// which is not checked.
bool IsReusable(CURL* curl) {
  curl_socket_t fd = CURL_SOCKET_BAD;
  curl_easy_getinfo(curl, CURLINFO_ACTIVESOCKET, &fd);
  if (fd == CURL_SOCKET_BAD) {
    return false;
  }
  char byte = 0;
  const ssize_t received = ::recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

Error ErrorOf(const std::string& address, std::string_view cause) {
  return {ErrorId::kUnreachable, address + ": " + std::string(cause)};
}

bool RequestWasSent(CURL* curl, CURLcode code) {
  if (code == CURLE_COULDNT_CONNECT || code == CURLE_COULDNT_RESOLVE_HOST) {
    return false;
  }
  long sent = 0;
  curl_easy_getinfo(curl, CURLINFO_REQUEST_SIZE, &sent);
  return sent > 0;
}

}  // namespace

CurlChannel::CurlChannel() {
  curl_global_init(CURL_GLOBAL_DEFAULT);
}

CurlChannel::~CurlChannel() = default;

void CurlChannel::HandleDeleter::operator()(void* handle) const {
  curl_easy_cleanup(handle);
}

HttpResult CurlChannel::Send(const std::string& address,
                             const HttpRequest& request,
                             const HttpSendOptions& options) {
  Handle handle = AcquireHandle(address);
  CURL* curl = handle.get();
  std::string url = "http://" + address + request.path;
  if (!request.query.empty()) {
    url += "?" + request.query;
  }
  const HeaderList headers = MakeHeaders(request);
  PartialResponse partial(m_budget, request.method == "HEAD");
  curl_easy_setopt(curl, CURLOPT_URL, url.c_str());
  curl_easy_setopt(curl, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(curl, CURLOPT_PROXY, "");
  curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS,
                   static_cast<long>(options.timeout.ms));
  curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS, kConnectTimeoutMs);
  curl_easy_setopt(curl, CURLOPT_MAXAGE_CONN, kMaxIdleSeconds);
  curl_easy_setopt(curl, CURLOPT_MAXCONNECTS, kMaxConnectionsPerHandle);
  curl_easy_setopt(curl, CURLOPT_SOCKOPTFUNCTION, &OnSocket);
  curl_easy_setopt(curl, CURLOPT_FRESH_CONNECT,
                   options.fresh_connection ? 1L : 0L);
  curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers.get());
  curl_easy_setopt(curl, CURLOPT_HTTP_TRANSFER_DECODING, 0L);
  curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, &OnBytes);
  curl_easy_setopt(curl, CURLOPT_WRITEDATA, &partial);
  curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, &OnBytes);
  curl_easy_setopt(curl, CURLOPT_HEADERDATA, &partial);
  curl_easy_setopt(curl, CURLOPT_NOPROGRESS, options.keep_waiting ? 0L : 1L);
  curl_easy_setopt(curl, CURLOPT_XFERINFOFUNCTION, &OnProgress);
  curl_easy_setopt(curl, CURLOPT_XFERINFODATA, &options);
  SetBody(curl, request);
  const CURLcode code = curl_easy_perform(curl);
  HttpResponseReader& reader = partial.reader;
  if (code != CURLE_OK && !RequestWasSent(curl, code)) {
    return NotSent{ErrorOf(address, curl_easy_strerror(code))};
  }
  if (code == CURLE_OK) {
    reader.ReadEnd();
  }
  if (reader.fault() != ResponseFault::kNone) {
    return ResponseLost{ErrorOf(address, EntryOf(reader.fault()).text)};
  }
  if (code != CURLE_OK) {
    return ResponseLost{ErrorOf(address, curl_easy_strerror(code))};
  }
  if (reader.keep_alive() && partial.buffer.size() == 0) {
    ReleaseHandle(address, std::move(handle));
  }
  return reader.Release();
}

CurlChannel::Handle CurlChannel::AcquireHandle(const std::string& address) {
  Handle handle = TakeIdle(address);
  while (handle != nullptr && !IsReusable(handle.get())) {
    handle = TakeIdle(address);
  }
  if (handle == nullptr) {
    return Handle(curl_easy_init());
  }
  // Resets all options; the handle keeps its open connections.
  curl_easy_reset(handle.get());
  return handle;
}

CurlChannel::Handle CurlChannel::TakeIdle(const std::string& address) {
  return m_pools.With(address, [&](Pool& pool) -> Handle {
    std::vector<Handle>& idle = pool[address];
    if (idle.empty()) {
      return nullptr;
    }
    Handle kept = std::move(idle.back());
    idle.pop_back();
    return kept;
  });
}

void CurlChannel::ReleaseHandle(const std::string& address, Handle handle) {
  m_pools.With(address, [&](Pool& pool) {
    std::vector<Handle>& idle = pool[address];
    if (idle.size() < kMaxIdlePerAddress) {
      idle.push_back(std::move(handle));
    }
  });
}

}  // namespace rosemarywinch
