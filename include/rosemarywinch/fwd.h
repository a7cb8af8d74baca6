#ifndef ROSEMARYWINCH_FWD_H_
#define ROSEMARYWINCH_FWD_H_

namespace rosemarywinch {

/// @name core
/// @{
struct Duration;
struct Error;
struct TimePoint;
/// @}

/// @name interfaces
/// @{
class Clock;
class HttpChannel;
class PeerTransport;
class Random;
class SecretHasher;
class Storage;
/// @}

/// @name decisions
/// @{
class AdmissionQueue;
class AllowanceBucket;
class AllowanceAllocator;
class MembershipDirectory;
class RequestContexts;
class IdempotencyStore;
class RetryBudget;
class RouteTable;
class Router;
class VersionTracker;
struct EffectivePolicy;
struct TreePath;
namespace consensus {
class Replica;
class ReplicatedLog;
}  // namespace consensus
/// @}

/// @name adapters
/// @{
class CurlChannel;
class FileStorage;
class HttpServer;
class JsonRpcServer;
class Metrics;
class RpcPeerTransport;
/// @}

/// @name programs
/// @{
class BackendDispatcher;
class ConsensusDriver;
class ControlClient;
class ControlPoller;
class ControlService;
class IngressHandler;
class Forwarder;
class NodeState;
class OperatorCommands;
class SettingsReader;
class StopSignal;
/// @}

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_FWD_H_
