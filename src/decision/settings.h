/// @file
/// What a policy is told at its start about its machine, its handlers and its surroundings.
#pragma once

#include <chrono>
#include <vector>

#include "decision/ids.h"

namespace rainhook {

/// Whether a request may be executed more than once.
enum class Idempotency {
  idempotent,     ///< Repeating it does no harm.
  keyed,          ///< Duplicates name the original and must not be executed again within the window.
  nonIdempotent,  ///< It must be executed at most once, and duplicates can't be recognized.
};

/// What the execution engine does when it is asked to cancel an execution.
enum class CancellationMode {
  none,         ///< Executions can't be cancelled.
  discardWork,  ///< The work done so far is lost.
  pauseWork,    ///< The work is kept for later. Not used by the policy.
};

/// How the load of this server is expressed to its clients.
enum class LoadSignalKind {
  none,    ///< Not at all.
  level,   ///< 0 (idle) to 1 (overloaded).
  credit,  ///< How many requests each client may have in flight.
  weight,  ///< 1 (takes its full share) down to 0 (takes nothing).
};

/// What the handlers call downstream.
enum class DownstreamKind {
  none,      ///< Nothing.
  shared,    ///< A dependency that all servers share under a quota.
  nextTier,  ///< Another tier of servers, which protects itself.
};

/// The machine and its execution engine.
struct MachineProfile {
  int cores = 1;        ///< Number of cores.
  double memoryKb = 0;  ///< Memory for requests and retained results, in kilobytes.
  /// Memory of a request in execution over that of a queued one.
  double executionMemoryFactor = 1;
  /// Memory of one entry of the deduplication cache.
  double cachedEntryKb = 0;
  /// Whether the engine has just started and is slow at first.
  bool coldStart = false;
  /// Least share of the full speed after a cold start.
  double initialSpeed = 1;
  /// Longest time from a cold start to the full speed.
  Duration warmUpDuration{};
  /// Concurrent executions, for each core, that a warm server survives.
  double maxExecutionsPerCore = 1;
  /// How long the server survives more than that. Not used by the policy.
  Duration overcommitWindow{};
  CancellationMode cancellation = CancellationMode::none;  ///< What a cancellation does to the work.
};

/// The terms of one kind of request.
struct HandlerPolicy {
  /// An answer earns its full weight up to this time after the arrival.
  Duration latencyObjective{};
  /// The latency objective grows by this many times the estimated work of the request.
  double objectiveWorkFactor = 0;
  /// How long a client waits where the request does not say.
  Duration clientTimeout{};
  /// What an answer in time is worth, relative to other handlers.
  double priorityWeight = 1;
  /// What an answer after the latency objective is worth.
  double lateWeight = 0;
  /// Share of the weight that an answer without its downstream call earns; 0 where there is none.
  double degradedWeight = 0;
  bool callsDownstream = false;                       ///< Whether executions may make downstream calls.
  Idempotency idempotency = Idempotency::idempotent;  ///< Whether it may be executed more than once.
  /// How long after the arrival of a keyed request duplicates may follow.
  Duration deduplicationWindow{};
};

/// The downstream service and the part of it that this server may use.
struct DownstreamProfile {
  DownstreamKind kind = DownstreamKind::none;  ///< What is called.
  /// Concurrent calls that this server may hold on average; 0 where unlimited.
  double concurrentCallQuota = 0;
  /// The window over which that average is taken.
  Duration quotaWindow{};
  /// How long a call that was abandoned may still occupy the downstream service.
  Duration maxAbandonedCallDuration{};
};

/// Bounds that the protocol sets.
struct ProtocolLimits {
  /// How late an answer may be after the client's deadline.
  Duration answerSlack{};
  /// How long after a shutdown notice arriving requests may still be executed.
  Duration drainGrace{};
};

/// How this server may inform its clients.
struct SignalingProfile {
  LoadSignalKind signalKind = LoadSignalKind::none;  ///< How the load is expressed.
  /// How long a client keeps a load signal in mind.
  Duration signalLifetime{};
  /// Whether the endpoint registry follows the published health.
  bool registryFollowsHealth = false;
  /// Longest advice to stay away; 0 where such advice is not passed on.
  Duration maxRetryAfter{};
};

/// How results count, and whether they may be shared among requests.
struct ResultSharing {
  /// Whether an answer counts by the work of its request instead of one each.
  bool weightByWork = false;
  /// How long the result of a read may answer other reads of the same resource; 0 for never.
  Duration sharingDuration{};
};

/// The fleet around this server.
struct FleetProfile {
  int servers = 1;  ///< Number of servers, this one included. Not used by the policy.
  int clients = 1;  ///< Number of client processes.
  /// Clients close connections that are idle for longer.
  Duration maxIdleTime = std::chrono::seconds(1);
};

/// Everything that a policy is told at its start. The policy keeps a copy.
struct PolicySettings {
  MachineProfile machine;  ///< The machine of this server.
  /// One entry for each `HandlerId`.
  std::vector<HandlerPolicy> handlers;
  DownstreamProfile downstream;  ///< What the handlers call.
  ProtocolLimits limits;         ///< What the protocol allows.
  SignalingProfile signaling;    ///< How clients may be informed.
  ResultSharing sharing;         ///< How results count and are shared.
  FleetProfile fleet;            ///< The other servers and the clients.
};

}  // namespace rainhook
