#ifndef ROSEMARYWINCH_ADAPTERS_CURL_CHANNEL_H_
#define ROSEMARYWINCH_ADAPTERS_CURL_CHANNEL_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "rosemarywinch/adapters/shared_response_budget.h"
#include "rosemarywinch/core/sharded.h"
#include "rosemarywinch/interfaces/http.h"

namespace rosemarywinch {

/// HTTP client on libcurl. Handles, and with them connections, are pooled by
/// address; a handle serves one request at a time.
/// Only complete and sound responses are returned, read by HttpResponseReader.
/// The memory of unfinished responses is bounded; one without end is broken
/// off.
class CurlChannel : public HttpChannel {
 public:
  CurlChannel();
  ~CurlChannel() override;

  HttpResult Send(const std::string& address,
                  const HttpRequest& request,
                  const HttpSendOptions& options) override;

 private:
  struct HandleDeleter {
    void operator()(void* handle) const;
  };
  using Handle = std::unique_ptr<void, HandleDeleter>;
  using Pool = std::map<std::string, std::vector<Handle>>;

  Handle AcquireHandle(const std::string& address);
  // Returns null if no handle for `address` is idle.
  Handle TakeIdle(const std::string& address);
  void ReleaseHandle(const std::string& address, Handle handle);

  Sharded<Pool> m_pools;
  const std::shared_ptr<SharedResponseBudget> m_budget =
      std::make_shared<SharedResponseBudget>();
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_ADAPTERS_CURL_CHANNEL_H_
