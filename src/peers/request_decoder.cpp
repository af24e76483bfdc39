#include "peers/request_decoder.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <limits>
#include <optional>

#include "codec/protocol_error.h"
#include "peers/request_protocol.h"

namespace rainhook::peers {
namespace {

using namespace std::chrono_literals;
using codec::thrift::Kind;
using codec::thrift::Reader;
using codec::thrift::Type;

constexpr std::size_t requestNameLength = 16;
constexpr std::size_t maxBodyBytes = 2048;
constexpr double maxQueuedMemoryKb = 2000;
constexpr std::int64_t maxTimeRemainingMs = 24 * 60 * 60 * 1000;
constexpr double maxEstimatedWorkMs = 24 * 60 * 60 * 1000;
/// Fits in 64 bits when converted to nanoseconds.
constexpr std::int64_t maxArrivalTimeMs = 4'000'000'000'000;
/// How far the client's clock may be ahead of the server's clock.
constexpr Duration maxClockSkew = 5s;
/// The maximum length of an unexpected method's name in the log.
constexpr std::size_t loggedNameLength = 40;
constexpr int hexadecimal = 16;

/// @return the number if all of `text` is a valid number, none otherwise.
template <typename T>
std::optional<T> parseNumber(std::string_view text, int base) {
  T value{};
  std::from_chars_result result{};
  if constexpr (std::is_floating_point_v<T>)
    result = std::from_chars(text.data(), text.data() + text.size(), value);
  else
    result = std::from_chars(text.data(), text.data() + text.size(), value, base);
  if (text.empty() || result.ec != std::errc{} || result.ptr != text.data() + text.size())
    return std::nullopt;
  if constexpr (std::is_floating_point_v<T>)
    if (!std::isfinite(value)) return std::nullopt;
  return value;
}

CancelMessage decodeCancel(std::string_view body) {
  CancelMessage message;
  Reader(body).readStruct([&](std::int16_t id, Type type, Reader& in) {
    if (id != protocol::cancelSequenceNumber || type != Type::i32) return false;
    message.sequenceNumber = in.i32();
    return true;
  });
  return message;
}

}  // namespace

ClientMessage decodeClientMessage(std::string_view frameContent) {
  const auto message = codec::thrift::readMessage(frameContent);
  if (message.kind == Kind::call && message.name == protocol::callMethod)
    return CallMessage{message.sequence, message.body};
  if (message.kind == Kind::call && message.name == protocol::healthMethod) {
    // A client may request a check that includes an execution, but the engine's protocol has no command for
    // it. Both kinds of checks get the same response, so the body is only checked for its format.
    Reader(message.body).readStruct([](auto, auto, auto&) { return false; });
    return HealthCheckMessage{message.sequence};
  }
  if (message.kind == Kind::oneway && message.name == protocol::cancelMethod)
    return decodeCancel(message.body);
  if (message.kind != Kind::call)
    throw codec::ProtocolError("expected a call or a one-way cancel message, got another message named \"" +
                               message.name.substr(0, loggedNameLength) + "\"");
  return UnknownMethodMessage{message.name, message.sequence};
}

/// Reads and checks the fields of one call, and records the first fault.
class RequestDecoder::FieldReader {
 public:
  explicit FieldReader(const codec::thrift::Fields& fields) : fields_(fields) {}

  std::string_view text(std::string_view name) const {
    const auto it = fields_.find(std::string(name));
    return it == fields_.end() ? std::string_view{} : it->second;
  }

  /// @return the number in the field, from `min` to `max` inclusive; `min` if the field is missing or
  /// invalid.
  template <typename T>
  T number(std::string_view name, T min, T max, int base = 10) {
    const auto value = parseNumber<T>(text(name), base);
    if (value && *value >= min && *value <= max) return *value;
    reject(name);
    return min;
  }

  /// @return the index of the field's text in `known`; the size of `known` if the text is not in it.
  std::size_t indexIn(const std::vector<std::string>& known, std::string_view name) {
    const auto it = std::find(known.begin(), known.end(), text(name));
    if (it == known.end()) reject(name);
    return static_cast<std::size_t>(it - known.begin());
  }

  void reject(std::string_view name) {
    if (fault_) return;
    const bool isPresent = fields_.contains(std::string(name));
    fault_ = InvalidRequest{
        isPresent ? InvalidRequest::Reason::fieldInvalid : InvalidRequest::Reason::fieldMissing, name};
  }

  const std::optional<InvalidRequest>& fault() const { return fault_; }

 private:
  const codec::thrift::Fields& fields_;
  std::optional<InvalidRequest> fault_;
};

void RequestDecoder::decodeIdentity(FieldReader& fields, IncomingRequest& request) const {
  request.name = fields.text(protocol::requestName);
  if (request.name.size() != requestNameLength || !parseNumber<std::uint64_t>(request.name, hexadecimal))
    fields.reject(protocol::requestName);
  request.handler = HandlerId{static_cast<std::uint8_t>(fields.indexIn(rules_.handlers, protocol::handler))};
  if (!rules_.tenants.empty())
    request.tenant = TenantId{static_cast<std::uint16_t>(fields.indexIn(rules_.tenants, protocol::tenant))};
  request.client =
      ClientId{fields.number<std::uint64_t>(protocol::client, 0, std::numeric_limits<std::uint64_t>::max())};
}

// Rejects requests whose client stopped waiting long ago and requests from the future, because they would
// distort the measured load.
void RequestDecoder::decodeTiming(FieldReader& fields, std::chrono::system_clock::time_point now,
                                  std::chrono::milliseconds arrivalTime, IncomingRequest& request) const {
  const Duration clientTimeout =
      request.timeRemaining.value_or(rules_.clientTimeouts[static_cast<std::size_t>(request.handler)]);
  const Duration sinceEpoch = now.time_since_epoch();
  if (arrivalTime + clientTimeout + expiredRequestGrace < sinceEpoch ||
      arrivalTime > sinceEpoch + maxClockSkew)
    return fields.reject(protocol::arrivalTime);
  request.readAt = now;
  request.readDelay = std::max<Duration>(sinceEpoch - arrivalTime, 0s);
  if (request.timeRemaining)
    request.timeRemaining = std::clamp<Duration>(arrivalTime + clientTimeout - sinceEpoch, 0s, clientTimeout);
}

std::variant<IncomingRequest, InvalidRequest> RequestDecoder::decode(
    std::string_view body, std::chrono::system_clock::time_point now) const {
  IncomingRequest request;
  codec::thrift::Fields receivedFields;
  Reader(body).readStruct([&](std::int16_t id, Type type, Reader& in) {
    if (id == protocol::callFields && type == Type::map) {
      receivedFields = in.fields();
      return true;
    }
    if (id == protocol::callBody && type == Type::text) {
      request.body = in.text();
      return true;
    }
    return false;
  });
  FieldReader fields(receivedFields);
  decodeIdentity(fields, request);
  const std::chrono::milliseconds arrivalTime(
      fields.number<std::int64_t>(protocol::arrivalTime, 0, maxArrivalTimeMs));
  if (rules_.clientsSendTimeRemaining)
    request.timeRemaining = std::chrono::milliseconds(
        fields.number<std::int64_t>(protocol::timeRemaining, 0, maxTimeRemainingMs));
  request.queuedMemoryKb = fields.number<double>(protocol::queuedMemoryKb, 0, maxQueuedMemoryKb);
  if (request.queuedMemoryKb <= 0 || request.queuedMemoryKb >= maxQueuedMemoryKb)
    fields.reject(protocol::queuedMemoryKb);
  request.rank = fields.number<double>(protocol::rank, 0, 1);
  if (request.rank >= 1) fields.reject(protocol::rank);
  if (!fields.text(protocol::resourceKey).empty())
    request.resourceKey = ResourceKey{fields.number<std::uint64_t>(
        protocol::resourceKey, 0, std::numeric_limits<std::uint64_t>::max(), hexadecimal)};
  // Deployments with keyed handlers and load signals send the next two fields, which are not in the table of
  // fields in the protocol's specification.
  request.idempotencyKey = fields.text(protocol::idempotencyKey);
  if (!fields.text(protocol::estimatedWork).empty())
    request.estimatedWork = Duration(std::chrono::microseconds(static_cast<std::int64_t>(
        fields.number<double>(protocol::estimatedWork, 0, maxEstimatedWorkMs) * 1000)));
  if (request.body.size() > maxBodyBytes) return InvalidRequest{InvalidRequest::Reason::bodyTooLarge, {}};
  if (!fields.fault()) decodeTiming(fields, now, arrivalTime, request);
  if (fields.fault()) return *fields.fault();
  return request;
}

}  // namespace rainhook::peers
