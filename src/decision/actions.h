/// @file
/// The actions that the admission policy asks its host to carry out.
#pragma once

#include <string>
#include <variant>

#include "decision/ids.h"

namespace rainhook {

/// Starts the execution of a queued request.
struct StartExecution {
  RequestId id{};  ///< The queued request.
};

/// Answers that the request was shed. The client may retry it: it was not executed, or it is idempotent.
struct ShedRequest {
  RequestId id{};  ///< The request to answer.
  /// How long the client is advised to wait before it retries; 0 for no advice.
  Duration retryAfter{};
  /// Whether the client is asked not to retry at another server.
  bool discourageRetry = false;
};

/// Answers that the request failed; it may have been executed.
struct FailRequest {
  RequestId id{};  ///< The request to answer.
};

/// Cancels an execution.
struct CancelExecution {
  RequestId id{};  ///< The request in execution.
};

/// Makes the downstream call that an execution waits for.
struct CallDownstream {
  RequestId id{};  ///< The request whose execution waits for the call.
  /// Time after which the call is abandoned.
  Duration timeout{};
};

/// Lets an execution continue without its downstream call. It may also answer `ReplyDeliveryUncertain`; it
/// then has no effect on an execution that received the reply.
struct SkipDownstreamCall {
  RequestId id{};  ///< The request whose execution waits for the call.
};

/// Retains the request and its result so that duplicates are recognized.
struct RetainResult {
  RequestId id{};        ///< The request to retain.
  Duration retention{};  ///< How long to retain it, from now.
};

/// Discards a retained request that was never executed.
struct DropResult {
  RequestId id{};  ///< The retained request.
};

/// Answers a duplicate with the result of its original as soon as that result is available.
struct AnswerFromOriginal {
  RequestId id{};  ///< The duplicate; `RequestArrived::duplicateOf` names the original.
};

/// Publishes whether this server should be listed as in service.
struct PublishHealth {
  bool healthy = true;  ///< False while the server should receive no new requests.
  /// Whether health checks may be answered with this value until the next one is published.
  bool isCacheable = false;
};

/// Publishes the load signal; `LoadSignalKind` defines its meaning.
struct PublishLoadSignal {
  double value = 0;  ///< A share from 0 to 1; for a credit, the number of requests for each client.
};

/// Closes client connections that stay idle for longer than the timeout.
struct SetIdleConnectionTimeout {
  Duration timeout{};  ///< The longest idle time that is allowed from now on.
};

/// Sets a timer: the host reports `TimerFired` after the delay.
struct SetTimer {
  TimerId timer{};   ///< The timer that `TimerFired` names.
  Duration delay{};  ///< Time until the timer fires.
};

/// Writes a message to the log.
struct DiagnosticMessage {
  std::string text;  ///< The message.
};

/// Any action of the policy.
using Action = std::variant<StartExecution, ShedRequest, FailRequest, CancelExecution, CallDownstream,
                            SkipDownstreamCall, RetainResult, DropResult, AnswerFromOriginal, PublishHealth,
                            PublishLoadSignal, SetIdleConnectionTimeout, SetTimer, DiagnosticMessage>;

}  // namespace rainhook
