/// @file
/// The settings that a policy receives at its start: its machine, its handlers and its environment.
#pragma once

#include <chrono>
#include <vector>

#include "decision/ids.h"

namespace rainhook {

/// Whether a request may be executed more than once.
enum class Idempotency {
  idempotent,     ///< It may be executed repeatedly.
  keyed,          ///< Duplicates name the original and must not be executed within the deduplication window.
  nonIdempotent,  ///< It must be executed at most once, and duplicates can't be recognized.
};

/// What the execution engine does when it cancels an execution.
enum class CancellationMode {
  none,         ///< Executions can't be cancelled.
  discardWork,  ///< The work done so far is lost.
  pauseWork,    ///< The work is kept for later. Not used by the policy.
};

/// How the load of this server is expressed to its clients.
enum class LoadSignalKind {
  none,    ///< No load signal.
  level,   ///< From 0 (idle) to 1 (overloaded).
  credit,  ///< The number of requests that each client may have in flight.
  weight,  ///< From 1 (should receive its full share of requests) down to 0 (should receive none).
};

/// The kind of service that the handlers call.
enum class DownstreamKind {
  none,      ///< Handlers make no downstream calls.
  shared,    ///< A dependency that all servers share under a quota.
  nextTier,  ///< Another tier of servers, which protects itself from overload.
};

/// The machine and its execution engine.
struct MachineProfile {
  int cores = 1;        ///< Number of cores.
  double memoryKb = 0;  ///< Memory for requests and retained results, in kilobytes.
  /// Memory of a request in execution, as a multiple of its memory while queued.
  double executionMemoryFactor = 1;
  /// Memory of one entry of the deduplication cache, in kilobytes.
  double cachedEntryKb = 0;
  /// Whether the engine has just started and is slow at first.
  bool coldStart = false;
  /// Share of the full speed directly after a cold start.
  double initialSpeed = 1;
  /// Longest time from a cold start until the full speed is reached.
  Duration warmUpDuration{};
  /// Concurrent executions, for each core, that a warm server can sustain.
  double maxExecutionsPerCore = 1;
  /// How long the server can sustain more executions than `maxExecutionsPerCore`. Not used by the policy.
  Duration overcommitWindow{};
  CancellationMode cancellation = CancellationMode::none;  ///< The effect of a cancellation.
};

/// The settings of one handler, that is, one kind of request.
struct HandlerPolicy {
  /// A response earns its full weight until this time after the arrival.
  Duration latencyObjective{};
  /// The latency objective grows by this many times the estimated work of the request.
  double objectiveWorkFactor = 0;
  /// How long a client waits if the request does not state it.
  Duration clientTimeout{};
  /// Weight of a response within the latency objective, relative to other handlers. Not used by the policy.
  double priorityWeight = 1;
  /// Weight of a response after the latency objective.
  double lateWeight = 0;
  /// Share of the weight that a response earns if the downstream call was skipped; 0 if it can't be skipped.
  double degradedWeight = 0;
  /// Whether executions may make downstream calls. Not used by the policy, which measures the calls.
  bool callsDownstream = false;
  Idempotency idempotency = Idempotency::idempotent;  ///< Whether requests may be executed more than once.
  /// How long after the arrival of a keyed request duplicates may arrive.
  Duration deduplicationWindow{};
};

/// The downstream service and this server's quota of it.
struct DownstreamProfile {
  DownstreamKind kind = DownstreamKind::none;  ///< The kind of service. Not used by the policy.
  /// The quota: the mean number of concurrent calls that this server may have open; 0 for no limit.
  double concurrentCallQuota = 0;
  /// The window over which that mean is taken.
  Duration quotaWindow{};
  /// How long an abandoned call may continue to occupy the downstream service.
  Duration maxAbandonedCallDuration{};
};

/// The limits that the protocol sets.
struct ProtocolLimits {
  /// How long after the client's deadline a response may still be sent. Not used by the policy.
  Duration answerSlack{};
  /// How long after a shutdown notice requests that arrive may still be executed.
  Duration drainGrace{};
};

/// How this server informs its clients about its load.
struct SignalingProfile {
  LoadSignalKind signalKind = LoadSignalKind::none;  ///< The kind of the load signal.
  /// How long a client uses a load signal that it has received. Not used by the policy.
  Duration signalLifetime{};
  /// Whether the endpoint registry follows the published health. Not used by the policy.
  bool registryFollowsHealth = false;
  /// Longest retry-after advice; 0 if clients do not receive such advice.
  Duration maxRetryAfter{};
};

/// How results are weighted, and whether requests may share them.
struct ResultSharing {
  /// Whether a response counts in proportion to the work of its request; otherwise each response counts 1.
  /// Not used by the policy.
  bool weightByWork = false;
  /// How long the result of a read may answer other reads of the same resource; 0 for never.
  Duration sharingDuration{};
};

/// The servers and clients of the deployment.
struct FleetProfile {
  int servers = 1;  ///< Number of servers, including this one. Not used by the policy.
  int clients = 1;  ///< Number of client processes.
  /// Clients close connections that stay idle for longer than this.
  Duration maxIdleTime = std::chrono::seconds(1);
};

/// All settings that a policy receives at its start. The policy keeps a copy.
struct PolicySettings {
  MachineProfile machine;  ///< The machine of this server.
  /// One entry for each `HandlerId`.
  std::vector<HandlerPolicy> handlers;
  DownstreamProfile downstream;  ///< The service that the handlers call.
  ProtocolLimits limits;         ///< The limits that the protocol sets.
  SignalingProfile signaling;    ///< How clients are informed about the load.
  ResultSharing sharing;         ///< How results are weighted and shared.
  FleetProfile fleet;            ///< The servers and clients of the deployment.
};

}  // namespace rainhook
