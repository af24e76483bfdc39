/// @file
/// The events that a host reports to the admission policy.
#pragma once

#include <optional>
#include <variant>

#include "decision/ids.h"

namespace rainhook {

/// How an execution or a downstream call ended.
enum class Outcome {
  completed,       ///< It produced a result.
  failed,          ///< It ran and reported an error.
  rejected,        ///< It was rejected before it ran.
  timedOut,        ///< No reply arrived within the time limit; it may have run.
  unreachable,     ///< No connection could be established; it did not run.
  connectionLost,  ///< The connection was lost before a reply arrived; it may have run.
  cancelled,       ///< It was cancelled and its work is lost.
  superseded,      ///< It became unnecessary before it ran.
};

/// A request has been read from its connection.
struct RequestArrived {
  RequestId id{};             ///< Identifies the request in all later events and actions.
  HandlerId handler{};        ///< The kind of the request.
  TenantId tenant{};          ///< The tenant on whose behalf it is made. Not used by the policy.
  ClientId client{};          ///< The process that sent it. Not used by the policy.
  ResourceKey resourceKey{};  ///< The resource that the request reads or writes; zero if it names none.
  /// The retained request that this one repeats, if any.
  std::optional<RequestId> duplicateOf;
  /// The priority that the client states, 0 to 1. Not used by the policy.
  double clientPriority = 0;
  /// Memory that the request takes while it is queued.
  double queuedMemoryKb = 0;
  /// A rough estimate of its time on a core, if the client gives one.
  std::optional<Duration> estimatedWork;
  /// How much longer the client will wait, if the client states it.
  std::optional<Duration> timeRemaining;
  /// Time between its arrival at the machine and its reading.
  Duration readDelay{};
  bool isWrite = false;  ///< Whether it changes the resource; only reads can share results.
};

/// An execution, or the wait of a duplicate for its original, has ended.
struct ExecutionEnded {
  RequestId id{};       ///< The request that was executed, or the duplicate.
  Outcome outcome{};    ///< How the execution or the wait ended.
  Duration duration{};  ///< How long it took. Not used by the policy.
};

/// An execution has left its core and waits for a downstream call.
struct DownstreamCallRequested {
  RequestId id{};  ///< The request in execution.
};

/// A downstream call has ended.
struct DownstreamCallEnded {
  RequestId id{};       ///< The request whose execution made the call.
  Outcome outcome{};    ///< How the call ended.
  Duration duration{};  ///< How long the call was open.
};

/// The connection to the engine was lost after the reply to a downstream call had been sent and before the
/// engine confirmed it. The host does not send the reply again, because an execution that received it may
/// wait for its next call by now.
struct ReplyDeliveryUncertain {
  RequestId id{};  ///< The request in execution.
};

/// The client of a request has disconnected, so the request needs no response any more.
struct ClientDisconnected {
  RequestId id{};  ///< The request whose client has disconnected.
};

/// The server will be stopped.
struct ShutdownNotice {
  /// Time until the stop.
  Duration timeRemaining{};
};

/// A timer has fired. The host adds those load gauges that it has.
struct TimerFired {
  TimerId timer{};  ///< The timer that was set by `SetTimer`.
  /// Share of the cores that is busy, 0 to 1; a moving average over a short time.
  std::optional<double> cpuUtilization;
  /// Number of tasks, including executions, that are running or ready to run.
  std::optional<double> runnableTasks;
  /// Share of the memory in use, 0 to 1. Not used by the policy.
  std::optional<double> memoryUtilization;
  /// Number of open client connections.
  std::optional<double> openConnections;
};

/// The share of the downstream quota that this server may use has changed.
struct DownstreamQuotaChanged {
  /// Share of the configured quota, 0 to 1.
  double share = 1;
};

/// Reports how the execution engine started, if that becomes known only after the first event.
struct ExecutionEngineStarted {
  bool coldStart = false;  ///< Whether the engine is slow at first.
  /// Time since the engine started.
  Duration elapsed{};
};

/// Any event that a host reports.
using Event = std::variant<RequestArrived, ExecutionEnded, DownstreamCallRequested, DownstreamCallEnded,
                           ReplyDeliveryUncertain, ClientDisconnected, ShutdownNotice, TimerFired,
                           DownstreamQuotaChanged, ExecutionEngineStarted>;

}  // namespace rainhook
