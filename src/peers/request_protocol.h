/// @file
/// Every name that the clients' protocol (framed Thrift, strict binary) has for our terms. Only the request
/// decoder and the response encoder use them.
#pragma once

#include <cstdint>
#include <string_view>

namespace rainhook::peers::protocol {

/// @name Methods
/// @{

/// A request to be executed.
inline constexpr std::string_view callMethod = "call";
/// A health check.
inline constexpr std::string_view healthMethod = "health";
/// One-way, from the client: it no longer waits for a call.
inline constexpr std::string_view cancelMethod = "cancel";
/// One-way, to the client: it is asked to close its connection once it has its responses.
inline constexpr std::string_view closingMethod = "closing";

/// @}

/// @name Members of the structs, by number
/// @{

/// Of a call: its map of fields.
inline constexpr std::int16_t callFields = 1;
/// Of a call: the input of its execution.
inline constexpr std::int16_t callBody = 2;
/// Of a cancellation: the number of the call.
inline constexpr std::int16_t cancelSequenceNumber = 1;
/// Of a reply: the struct of a completed call.
inline constexpr std::int16_t replySuccess = 0;
/// Of a reply: the exception of a call that was shed.
inline constexpr std::int16_t replyOverloaded = 1;
/// Of a reply: the exception of a call that failed.
inline constexpr std::int16_t replyInternalError = 2;
/// Of a success: what the execution returned.
inline constexpr std::int16_t successResult = 1;
/// Of a success: its map of fields.
inline constexpr std::int16_t successFields = 2;
/// Of a success: whether the server is healthy.
inline constexpr std::int16_t successHealth = 3;
/// Of either exception: its map of fields.
inline constexpr std::int16_t declaredExceptionFields = 1;
/// Of Thrift's own exception: what was wrong.
inline constexpr std::int16_t applicationExceptionText = 1;
/// Of Thrift's own exception: its type.
inline constexpr std::int16_t applicationExceptionType = 2;

/// @}

/// @name Types of Thrift's application exception
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
/// The client's number.
inline constexpr std::string_view client = "peer";
/// When the request began its way to this server, in milliseconds since the epoch.
inline constexpr std::string_view arrivalTime = "t0";
/// Milliseconds from the arrival time to the client's deadline.
inline constexpr std::string_view timeRemaining = "budget";
/// IncomingRequest::queuedMemoryKb.
inline constexpr std::string_view queuedMemoryKb = "mem";
/// IncomingRequest::rank.
inline constexpr std::string_view rank = "prio";
/// The resource key, in hexadecimal; left out where there is none.
inline constexpr std::string_view resourceKey = "obj";
/// The idempotency key; left out where there is none.
inline constexpr std::string_view idempotencyKey = "token";
/// The client's estimate of the work, in milliseconds.
inline constexpr std::string_view estimatedWork = "est";

/// @}

/// @name Fields of a response
/// @{

/// The load signal, with four decimals.
inline constexpr std::string_view loadSignal = "hint";
/// Milliseconds for which the client is to send nothing more.
inline constexpr std::string_view retryAfter = "backoff";
/// "1" where the client is to make no further attempt for this request.
inline constexpr std::string_view discourageRetry = "final";
/// The text of a FailureReason.
inline constexpr std::string_view failureReason = "why";

/// @}

}  // namespace rainhook::peers::protocol
