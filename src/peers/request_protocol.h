/// @file
/// Every name that the clients' protocol (framed Thrift, strict binary) has for our terms. Only the request
/// decoder and the response encoder use them.
#pragma once

#include <cstdint>
#include <string_view>

namespace rainhook::peers::protocol {

/// @name Methods
/// @{
inline constexpr std::string_view callMethod = "call";
inline constexpr std::string_view healthMethod = "health";
/// One-way, from the client: it no longer waits for a call.
inline constexpr std::string_view cancelMethod = "cancel";
/// One-way, to the client: it is asked to close its connection once it has its responses.
inline constexpr std::string_view closingMethod = "closing";
/// @}

/// @name Members of the structs, by number
/// @{
inline constexpr std::int16_t callFields = 1;
inline constexpr std::int16_t callBody = 2;
inline constexpr std::int16_t cancelSequenceNumber = 1;
inline constexpr std::int16_t replySuccess = 0;
inline constexpr std::int16_t replyOverloaded = 1;
inline constexpr std::int16_t replyInternalError = 2;
inline constexpr std::int16_t successResult = 1;
inline constexpr std::int16_t successFields = 2;
inline constexpr std::int16_t successHealth = 3;
inline constexpr std::int16_t declaredExceptionFields = 1;
inline constexpr std::int16_t applicationExceptionText = 1;
inline constexpr std::int16_t applicationExceptionType = 2;
/// @}

/// @name Types of Thrift's application exception
/// @{
inline constexpr std::int32_t unknownMethodType = 1;
inline constexpr std::int32_t internalErrorType = 6;
/// @}

/// @name Fields of a call
/// @{
inline constexpr std::string_view requestName = "rid";
inline constexpr std::string_view handler = "method";
inline constexpr std::string_view tenant = "acct";
inline constexpr std::string_view client = "peer";
/// When the request began its way to this server, in milliseconds since the epoch.
inline constexpr std::string_view arrivalTime = "t0";
/// Milliseconds from the arrival time to the client's deadline.
inline constexpr std::string_view timeRemaining = "budget";
inline constexpr std::string_view queuedMemoryKb = "mem";
inline constexpr std::string_view rank = "prio";
inline constexpr std::string_view resourceKey = "obj";
inline constexpr std::string_view idempotencyKey = "token";
/// The client's estimate of the work, in milliseconds.
inline constexpr std::string_view estimatedWork = "est";
/// @}

/// @name Fields of a response
/// @{
inline constexpr std::string_view loadSignal = "hint";
/// Milliseconds for which the client is to send nothing more.
inline constexpr std::string_view retryAfter = "backoff";
inline constexpr std::string_view discourageRetry = "final";
inline constexpr std::string_view failureReason = "why";
/// @}

}  // namespace rainhook::peers::protocol
