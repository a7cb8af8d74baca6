#ifndef ROSEMARYWINCH_PROGRAMS_MESH_OPERATOR_CALL_HANDLER_H_
#define ROSEMARYWINCH_PROGRAMS_MESH_OPERATOR_CALL_HANDLER_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/thread_pool.hpp>
#include <cstdint>
#include <functional>
#include <optional>

#include "rosemarywinch/adapters/system.h"
#include "rosemarywinch/interfaces/clock.h"
#include "rosemarywinch/interfaces/mesh_protocol.h"
#include "rosemarywinch/programs/consensus_driver.h"
#include "rosemarywinch/programs/control_service.h"

namespace rosemarywinch {

namespace asio = boost::asio;

/// Answers the calls in which operators store and read the configuration and
/// order evacuations. A replica that does not lead sends them on to the leader.
/// Thread-safe.
class OperatorCallHandler {
 public:
  static constexpr Duration kDefaultApplyLimit{2'000};

  /// A configuration is acknowledged once no node can act on an older one when
  /// `apply_limit` has passed after that. Operators reach every replica at its
  /// address with `operator_port`.
  OperatorCallHandler(uint32_t replica_id,
                      uint16_t operator_port,
                      MeshProtocol& protocol,
                      ControlService& service,
                      ConsensusDriver& driver,
                      Clock& clock,
                      Duration apply_limit = kDefaultApplyLimit)
      : m_replica_id(replica_id),
        m_operator_port(operator_port),
        m_protocol(protocol),
        m_service(service),
        m_driver(driver),
        m_clock(clock),
        m_apply_limit(apply_limit) {}

  asio::awaitable<HttpResponse> Handle(HttpRequest request);

 private:
  asio::awaitable<HttpResponse> Execute(HttpRequest request, UnknownCall call);
  asio::awaitable<HttpResponse> Execute(HttpRequest request,
                                        GetConfigurationCall call);
  asio::awaitable<HttpResponse> Execute(HttpRequest request,
                                        PutConfigurationCall call);
  asio::awaitable<HttpResponse> Execute(HttpRequest request,
                                        StartEvacuationCall call);
  asio::awaitable<HttpResponse> Execute(HttpRequest request,
                                        EndEvacuationCall call);
  asio::awaitable<HttpResponse> ChangeEvacuation(HttpRequest request,
                                                 FleetCommand command);
  asio::awaitable<Outcome<CommandResult>> Submit(FleetCommand command);
  asio::awaitable<ControlService::ConfigurationProgress> WaitInForce(
      uint64_t version,
      TimePoint deadline);
  Result<FleetCommand> MakeChange(PutConfigurationCall& call) const;
  template <typename T>
  asio::awaitable<std::optional<T>> InBackground(std::function<T()> work);
  HttpResponse RespondOrRedirect(const HttpRequest& request,
                                 const Error& error);
  HttpResponse MakeResponse(const Error& error);

  const uint32_t m_replica_id;
  const uint16_t m_operator_port;
  MeshProtocol& m_protocol;
  ControlService& m_service;
  ConsensusDriver& m_driver;
  Clock& m_clock;
  const Duration m_apply_limit;
  const SodiumHasher m_hasher;
  asio::thread_pool m_background{1};
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_PROGRAMS_MESH_OPERATOR_CALL_HANDLER_H_
