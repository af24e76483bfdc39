/// @file
/// What the admission controller knows of one request.
#pragma once

#include "decision/events.h"
#include "decision/ids.h"

namespace rainhook {

/// Where a request stands on its path. The order matters: from `executing` on it has been started.
enum class RequestStage {
  arrived,           ///< Read, and not looked at yet.
  queued,            ///< In the admission queue.
  awaitingOriginal,  ///< A duplicate that is answered with the result of its original.
  executing,         ///< On the cores.
  awaitingCall,      ///< Off the cores; its downstream call has not been made.
  calling,           ///< Off the cores; its downstream call is open.
};

/// One request, from its arrival until both its answer and its execution are over.
struct RequestRecord {
  RequestArrived arrival;  ///< The request as it was reported when it was read.
  /// When it reached the machine, which is before it was read.
  Duration arrivedAt{};
  /// When its client stops waiting; it must be answered before.
  Duration deadline{};
  /// An answer up to here earns its full weight; at most the deadline.
  Duration target{};
  RequestStage stage = RequestStage::arrived;  ///< Where it stands now.
  Duration startedAt{};                        ///< When its last execution started; 0 before the first.
  /// When it last left the cores for a downstream call.
  Duration leftCoresAt{};
  /// Time since its start that it did not spend on the cores.
  Duration offCoreTime{};
  int completedCalls = 0;           ///< Downstream calls that completed, over all its executions.
  int consecutiveCallFailures = 0;  ///< Downstream calls that failed since the last completed one.
  Outcome lastCallOutcome = Outcome::completed;  ///< Of its last call that ended, else `completed`.
  bool isAnswerOwed = true;                      ///< Whether it still has to be answered.
  bool hasStarted = false;  ///< Whether it was ever started, a cancelled execution included.
  /// A duplicate of a request that may have been executed.
  bool isDuplicate = false;
};

/// Whether a request at this stage has been started and not ended.
[[nodiscard]] inline bool isStarted(RequestStage stage) { return stage >= RequestStage::executing; }

}  // namespace rainhook
