#ifndef ROSEMARYWINCH_INTERFACES_MESH_PROTOCOL_H_
#define ROSEMARYWINCH_INTERFACES_MESH_PROTOCOL_H_

#include <optional>
#include <string>
#include <variant>

#include "rosemarywinch/core/error.h"
#include "rosemarywinch/core/time.h"
#include "rosemarywinch/interfaces/http.h"
#include "rosemarywinch/schema/mesh.h"

namespace rosemarywinch {

/// A caller's request, read from HTTP.
struct CallerRequest {
  std::string request_id;
  std::string host;
  std::string path;
  /// Key of the client account, if one came with the request.
  std::optional<std::string> key;
  /// How long the caller waits, if it says so.
  std::optional<Duration> time_left;
};

/// A request that will not be answered by a backend server.
struct Refusal {
  std::string request_id;
  Error error;
  /// HTTP status; the error's own unless set.
  std::optional<int> status;
  /// When the caller may come back; only for requests that have not run.
  std::optional<Duration> retry_after;
};

/// What an answer of the backend server says about the request.
struct BackendAnswer {
  bool belongs = false;
  /// The backend server says that it did not run the request.
  bool not_run = false;
  /// Another backend server has the address.
  bool misdirected = false;
  /// A success that carries the proof of having been made there.
  bool authentic = false;
};

/// What the local backend server tells its node.
struct ReportCall {
  std::string backend_id;
  BackendReport report;
};
struct WithdrawCall {
  std::string backend_id;
};
struct UnknownCall {
  Error error;
};
using LocalCall = std::variant<ReportCall, WithdrawCall, UnknownCall>;

/// What an operator asks of control.
struct PutConfigurationCall {
  Configuration configuration;
  /// The configuration as it came, for reading it back.
  std::string document;
  /// The same text for the same content, whatever its layout.
  std::string canonical;
};
struct GetConfigurationCall {};
using OperatorCall =
    std::variant<PutConfigurationCall, GetConfigurationCall, UnknownCall>;

/// How callers, backend servers and operators speak: names and formats only.
/// Implementations are thread-safe and keep no state.
class MeshProtocol {
 public:
  virtual ~MeshProtocol() = default;

  /// Errors: kBadRequestId, kBadDeadline.
  virtual Result<CallerRequest> ReadRequest(const HttpRequest& request) = 0;
  /// Returns the headers to pass on: without the key and without those that
  /// only the fleet may set.
  virtual std::vector<HeaderField> ForwardedHeaders(
      const HttpRequest& request) = 0;
  virtual HttpResponse WriteRefusal(const Refusal& refusal) = 0;

  virtual HttpRequest WriteBackendRequest(const HopRequest& request,
                                          const std::string& backend_id,
                                          Duration time_left) = 0;
  virtual BackendAnswer ReadBackendAnswer(const HopRequest& request,
                                          const HttpResponse& response) = 0;

  virtual bool IsReadinessCheck(const HttpRequest& request) = 0;
  virtual LocalCall ReadLocalCall(const HttpRequest& request) = 0;
  virtual OperatorCall ReadOperatorCall(const HttpRequest& request) = 0;
  /// Sends an operator to the control replica at `address`.
  virtual HttpResponse WriteRedirect(const HttpRequest& request,
                                     const std::string& address) = 0;
  virtual HttpResponse WriteConfiguration(const std::string& document) = 0;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_INTERFACES_MESH_PROTOCOL_H_
