#include "peers/execution_engine_protocol.h"

#include <algorithm>
#include <charconv>
#include <chrono>

#include "codec/json_lines.h"
#include "codec/protocol_error.h"

namespace rainhook::peers {
namespace {

using codec::jsonLines::fromBase64;
using codec::jsonLines::toBase64;
using codec::jsonLines::writeLine;
using nlohmann::json;

/// Names of the message members.
constexpr const char* kindMember = "msg";
constexpr const char* requestNameMember = "call";
constexpr const char* numberMember = "serial";
constexpr const char* statusMember = "how";
constexpr const char* durationMember = "duration";
constexpr const char* payloadMember = "blob";
constexpr const char* gaugeRequestMember = "cookie";
constexpr const char* gaugesMember = "stats";
constexpr const char* handlerMember = "service";

/// Kinds of commands.
constexpr std::string_view startExecutionKind = "launch";
constexpr std::string_view deliverReplyKind = "deliver";
constexpr std::string_view continueWithoutReplyKind = "forgo";

/// The id of the gauge request whose response marks the end of the missed notifications.
constexpr std::string_view catchUpId = "catch-up";

/// An upper bound of about thirty years, which keeps the conversion to nanoseconds within 64 bits.
constexpr double maxDurationMs = 1e12;

std::string textOf(const json& line, const char* name) {
  const auto it = line.find(name);
  return it != line.end() && it->is_string() ? it->get<std::string>() : std::string();
}

Duration durationOf(const json& line) {
  const auto it = line.find(durationMember);
  const double millis = it != line.end() && it->is_number() ? it->get<double>() : 0;
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(std::min(millis, maxDurationMs)));
}

std::optional<std::string> payloadOf(const json& line) {
  try {
    return fromBase64(textOf(line, payloadMember));
  } catch (const codec::ProtocolError&) {
    return std::nullopt;
  }
}

NotificationNumber numberOf(const json& line) {
  const auto it = line.find(numberMember);
  if (it == line.end() || !it->is_number_unsigned()) return std::nullopt;
  return it->get<std::uint64_t>();
}

std::optional<Outcome> outcomeOf(std::string_view status) {
  if (status == "ok") return Outcome::completed;
  if (status == "halted") return Outcome::cancelled;
  if (status == "void") return Outcome::superseded;
  if (status == "failed") return Outcome::failed;
  return std::nullopt;
}

EngineCommandKind commandKindOf(std::string_view command) {
  if (command == startExecutionKind) return EngineCommandKind::startExecution;
  if (command == deliverReplyKind) return EngineCommandKind::deliverReply;
  if (command == continueWithoutReplyKind) return EngineCommandKind::continueWithoutReply;
  return EngineCommandKind::unknown;
}

EngineExecutionEnded decodeExecutionEnded(const json& line) {
  EngineExecutionEnded message;
  message.number = numberOf(line);
  message.requestName = textOf(line, requestNameMember);
  message.duration = durationOf(line);
  const std::string status = textOf(line, statusMember);
  const auto outcome = outcomeOf(status);
  if (!outcome) message.unknownOutcome = status;
  message.outcome = outcome.value_or(Outcome::failed);
  auto result = payloadOf(line);
  if (!result && message.outcome == Outcome::completed) message.outcome = Outcome::failed;
  message.result = std::move(result).value_or("");
  return message;
}

EngineMessage decodeGauges(const json& line) {
  const std::string id = textOf(line, gaugeRequestMember);
  if (id == catchUpId) return EngineCaughtUp{};
  EngineGauges gauges;
  std::from_chars(id.data(), id.data() + id.size(), gauges.requestId);
  if (const auto values = line.find(gaugesMember); values != line.end() && values->is_array())
    for (const auto& value : *values) gauges.values.push_back(value.is_number() ? value.get<double>() : 0);
  return gauges;
}

}  // namespace

EngineMessage decodeEngineMessage(const json& line) {
  const std::string kind = textOf(line, kindMember);
  if (kind == "outcome") return decodeExecutionEnded(line);
  if (kind == "request")
    return EngineDownstreamCallRequested{numberOf(line), textOf(line, requestNameMember), payloadOf(line)};
  if (kind == "aside") return EngineInformation{numberOf(line)};
  if (kind == "sampled") return decodeGauges(line);
  if (kind == "greeting") {
    const std::string startState = textOf(line, statusMember);
    return EngineHandshake{startState, startState == "cold", durationOf(line)};
  }
  if (kind == "refusal") {
    const std::string command = textOf(line, statusMember);
    return EngineCommandRejected{textOf(line, requestNameMember), commandKindOf(command), command};
  }
  return EngineUnknownMessage{kind, line.contains(numberMember), numberOf(line)};
}

std::string encodeSubscription(std::uint64_t lastNotification) {
  return writeLine({{kindMember, "subscribe"}, {numberMember, lastNotification}});
}

std::string encodeStartExecution(const std::string& requestName, const std::string& handler,
                                 std::string_view body) {
  return writeLine({{kindMember, startExecutionKind},
                    {requestNameMember, requestName},
                    {handlerMember, handler},
                    {payloadMember, toBase64(body)}});
}

std::string encodeDeliverReply(const std::string& requestName, std::string_view reply) {
  return writeLine(
      {{kindMember, deliverReplyKind}, {requestNameMember, requestName}, {payloadMember, toBase64(reply)}});
}

std::string encodeContinueWithoutReply(const std::string& requestName, std::uint64_t notification) {
  return writeLine({{kindMember, continueWithoutReplyKind},
                    {requestNameMember, requestName},
                    {numberMember, notification}});
}

std::string encodeGaugeRequest(std::uint64_t requestId) {
  return writeLine({{kindMember, "sample"}, {gaugeRequestMember, std::to_string(requestId)}});
}

std::string encodeCatchUpRequest() {
  return writeLine({{kindMember, "sample"}, {gaugeRequestMember, catchUpId}});
}

}  // namespace rainhook::peers
