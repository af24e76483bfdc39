/// @file
/// From our terms to the responses of the clients' protocol. Pure: values go in, framed bytes come out.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "decision/decision.h"
#include "peers/request_decoder.h"

namespace rainhook::peers {

/// What each response tells beside its own content.
struct ServerStatus {
  /// Whether the client should go on sending requests.
  bool isHealthy = true;
  /// None as long as the decision module has published none.
  std::optional<double> loadSignal;
};

/// Why a request that was well formed ends without a result.
enum class FailureReason {
  tooManyInFlight,     ///< The server holds as many requests as its memory allows.
  duplicateName,       ///< A request of this name is in flight already.
  conflictingPayload,  ///< The original of its idempotency key came with another payload.
  executionFailed,     ///< The execution failed, or may have run without its end being known.
  abandoned,           ///< The decision module gave up on it.
  originalFailed,      ///< It awaited the original of its idempotency key, which failed.
};

/// The text of a reason in the protocol.
std::string_view describe(FailureReason reason);
/// The text in the protocol and in the log.
std::string describe(const InvalidRequest& fault);

/// The answer to a health check.
std::string encodeHealth(std::int32_t sequenceNumber, const ServerStatus& status);
/// A request has completed.
std::string encodeResult(std::int32_t sequenceNumber, std::string_view result, const ServerStatus& status);
/// A request was shed. The client is to send nothing more for `retryAfter`, which is left out where it rounds
/// to 0 ms, and is to make no further attempt for this request where `discourageRetry` is set.
std::string encodeShed(std::int32_t sequenceNumber, Duration retryAfter, bool discourageRetry,
                       const ServerStatus& status);
/// A request has failed.
std::string encodeFailure(std::int32_t sequenceNumber, FailureReason reason, const ServerStatus& status);
/// A call was no valid request.
std::string encodeInvalidRequest(std::int32_t sequenceNumber, const InvalidRequest& fault);
/// A call was of a method that the service does not have.
std::string encodeUnknownMethod(const UnknownMethodMessage& message);
/// Asks the client to close its connection once it has its responses.
std::string encodeCloseRequest();

}  // namespace rainhook::peers
