/// @file
/// The execution engine's protocol: JSON lines to typed messages, typed commands to JSON lines. Pure; every
/// name of that protocol is in execution_engine_protocol.cpp.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "decision/decision.h"

namespace rainhook::peers {

/// What the engine is told to do for a request.
enum class EngineCommandKind { startExecution, deliverReply, continueWithoutReply, unknown };

/// Notifications are numbered from 1 on and sent again on a new connection until a later number is
/// acknowledged; none where the engine gave no valid number.
using NotificationNumber = std::optional<std::uint64_t>;

/// The first message on a connection.
struct EngineHandshake {
  /// The engine's own word for the state in which it started.
  std::string startState;
  bool wasColdStart = false;
  /// How long ago the engine started.
  Duration sinceStart{};
};

/// An execution came to its end.
struct EngineExecutionEnded {
  NotificationNumber number;
  std::string requestName;
  Outcome outcome = Outcome::failed;
  /// The engine's word for an outcome that we do not know; it is taken for a failure.
  std::optional<std::string> unknownOutcome;
  Duration duration{};
  std::string result;
};

/// An execution waits for the reply to a downstream call.
struct EngineDownstreamCallRequested {
  NotificationNumber number;
  std::string requestName;
  /// None where the engine sent no valid base64.
  std::optional<std::string> body;
};

/// A notification that asks for nothing.
struct EngineInformation {
  NotificationNumber number;
};

/// The answer to encodeCatchUpRequest(): all notifications that had been missed were sent before it.
struct EngineCaughtUp {};

/// The answer to encodeGaugeRequest().
struct EngineGauges {
  /// As given with the request; 0 where it is no number.
  std::uint64_t requestId = 0;
  std::vector<double> values;
};

/// A command was not carried out.
struct EngineCommandRejected {
  std::string requestName;
  EngineCommandKind kind = EngineCommandKind::unknown;
  /// The engine's own word for the command.
  std::string command;
};

/// A message of a kind that we do not know.
struct EngineUnknownMessage {
  std::string kind;
  bool isNotification = false;
  NotificationNumber number;
};

using EngineMessage =
    std::variant<EngineHandshake, EngineExecutionEnded, EngineDownstreamCallRequested, EngineInformation,
                 EngineCaughtUp, EngineGauges, EngineCommandRejected, EngineUnknownMessage>;

/// Missing or ill-formed members get their defaults: a numbered notification that was thrown away would come
/// again on each new connection, for ever.
[[nodiscard]] EngineMessage decodeEngineMessage(const nlohmann::json& line);

/// Asks for all notifications after the given one.
std::string encodeSubscription(std::uint64_t lastNotification);
std::string encodeStartExecution(const std::string& requestName, const std::string& handler,
                                 std::string_view body);
std::string encodeDeliverReply(const std::string& requestName, std::string_view reply);
/// @param notification the number of the EngineDownstreamCallRequested that gets no reply.
std::string encodeContinueWithoutReply(const std::string& requestName, std::uint64_t notification);
std::string encodeGaugeRequest(std::uint64_t requestId);
std::string encodeCatchUpRequest();

}  // namespace rainhook::peers
