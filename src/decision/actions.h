/// @file
/// The actions that the admission policy asks its host to carry out.
#pragma once

#include <string>
#include <variant>

#include "decision/ids.h"

namespace rainhook {

/// Start to execute a queued request.
struct StartExecution {
  RequestId id{};  ///< The queued request.
};

/// Answer that the request was turned away without having been executed (or that it is safe to repeat).
struct ShedRequest {
  RequestId id{};  ///< The request to answer.
  /// How long the client is advised to stay away; 0 for no advice.
  Duration retryAfter{};
  /// Asks the client not to try another server.
  bool discourageRetry = false;
};

/// Answer that the request failed; it may have been executed.
struct FailRequest {
  RequestId id{};  ///< The request to answer.
};

/// Cancel an execution.
struct CancelExecution {
  RequestId id{};  ///< The request in execution.
};

/// Make the downstream call that an execution waits for.
struct CallDownstream {
  RequestId id{};  ///< The request whose execution waits for the call.
  /// The call is abandoned after this time.
  Duration timeout{};
};

/// Let an execution go on without its downstream call.
struct SkipDownstreamCall {
  RequestId id{};  ///< The request whose execution waits for the call.
};

/// Retain the request and its result so that duplicates are recognized.
struct RetainResult {
  RequestId id{};        ///< The request to retain.
  Duration retention{};  ///< How long to retain it, from now.
};

/// Forget a retained request that was never executed.
struct DropResult {
  RequestId id{};  ///< The retained request.
};

/// Answer a duplicate with the result of its original as soon as there is one.
struct AnswerFromOriginal {
  RequestId id{};  ///< The duplicate; its arrival names the original.
};

/// Publish whether this server wants to be listed as in service.
struct PublishHealth {
  bool healthy = true;  ///< False while the server wants no new requests.
  /// Whether a health check may be answered with this value until the next one is published.
  bool isCacheable = false;
};

/// Publish the load signal; its meaning follows `LoadSignalKind`.
struct PublishLoadSignal {
  double value = 0;  ///< A share, 0 to 1; requests for each client where the signal is a credit.
};

/// Close client connections that stay idle for longer than this.
struct SetIdleConnectionTimeout {
  Duration timeout{};  ///< The idle time that is allowed from now on.
};

/// Report `TimerFired` after the delay.
struct SetTimer {
  TimerId timer{};   ///< The timer to report.
  Duration delay{};  ///< Time until the report.
};

/// A text for the log.
struct DiagnosticMessage {
  std::string text;  ///< What to log.
};

/// Any one action.
using Action = std::variant<StartExecution, ShedRequest, FailRequest, CancelExecution, CallDownstream,
                            SkipDownstreamCall, RetainResult, DropResult, AnswerFromOriginal, PublishHealth,
                            PublishLoadSignal, SetIdleConnectionTimeout, SetTimer, DiagnosticMessage>;

}  // namespace rainhook
