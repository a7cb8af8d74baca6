#ifndef ROSEMARYWINCH_PROGRAMS_MESH_LOCAL_CALL_HANDLER_H_
#define ROSEMARYWINCH_PROGRAMS_MESH_LOCAL_CALL_HANDLER_H_

#include <boost/asio/awaitable.hpp>

#include "rosemarywinch/interfaces/mesh_protocol.h"
#include "rosemarywinch/programs/mesh/backend_proxy.h"

namespace rosemarywinch {

/// Answers the calls in which the local backend server reports its state or
/// that it shuts down. Thread-safe.
class LocalCallHandler {
 public:
  LocalCallHandler(MeshProtocol& protocol, BackendProxy& backend_proxy)
      : m_protocol(protocol), m_backend_proxy(backend_proxy) {}

  asio::awaitable<HttpResponse> Handle(const HttpRequest& request);

 private:
  asio::awaitable<HttpResponse> Answer(ReportCall report);
  asio::awaitable<HttpResponse> Answer(WithdrawCall withdraw);
  asio::awaitable<HttpResponse> Answer(UnknownCall unknown);
  asio::awaitable<HttpResponse> AcknowledgeDeparture(Departure departure);
  HttpResponse Refuse(Error error);

  MeshProtocol& m_protocol;
  BackendProxy& m_backend_proxy;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_PROGRAMS_MESH_LOCAL_CALL_HANDLER_H_
