/// @file
/// The names in the clients' protocol (framed Thrift, strict binary encoding). Only the request decoder and
/// the response encoder use them.
#pragma once

#include <cstdint>
#include <string_view>

namespace rainhook::peers::protocol {

/// @name Methods
/// @{

/// Submits a request for execution.
inline constexpr std::string_view callMethod = "call";
/// Checks the health of the server.
inline constexpr std::string_view healthMethod = "health";
/// One-way message from the client: it no longer waits for the response to a call.
inline constexpr std::string_view cancelMethod = "cancel";
/// One-way message to the client: asks it to close its connection after its last response.
inline constexpr std::string_view closingMethod = "closing";

/// @}

/// @name Members of the structs, by number
/// @{

/// Call: the map of fields.
inline constexpr std::int16_t callFields = 1;
/// Call: the input of the execution.
inline constexpr std::int16_t callBody = 2;
/// Cancellation: the sequence number of the call.
inline constexpr std::int16_t cancelSequenceNumber = 1;
/// Reply: the struct for a completed call.
inline constexpr std::int16_t replySuccess = 0;
/// Reply: the exception for a call that was shed.
inline constexpr std::int16_t replyOverloaded = 1;
/// Reply: the exception for a call that failed.
inline constexpr std::int16_t replyInternalError = 2;
/// Success struct: the result of the execution.
inline constexpr std::int16_t successResult = 1;
/// Success struct: the map of fields.
inline constexpr std::int16_t successFields = 2;
/// Success struct: whether the server is healthy.
inline constexpr std::int16_t successHealth = 3;
/// Both declared exceptions: the map of fields.
inline constexpr std::int16_t declaredExceptionFields = 1;
/// Thrift application exception: the error text.
inline constexpr std::int16_t applicationExceptionText = 1;
/// Thrift application exception: the type.
inline constexpr std::int16_t applicationExceptionType = 2;

/// @}

/// @name Types of the Thrift application exception
/// @{

/// The service has no such method.
inline constexpr std::int32_t unknownMethodType = 1;
/// The call could not be served.
inline constexpr std::int32_t internalErrorType = 6;

/// @}

/// @name Fields of a call
/// @{

/// IncomingRequest::name: 16 hexadecimal digits.
inline constexpr std::string_view requestName = "rid";
/// The name of the handler.
inline constexpr std::string_view handler = "method";
/// The name of the tenant.
inline constexpr std::string_view tenant = "acct";
/// The number of the client.
inline constexpr std::string_view client = "peer";
/// The time at which the transmission of the request to this server started, in milliseconds since the epoch.
inline constexpr std::string_view arrivalTime = "t0";
/// Milliseconds from the arrival time to the client's deadline.
inline constexpr std::string_view timeRemaining = "budget";
/// IncomingRequest::queuedMemoryKb.
inline constexpr std::string_view queuedMemoryKb = "mem";
/// IncomingRequest::rank.
inline constexpr std::string_view rank = "prio";
/// The resource key in hexadecimal; omitted if there is none.
inline constexpr std::string_view resourceKey = "obj";
/// The idempotency key; omitted if there is none.
inline constexpr std::string_view idempotencyKey = "token";
/// The client's estimate of the work, in milliseconds.
inline constexpr std::string_view estimatedWork = "est";

/// @}

/// @name Fields of a response
/// @{

/// The load signal with four decimal places.
inline constexpr std::string_view loadSignal = "hint";
/// The number of milliseconds for which the client should send no requests.
inline constexpr std::string_view retryAfter = "backoff";
/// "1" if the client should make no further attempt for this request.
inline constexpr std::string_view discourageRetry = "final";
/// The text of a FailureReason.
inline constexpr std::string_view failureReason = "why";

/// @}

}  // namespace rainhook::peers::protocol
