#define BOOST_TEST_MODULE wire_protocol
#include <boost/test/unit_test.hpp>

#include <string>

#include "platform/wire_protocol.h"
#include "rosemarywinch/adapters/async/http_serialization.h"
#include "rosemarywinch/interfaces/http_request_builder.h"

using namespace rosemarywinch;

namespace {

// Returns a request with the headers that the mesh sets itself, all forged.
HttpRequestBuilder ForgedRequest() {
  HttpRequestBuilder builder("POST", "/pay/1");
  builder.Header("Host", "a.example")
      .Header("X-Request-Id", "r1")
      .Header("X-Tenant-Name", "forged")
      .Header("X-Caller-Service", "forged")
      .Header("X-Deadline-Ms", "9")
      .Header("X-Expect-Instance", "forged")
      .Header("Authorization", "Token k1")
      .Header("X-Kept", "yes")
      .Header("X-Dropped", "no");
  return builder;
}

// Returns the text of the request that the backend server gets.
std::string Forwarded(const HttpRequest& request) {
  WireProtocol protocol;
  HopRequest hop;
  hop.request_id = "r1";
  hop.method = request.method;
  hop.target = request.path;
  hop.headers = protocol.ForwardedHeaders(request);
  hop.account = "ann";
  hop.caller_service = "shop";
  return SerializeRequest(
      protocol.WriteBackendRequest(hop, "i-1", Duration{500}));
}

size_t CountOf(const std::string& text, const std::string& part) {
  size_t count = 0;
  for (size_t at = text.find(part); at != std::string::npos;
       at = text.find(part, at + 1)) {
    ++count;
  }
  return count;
}

void CheckMeshHeaders(const std::string& text) {
  for (const char* line :
       {"Host: a.example\r\n", "X-Request-Id: r1\r\n", "X-Tenant-Name: ann\r\n",
        "X-Caller-Service: shop\r\n", "X-Deadline-Ms: 500\r\n",
        "X-Expect-Instance: i-1\r\n"}) {
    BOOST_TEST(CountOf(text, line) == 1u, line << " in\n" << text);
  }
  BOOST_TEST(CountOf(text, "forged") == 0u);
  BOOST_TEST(CountOf(text, "Token") == 0u);
}

}  // namespace

BOOST_AUTO_TEST_CASE(the_mesh_sets_its_headers_whatever_was_sent) {
  const std::string text = Forwarded(ForgedRequest().Build());
  CheckMeshHeaders(text);
  BOOST_TEST(CountOf(text, "X-Kept: yes\r\n") == 1u);
}

// Failure: the caller listed headers of the mesh in Connection, and the backend
// server ran the request without them.
BOOST_AUTO_TEST_CASE(a_connection_header_removes_no_header_of_the_mesh) {
  const std::string names =
      "Host, x-request-id,X-Tenant-Name , X-Caller-Service,X-Deadline-Ms, "
      "X-Expect-Instance, X-Dropped, Authorization";
  for (const std::string& list : {names, "close, " + names, ",," + names}) {
    for (const bool second : {false, true}) {
      HttpRequestBuilder builder = ForgedRequest();
      if (second) {
        builder.Header("Connection", "keep-alive");
      }
      builder.Header("connection", list);
      const std::string text = Forwarded(builder.Build());
      CheckMeshHeaders(text);
      BOOST_TEST(CountOf(text, "X-Kept: yes\r\n") == 1u);
      BOOST_TEST(CountOf(text, "X-Dropped") == 0u);
      BOOST_TEST(CountOf(text, "onnection: ") == 0u);
    }
  }
}

// The same on the product's own interface, which removes the headers before it
// adds its own.
BOOST_AUTO_TEST_CASE(headers_listed_in_connection_are_not_forwarded) {
  HttpHeaders headers;
  headers.Add("Connection", "X-A");
  headers.Add("X-A", "a");
  headers.Add("X-B", "b");
  headers.RemoveConnectionHeaders();
  BOOST_TEST(headers.all().size() == 1u);
  BOOST_TEST((headers.Find("X-B") != nullptr));
}
