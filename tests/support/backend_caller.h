#ifndef ROSEMARYWINCH_TESTS_SUPPORT_BACKEND_CALLER_H_
#define ROSEMARYWINCH_TESTS_SUPPORT_BACKEND_CALLER_H_

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "platform/wire_protocol.h"
#include "rosemarywinch/adapters/async/backend_channel.h"
#include "rosemarywinch/decisions/mesh/answer_check.h"
#include "rosemarywinch/interfaces/http_request_builder.h"

namespace rosemarywinch::test {

// Sends requests over one channel, as the proxy of a backend server does.
class BackendCaller {
 public:
  explicit BackendCaller(const std::string& address) : m_channel(address) {}

  BackendResult Send(const std::string& id) {
    Start(id);
    return std::move(Finish().front());
  }

  void Start(const std::string& id) {
    m_results.emplace_back();
    asio::co_spawn(
        m_context,
        [this, id, at = m_results.size() - 1] { return Run(id, at); },
        asio::detached);
  }

  std::vector<BackendResult> Finish() {
    m_context.run();
    m_context.restart();
    return std::exchange(m_results, {});
  }

 private:
  static constexpr Duration kLimit{20'000};

  asio::awaitable<void> Run(std::string id, size_t at) {
    HopRequest hop;
    hop.request_id = id;
    HttpRequest request =
        HttpRequestBuilder("GET", "/").Header("X-Request-Id", id).Build();
    const ResponseMatcher matches = [&](const HttpResponse& response,
                                        bool reused) {
      return IsAnswerToRequest(m_protocol.ReadBackendAnswer(hop, response),
                               reused);
    };
    const auto cancellation = std::make_shared<CancellationToken>();
    BackendResult result = co_await m_channel.Send(std::move(request), matches,
                                                   kLimit, cancellation);
    m_results[at] = std::move(result);
  }

  asio::io_context m_context;
  WireProtocol m_protocol;
  BackendChannel m_channel;
  std::vector<BackendResult> m_results;
};

}  // namespace rosemarywinch::test

#endif  // ROSEMARYWINCH_TESTS_SUPPORT_BACKEND_CALLER_H_
