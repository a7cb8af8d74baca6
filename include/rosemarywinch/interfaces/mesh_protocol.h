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

/// Request of a caller, parsed from HTTP.
struct CallerRequest {
  std::string request_id;
  std::string host;
  std::string path;
  /// Key of the client account, if the request has one.
  std::optional<std::string> key;
  /// Remaining time until the caller's deadline, if the request sets one.
  std::optional<Duration> time_left;
};

/// Refusal of a request, sent instead of a backend server's response.
struct Refusal {
  std::string request_id;
  Error error;
  /// HTTP status; by default the status of the error.
  std::optional<int> status;
  /// Time after which the caller may retry; only for requests that did not run.
  std::optional<Duration> retry_after;
};

/// What the response of a backend server states about the request.
struct BackendAnswer {
  /// The response carries the id of the request.
  bool belongs = false;
  /// The response carries no id at all, so that it may be the response to
  /// another request.
  bool anonymous = false;
  /// The backend server states that it did not run the request.
  bool not_run = false;
  /// A different backend server listens at the address.
  bool misdirected = false;
  /// False for a success response that lacks the seal, a header by which a
  /// backend server marks its own responses, or whose body was encoded by
  /// somebody else. Always true for other statuses, which need none.
  bool authentic = false;
};

/// Calls of the local backend server to its node.
struct ReportCall {
  std::string backend_id;
  BackendReport report;
};
struct WithdrawCall {
  std::string backend_id;
  /// Unix time at which the incarnation that leaves has started, if it is told.
  std::optional<Duration> born;
};
struct UnknownCall {
  Error error;
};
using LocalCall = std::variant<ReportCall, WithdrawCall, UnknownCall>;

/// Calls of an operator to control.
struct PutConfigurationCall {
  Configuration configuration;
  /// The configuration as received, returned unchanged when it is read back.
  std::string document;
  /// Canonical form: equal for equal content, regardless of the layout.
  std::string canonical;
};
struct GetConfigurationCall {};
struct StartEvacuationCall {
  std::string data_centre;
};
struct EndEvacuationCall {
  std::string data_centre;
};
using OperatorCall = std::variant<PutConfigurationCall,
                                  GetConfigurationCall,
                                  StartEvacuationCall,
                                  EndEvacuationCall,
                                  UnknownCall>;

/// Encodes and decodes the HTTP messages of callers, backend servers and
/// operators. Contains names and formats only, no decisions. Implementations
/// are thread-safe and stateless.
class MeshProtocol {
 public:
  virtual ~MeshProtocol() = default;

  /// Errors: kBadRequestId, kBadDeadline.
  virtual Result<CallerRequest> ReadRequest(const HttpRequest& request) = 0;
  /// Returns the headers to forward: without the key and without those that
  /// only the nodes may set.
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
  /// Redirects an operator to the control replica at `address`.
  virtual HttpResponse WriteRedirect(const HttpRequest& request,
                                     const std::string& address) = 0;
  virtual HttpResponse WriteConfiguration(const std::string& document) = 0;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_INTERFACES_MESH_PROTOCOL_H_
