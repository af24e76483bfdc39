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
enum class EngineCommandKind {
  startExecution,        ///< Begin to execute the request.
  deliverReply,          ///< Go on with the reply to its downstream call.
  continueWithoutReply,  ///< Go on without that reply.
  unknown,               ///< A command that is not ours.
};

/// Notifications are numbered from 1 on and sent again on a new connection until a later number is
/// acknowledged; none where the engine gave no valid number.
using NotificationNumber = std::optional<std::uint64_t>;

/// The first message on a connection.
struct EngineHandshake {
  /// The engine's own word for the state in which it started.
  std::string startState;
  /// Whether its caches were cold then.
  bool wasColdStart = false;
  /// How long ago the engine started.
  Duration sinceStart{};
};

/// An execution came to its end.
struct EngineExecutionEnded {
  /// By which it is taken once.
  NotificationNumber number;
  /// IncomingRequest::name.
  std::string requestName;
  /// How it ended.
  Outcome outcome = Outcome::failed;
  /// The engine's word for an outcome that we do not know; it is taken for a failure.
  std::optional<std::string> unknownOutcome;
  /// How long it took, by the engine.
  Duration duration{};
  /// What the client gets; empty where the execution did not complete.
  std::string result;
};

/// An execution waits for the reply to a downstream call.
struct EngineDownstreamCallRequested {
  /// By which it is taken once.
  NotificationNumber number;
  /// IncomingRequest::name.
  std::string requestName;
  /// None where the engine sent no valid base64.
  std::optional<std::string> body;
};

/// A notification that asks for nothing.
struct EngineInformation {
  /// By which it is taken once.
  NotificationNumber number;
};

/// The answer to encodeCatchUpRequest(): all notifications that had been missed were sent before it.
struct EngineCaughtUp {};

/// The answer to encodeGaugeRequest().
struct EngineGauges {
  /// As given with the request; 0 where it is no number.
  std::uint64_t requestId = 0;
  /// In the order that the settings state; 0 for what is no number.
  std::vector<double> values;
};

/// A command was not carried out.
struct EngineCommandRejected {
  /// IncomingRequest::name.
  std::string requestName;
  /// The command, where it is one of ours.
  EngineCommandKind kind = EngineCommandKind::unknown;
  /// The engine's own word for the command.
  std::string command;
};

/// A message of a kind that we do not know.
struct EngineUnknownMessage {
  /// The engine's own word.
  std::string kind;
  /// Whether it has a number, valid or not.
  bool isNotification = false;
  /// By which it is taken once.
  NotificationNumber number;
};

/// All that the engine sends.
using EngineMessage =
    std::variant<EngineHandshake, EngineExecutionEnded, EngineDownstreamCallRequested, EngineInformation,
                 EngineCaughtUp, EngineGauges, EngineCommandRejected, EngineUnknownMessage>;

/// Decodes one line. Missing or ill-formed members get their defaults: a numbered notification that was
/// thrown away would come again on each new connection, for ever.
[[nodiscard]] EngineMessage decodeEngineMessage(const nlohmann::json& line);

/// Asks for all notifications after the given one.
std::string encodeSubscription(std::uint64_t lastNotification);
/// Starts the execution of a request, which the engine knows by its name from then on.
std::string encodeStartExecution(const std::string& requestName, const std::string& handler,
                                 std::string_view body);
/// Continues an execution that waits for the reply to its downstream call.
std::string encodeDeliverReply(const std::string& requestName, std::string_view reply);
/// Continues an execution without the reply that it asked for by the notification of this number.
std::string encodeContinueWithoutReply(const std::string& requestName, std::uint64_t notification);
/// Asks for the gauges now; the answer carries the same id.
std::string encodeGaugeRequest(std::uint64_t requestId);
/// Asks to be told once all notifications so far were sent.
std::string encodeCatchUpRequest();

}  // namespace rainhook::peers
