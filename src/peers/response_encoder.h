/// @file
/// Encodes responses as framed messages of the clients' protocol. The functions have no side effects.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "decision/decision.h"
#include "peers/request_decoder.h"

namespace rainhook::peers {

/// The server status that each response includes.
struct ReportedStatus {
  /// Whether the client should continue to send requests.
  bool isHealthy = true;
  /// The load signal; none until the admission policy publishes the first one.
  std::optional<double> loadSignal;
};

/// The reason why a valid request ends without a result.
enum class FailureReason {
  tooManyInFlight,     ///< The number of requests in flight has reached the limit that the memory allows.
  duplicateName,       ///< A request with this name is in flight or was executed and may not be repeated.
  tooManyKeys,         ///< As many idempotency keys are retained as the memory allows.
  conflictingPayload,  ///< The original of its idempotency key has another payload.
  executionFailed,     ///< The execution failed, or may have run although its end is not known.
  failedByPolicy,      ///< The admission policy decided that the request fails.
  originalFailed,      ///< The request awaited the original of its idempotency key, which failed.
};

/// Returns the text of a reason in the protocol.
std::string_view describe(FailureReason reason);
/// Returns the text of a fault in the protocol and in the log.
std::string describe(const InvalidRequest& fault);

/// Encodes the response to a health check.
std::string encodeHealth(std::int32_t sequenceNumber, const ReportedStatus& status);
/// Encodes the response to a completed request.
std::string encodeResult(std::int32_t sequenceNumber, std::string_view result, const ReportedStatus& status);
/// Encodes the response to a request that was shed. The client should send no requests for `retryAfter`,
/// which is omitted if it rounds to 0 ms, and should make no further attempt for this request if
/// `discourageRetry` is set.
std::string encodeShed(std::int32_t sequenceNumber, Duration retryAfter, bool discourageRetry,
                       const ReportedStatus& status);
/// Encodes the response to a failed request.
std::string encodeFailure(std::int32_t sequenceNumber, FailureReason reason, const ReportedStatus& status);
/// Encodes the response to a call that is not a valid request.
std::string encodeInvalidRequest(std::int32_t sequenceNumber, const InvalidRequest& fault);
/// Encodes the response to a call of a method that the service does not have.
std::string encodeUnknownMethod(const UnknownMethodMessage& message);
/// Encodes a message that asks the client to close its connection after its last response.
std::string encodeCloseRequest();

}  // namespace rainhook::peers
