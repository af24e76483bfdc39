/// @file
/// The actions that the admission policy asks its host to carry out.
#pragma once

#include <string>
#include <variant>

#include "decision/ids.h"

namespace rainhook {

/// Start to execute a queued request.
struct StartExecution {
  RequestId id{};
};

/// Answer that the request was turned away without having been executed (or that it is safe to repeat).
struct ShedRequest {
  RequestId id{};
  /// How long the client is advised to stay away; 0 for no advice.
  Duration retryAfter{};
  /// Asks the client not to try another server.
  bool discourageRetry = false;
};

/// Answer that the request failed; it may have been executed.
struct FailRequest {
  RequestId id{};
};

/// Cancel an execution.
struct CancelExecution {
  RequestId id{};
};

/// Make the downstream call that an execution waits for.
struct CallDownstream {
  RequestId id{};
  /// The call is abandoned after this time.
  Duration timeout{};
};

/// Let an execution go on without its downstream call.
struct SkipDownstreamCall {
  RequestId id{};
};

/// Retain the request and its result so that duplicates are recognized.
struct RetainResult {
  RequestId id{};
  Duration retention{};
};

/// Forget a retained request that was never executed.
struct DropResult {
  RequestId id{};
};

/// Answer a duplicate with the result of its original as soon as there is one.
struct AnswerFromOriginal {
  RequestId id{};
};

/// Publish whether this server wants to be listed as in service.
struct PublishHealth {
  bool healthy = true;
  /// Whether a health check may be answered with this value until the next one is published.
  bool isCached = false;
};

/// Publish the load signal; its meaning follows `LoadSignalKind`.
struct PublishLoadSignal {
  double value = 0;
};

/// Close client connections that stay idle for longer than this.
struct SetIdleConnectionTimeout {
  Duration timeout{};
};

/// Report `TimerFired` after the delay.
struct SetTimer {
  TimerId timer{};
  Duration delay{};
};

/// A text for the log.
struct DiagnosticMessage {
  std::string text;
};

using Action = std::variant<StartExecution, ShedRequest, FailRequest, CancelExecution, CallDownstream,
                            SkipDownstreamCall, RetainResult, DropResult, AnswerFromOriginal, PublishHealth,
                            PublishLoadSignal, SetIdleConnectionTimeout, SetTimer, DiagnosticMessage>;

}  // namespace rainhook
