/// @file
/// The events that a host reports to the admission policy.
#pragma once

#include <optional>
#include <variant>

#include "decision/ids.h"

namespace rainhook {

/// How an execution or a downstream call ended.
enum class Outcome {
  completed,       ///< It ended with a result.
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
  RequestId id{};             ///< Names the request in all later events and actions.
  HandlerId handler{};        ///< The kind of the request.
  TenantId tenant{};          ///< On whose behalf it is made.
  ClientId client{};          ///< The process that sent it.
  ResourceKey resourceKey{};  ///< What it reads or writes; zero where it names none.
  /// The retained request that this one repeats, if any.
  std::optional<RequestId> duplicateOf;
  /// Priority that the client states, 0 to 1. Not used by the policy.
  double clientPriority = 0;
  /// Memory that the request takes while it is queued.
  double queuedMemoryKb = 0;
  /// Rough estimate of its time on a core, where the client gives one.
  std::optional<Duration> estimatedWork;
  /// How long its client still waits, where the client says so.
  std::optional<Duration> timeRemaining;
  /// Time since it reached the machine.
  Duration readDelay{};
  bool isWrite = false;  ///< Whether it changes the resource; only reads can share results.
};

/// An execution, or the wait of a duplicate for its original, has ended.
struct ExecutionEnded {
  RequestId id{};       ///< The request that was executed, or the duplicate.
  Outcome outcome{};    ///< How it ended.
  Duration duration{};  ///< Time that it took. Not used by the policy.
};

/// An execution has left its core and waits for a downstream call.
struct DownstreamCallRequested {
  RequestId id{};  ///< The request in execution.
};

/// A downstream call has ended.
struct DownstreamCallEnded {
  RequestId id{};       ///< The request whose execution made the call.
  Outcome outcome{};    ///< How the call ended.
  Duration duration{};  ///< Time that the call was open.
};

/// The client of a request has gone; no answer is owed any more.
struct ClientDisconnected {
  RequestId id{};  ///< The request whose client has gone.
};

/// The server will be stopped.
struct ShutdownNotice {
  /// Time until the stop.
  Duration timeRemaining{};
};

/// A timer has expired; load gauges come with it where the host has them.
struct TimerFired {
  TimerId timer{};  ///< The timer, as set by `SetTimer`.
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
  bool coldStart = false;  ///< Whether the engine is slow at first.
  /// Time since that start.
  Duration elapsed{};
};

/// Any one event.
using Event = std::variant<RequestArrived, ExecutionEnded, DownstreamCallRequested, DownstreamCallEnded,
                           ClientDisconnected, ShutdownNotice, TimerFired, DownstreamQuotaChanged,
                           ExecutionEngineStarted>;

}  // namespace rainhook
