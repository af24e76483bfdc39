/// @file
/// The data that the admission controller keeps about one request.
#pragma once

#include "decision/events.h"
#include "decision/ids.h"

namespace rainhook {

/// The stage of a request. The order matters: at `executing` and all later stages, it has been started.
enum class RequestStage {
  arrived,           ///< Read, but not processed yet.
  queued,            ///< In the admission queue.
  awaitingOriginal,  ///< A duplicate that waits for the result of its original.
  executing,         ///< On the cores.
  awaitingCall,      ///< Off the cores; its downstream call has not been made yet.
  calling,           ///< Off the cores; its downstream call is open.
};

/// One request, from its arrival until it needs no response any more and its execution has ended.
struct RequestRecord {
  RequestArrived arrival;  ///< The request as it was reported when it was read.
  /// When it reached the machine, before it was read.
  Duration arrivedAt{};
  /// When its client stops waiting; the request must be answered before this time.
  Duration deadline{};
  /// A response until this time earns its full weight; at most the deadline.
  Duration target{};
  RequestStage stage = RequestStage::arrived;  ///< The current stage.
  Duration startedAt{};                        ///< When its last execution started; 0 before the first.
  /// When it last left the cores for a downstream call.
  Duration leftCoresAt{};
  /// Time that it has spent off the cores for downstream calls, in all its executions.
  Duration offCoreTime{};
  int completedCalls = 0;           ///< Downstream calls that completed, in all its executions.
  int consecutiveCallFailures = 0;  ///< Downstream calls that failed since the last completed one.
  Outcome lastCallOutcome = Outcome::completed;  ///< Outcome of the last call that ended; `completed` before.
  bool isResponsePending = true;                 ///< Whether it still needs a response.
  bool wasEverStarted = false;  ///< Whether it was ever started, including cancelled executions.
  /// Whether it is a duplicate of a request that may have been executed.
  bool isDuplicate = false;
};

/// Whether a request at this stage has an execution that was started and has not ended.
[[nodiscard]] inline bool isStarted(RequestStage stage) { return stage >= RequestStage::executing; }

}  // namespace rainhook
