/// @file
/// The protocol of the execution engine: decodes JSON lines to typed messages and encodes commands as JSON
/// lines. The functions have no side effects. execution_engine_protocol.cpp contains all names of the
/// protocol.
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

/// The kind of a command to the engine.
enum class EngineCommandKind {
  startExecution,        ///< Start the execution of a request.
  deliverReply,          ///< Continue with the reply to the downstream call of the request.
  continueWithoutReply,  ///< Continue without that reply.
  unknown,               ///< A command that this server does not send.
};

/// The number of a notification, or none if the engine sent no valid number. Numbers start at 1. On a new
/// connection the engine repeats all notifications after the last acknowledged number.
using NotificationNumber = std::optional<std::uint64_t>;

/// The first message on a connection.
struct EngineHandshake {
  /// The state in which the engine started, in the engine's wording.
  std::string startState;
  /// Whether its caches were cold at its start.
  bool wasColdStart = false;
  /// The time since the engine started.
  Duration sinceStart{};
};

/// Reports the end of an execution.
struct EngineExecutionEnded {
  /// Identifies the notification, so that it is processed only once.
  NotificationNumber number;
  /// IncomingRequest::name.
  std::string requestName;
  /// The outcome of the execution.
  Outcome outcome = Outcome::failed;
  /// The outcome in the engine's wording, if it is unknown to this server and therefore treated as a failure.
  std::optional<std::string> unknownOutcome;
  /// The duration of the execution as measured by the engine.
  Duration duration{};
  /// The result for the client; empty if the execution did not complete.
  std::string result;
};

/// Reports that an execution waits for the reply to a downstream call.
struct EngineDownstreamCallRequested {
  /// Identifies the notification, so that it is processed only once.
  NotificationNumber number;
  /// IncomingRequest::name.
  std::string requestName;
  /// The body of the call, or none if the engine did not send valid base64.
  std::optional<std::string> body;
};

/// A notification that requires no action.
struct EngineInformation {
  /// Identifies the notification, so that it is processed only once.
  NotificationNumber number;
};

/// The response to encodeCatchUpRequest(). The engine sends it after all missed notifications.
struct EngineCaughtUp {};

/// The response to encodeGaugeRequest().
struct EngineGauges {
  /// The id of the gauge request; 0 if it is not a number.
  std::uint64_t requestId = 0;
  /// The values in the order of the gauges in the settings; 0 for a value that is not a number.
  std::vector<double> values;
};

/// Reports that the engine did not execute a command.
struct EngineCommandRejected {
  /// IncomingRequest::name.
  std::string requestName;
  /// The kind of the command, if this server knows it.
  EngineCommandKind kind = EngineCommandKind::unknown;
  /// The command in the engine's wording.
  std::string command;
};

/// A message of a kind that is unknown to this server.
struct EngineUnknownMessage {
  /// The kind in the engine's wording.
  std::string kind;
  /// Whether the message has a number, valid or not.
  bool isNotification = false;
  /// Identifies the notification, so that it is processed only once.
  NotificationNumber number;
};

/// Any message from the engine.
using EngineMessage =
    std::variant<EngineHandshake, EngineExecutionEnded, EngineDownstreamCallRequested, EngineInformation,
                 EngineCaughtUp, EngineGauges, EngineCommandRejected, EngineUnknownMessage>;

/// Decodes one line. Missing or malformed members get default values, because a numbered notification that
/// was discarded would be sent again on each new connection indefinitely.
[[nodiscard]] EngineMessage decodeEngineMessage(const nlohmann::json& line);

/// Requests all notifications after the given one.
std::string encodeSubscription(std::uint64_t lastNotification);
/// Starts the execution of a request. Later messages identify the execution by the request's name.
std::string encodeStartExecution(const std::string& requestName, const std::string& handler,
                                 std::string_view body);
/// Continues an execution that waits for the reply to its downstream call.
std::string encodeDeliverReply(const std::string& requestName, std::string_view reply);
/// Continues an execution without the reply that it requested by the notification of this number.
std::string encodeContinueWithoutReply(const std::string& requestName, std::uint64_t notification);
/// Requests the current gauges; the response has the same id.
std::string encodeGaugeRequest(std::uint64_t requestId);
/// Requests a response after all missed notifications have been sent.
std::string encodeCatchUpRequest();

}  // namespace rainhook::peers
