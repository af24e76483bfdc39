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

/// Members of the messages.
constexpr const char* kindMember = "msg";
constexpr const char* requestNameMember = "call";
constexpr const char* numberMember = "serial";
constexpr const char* wordMember = "how";
constexpr const char* durationMember = "duration";
constexpr const char* payloadMember = "blob";
constexpr const char* gaugeRequestMember = "cookie";
constexpr const char* gaugesMember = "stats";
constexpr const char* handlerMember = "service";

/// Kinds of commands.
constexpr std::string_view startExecutionKind = "launch";
constexpr std::string_view deliverReplyKind = "deliver";
constexpr std::string_view continueWithoutReplyKind = "forgo";

/// Distinguishes the gauge request that marks the end of catching up.
constexpr std::string_view catchUpId = "catch-up";

/// Keeps the conversion to nanoseconds within 64 bits: some thirty years.
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

std::optional<Outcome> outcomeOf(std::string_view word) {
  if (word == "ok") return Outcome::completed;
  if (word == "halted") return Outcome::cancelled;
  if (word == "void") return Outcome::superseded;
  if (word == "failed") return Outcome::failed;
  return std::nullopt;
}

EngineCommandKind commandOf(std::string_view word) {
  if (word == startExecutionKind) return EngineCommandKind::startExecution;
  if (word == deliverReplyKind) return EngineCommandKind::deliverReply;
  if (word == continueWithoutReplyKind) return EngineCommandKind::continueWithoutReply;
  return EngineCommandKind::unknown;
}

EngineExecutionEnded decodeExecutionEnded(const json& line) {
  EngineExecutionEnded out;
  out.number = numberOf(line);
  out.requestName = textOf(line, requestNameMember);
  out.duration = durationOf(line);
  const std::string word = textOf(line, wordMember);
  const auto outcome = outcomeOf(word);
  if (!outcome) out.unknownOutcome = word;
  out.outcome = outcome.value_or(Outcome::failed);
  auto result = payloadOf(line);
  if (!result && out.outcome == Outcome::completed) out.outcome = Outcome::failed;
  out.result = std::move(result).value_or("");
  return out;
}

EngineMessage decodeGauges(const json& line) {
  const std::string id = textOf(line, gaugeRequestMember);
  if (id == catchUpId) return EngineCaughtUp{};
  EngineGauges out;
  std::from_chars(id.data(), id.data() + id.size(), out.requestId);
  if (const auto values = line.find(gaugesMember); values != line.end() && values->is_array())
    for (const auto& value : *values) out.values.push_back(value.is_number() ? value.get<double>() : 0);
  return out;
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
    const std::string word = textOf(line, wordMember);
    return EngineHandshake{word, word == "cold", durationOf(line)};
  }
  if (kind == "refusal") {
    const std::string word = textOf(line, wordMember);
    return EngineCommandRejected{textOf(line, requestNameMember), commandOf(word), word};
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
