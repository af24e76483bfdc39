/// @file
/// A request from a client, in the terms of the decision module.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "decision/decision.h"

namespace rainhook::peers {

/// Identifies an accepted connection; never reused while the server runs.
enum class ConnectionId : std::uint32_t {};

/// Identifies the destination of a response. It stays valid after the connection has closed; a response that
/// is sent through it is then dropped.
struct ResponseHandle {
  /// The connection on which the request arrived.
  ConnectionId connection{};
  /// The number of the call on its connection, chosen by the client.
  std::int32_t sequenceNumber = 0;
};

/// A request that has passed validation.
struct IncomingRequest {
  /// The destination of its response.
  ResponseHandle response;
  /// The name by which the execution engine and the downstream service identify the request: 16 hexadecimal
  /// digits.
  std::string name;
  /// The handler that the request calls.
  HandlerId handler{};
  /// The tenant of the request; the first tenant if the settings contain none.
  TenantId tenant{};
  /// The client that sent it.
  ClientId client{};
  /// The resource that it reads; the default value if it names none.
  ResourceKey resourceKey{};
  /// The idempotency key; empty if the client sent none.
  std::string idempotencyKey;
  /// Priority within its handler, from 0 up to but excluding 1.
  double rank = 0;
  /// Memory that the request occupies while it is queued, in KiB.
  double queuedMemoryKb = 0;
  /// The client's estimate of the required core time; none if it sent none.
  std::optional<Duration> estimatedWork;
  /// The wall-clock time at which the server read the request.
  std::chrono::system_clock::time_point readAt{};
  /// The time from the start of the request's transmission until it was read.
  Duration readDelay{};
  /// The time that remains until the client's deadline; none if clients do not send it according to the
  /// settings.
  std::optional<Duration> timeRemaining;
  /// The input of the execution, at most 2 KiB.
  std::string body;
};

}  // namespace rainhook::peers
