/// @file
/// The events that a host reports to the admission policy.
#pragma once

#include <optional>
#include <variant>

#include "decision/ids.h"

namespace rainhook {

/// How an execution or a downstream call ended.
enum class Outcome {
  completed,
  failed,          ///< It ran and reported an error.
  rejected,        ///< It was turned away before it ran.
  timedOut,        ///< No reply came within the time limit; it may have run.
  unreachable,     ///< No connection could be made; it did not run.
  connectionLost,  ///< The connection broke before a reply; it may have run.
  cancelled,       ///< It was cancelled and its work is lost.
  superseded,      ///< It became irrelevant before it ran.
};

/// A request has been read from its connection.
struct RequestArrived {
  RequestId id{};
  HandlerId handler{};
  TenantId tenant{};
  ClientId client{};
  ResourceKey resourceKey{};
  /// The retained request that this one repeats, if any.
  std::optional<RequestId> duplicateOf;
  /// Priority that the client states, 0 to 1. Not used by the policy.
  double rank = 0;
  /// Memory that the request takes while it is queued.
  double queuedMemoryKb = 0;
  /// Rough estimate of its time on a core, where the client gives one.
  std::optional<Duration> estimatedWork;
  /// How long its client still waits, where the client says so.
  std::optional<Duration> timeRemaining;
  /// Time since it reached the machine.
  Duration readDelay{};
  bool isWrite = false;
};

/// An execution, or the wait of a duplicate for its original, has ended.
struct ExecutionEnded {
  RequestId id{};
  Outcome outcome{};
  Duration duration{};
};

/// An execution has left its core and waits for a downstream call.
struct DownstreamCallRequested {
  RequestId id{};
};

/// A downstream call has ended.
struct DownstreamCallEnded {
  RequestId id{};
  Outcome outcome{};
  Duration duration{};
};

/// The client of a request has gone; no answer is owed any more.
struct ClientDisconnected {
  RequestId id{};
};

/// The server will be stopped.
struct ShutdownNotice {
  /// Time until the stop.
  Duration timeRemaining{};
};

/// A timer has expired; load gauges come with it where the host has them.
struct TimerFired {
  TimerId timer{};
  /// Share of the cores that is busy, 0 to 1; a short moving average.
  std::optional<double> cpuUtilization;
  /// Number of tasks, executions included, that want a core at this moment.
  std::optional<double> runnableTasks;
  /// Share of the memory in use, 0 to 1. Not used by the policy.
  std::optional<double> memoryUtilization;
  /// Number of open client connections.
  std::optional<double> openConnections;
};

/// Another part of the downstream quota may be used from now on.
struct DownstreamQuotaChanged {
  /// Share of the configured quota, 0 to 1.
  double share = 1;
};

/// How the execution engine started, where that becomes known only after the first event.
struct ExecutionEngineStarted {
  bool coldStart = false;
  /// Time since that start.
  Duration elapsed{};
};

using Event = std::variant<RequestArrived, ExecutionEnded, DownstreamCallRequested, DownstreamCallEnded,
                           ClientDisconnected, ShutdownNotice, TimerFired, DownstreamQuotaChanged,
                           ExecutionEngineStarted>;

}  // namespace rainhook
