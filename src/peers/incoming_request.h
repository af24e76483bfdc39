/// @file
/// A request as a client sent it, in the terms of the decision module.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "decision/decision.h"

namespace rainhook::peers {

/// Identifies an accepted connection; never reused while the server runs.
enum class ConnectionId : std::uint32_t {};

/// Where the response to a request goes. It stays valid after the connection has closed; a response sent by
/// it is then dropped.
struct ResponseHandle {
  /// The connection on which the request came.
  ConnectionId connection{};
  /// The number of the call on its connection, chosen by the client.
  std::int32_t sequenceNumber = 0;
};

/// A request that has passed validation.
struct IncomingRequest {
  /// Where its response goes.
  ResponseHandle response;
  /// By which the execution engine and the downstream service know the request: 16 hexadecimal digits.
  std::string name;
  /// What it asks for.
  HandlerId handler{};
  /// On whose account; the first tenant where the settings name none.
  TenantId tenant{};
  /// Who sent it.
  ClientId client{};
  /// What it reads; the default where it names nothing.
  ResourceKey resourceKey{};
  /// Empty where the client gave none.
  std::string idempotencyKey;
  /// Priority within its handler, from 0 up to but excluding 1.
  double rank = 0;
  /// Memory that the request occupies while it is queued, in KiB.
  double queuedMemoryKb = 0;
  /// The client's estimate of the core time; none where it gave none.
  std::optional<Duration> estimatedWork;
  /// When the server read the request, by the wall clock.
  std::chrono::system_clock::time_point readAt{};
  /// How long the request had been under way before it was read.
  Duration readDelay{};
  /// What is left of the client's deadline; none where the settings say that clients do not send it.
  std::optional<Duration> timeRemaining;
  /// Input of the execution, 2 KiB at most.
  std::string body;
};

}  // namespace rainhook::peers
