/// @file
/// The codes of the simulator's wire format under rainhook's names. The simulator defines the numbers.
#pragma once

#include <cstdint>

namespace rainhook::simulator {

/// The event code: the first byte of an event in a batch.
enum class EventCode : std::uint8_t {
  executionEnded = 16,
  requestArrived = 17,
  attachInstance = 18,
  timerExpired = 19,
  detachInstance = 20,
  downstreamCallRequested = 21,
  clientDisconnected = 22,
  shutdownNotice = 23,
  downstreamCallEnded = 24,
};

/// The action code: the first byte of an action in a reply.
enum class ActionCode : std::uint8_t {
  startExecution = 80,
  shedRequest = 81,
  failRequest = 82,
  cancelExecution = 83,
  callDownstream = 84,
  skipDownstreamCall = 85,
  retainResult = 86,
  dropResult = 87,
  answerFromOriginal = 88,
  publishHealth = 89,
  publishLoadSignal = 90,
  setIdleConnectionTimeout = 91,
  setTimer = 92,
  diagnosticMessage = 93,
  instanceError = 94,  ///< an instance failed to handle its events
};

/// How an execution or a downstream call ended: the field `reason`.
enum class ReasonCode : std::uint16_t {
  completed = 200,
  timedOut = 408,
  superseded = 409,
  rejected = 429,
  cancelled = 444,
  failed = 502,
  connectionLost = 520,
  unreachable = 521,
};

/// Bits of the field `marks` of an arrived request.
enum class RequestFlag : std::uint8_t {
  hasWorkEstimate = 1,
  isWrite = 4,
};

}  // namespace rainhook::simulator
