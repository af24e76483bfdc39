/// @file
/// Decodes the clients' messages into requests. The functions have no side effects: their results depend only
/// on the bytes, the rules and the time that are passed in.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "codec/thrift.h"
#include "peers/incoming_request.h"

namespace rainhook::peers {

/// The rules of the deployment settings that requests are validated against.
struct RequestRules {
  /// The names of the handlers in the order of their ids.
  std::vector<std::string> handlers;
  /// The names of the tenants in the order of their ids; if there are none, requests name no tenant.
  std::vector<std::string> tenants;
  /// How long a client waits for a response, by handler.
  std::vector<Duration> clientTimeouts;
  /// Whether requests state how much time remains until the client's deadline.
  bool clientsSendTimeRemaining = true;
};

/// A request is invalid if its client's deadline passed longer ago than this.
inline constexpr Duration expiredRequestGrace = std::chrono::seconds(10);

/// Describes why a request is invalid.
struct InvalidRequest {
  /// The kinds of faults.
  enum class Reason {
    fieldMissing,         ///< A required field is missing.
    fieldInvalid,         ///< A field has an invalid value.
    bodyTooLarge,         ///< The body is longer than 2 KiB.
    tooManyOpenRequests,  ///< As many requests as the protocol allows are open on the connection.
  };
  /// The kind of fault.
  Reason reason{};
  /// The name of the field in the protocol, if the reason concerns a field.
  std::string_view field;
};

/// A call to be admitted. RequestDecoder decodes its body.
struct CallMessage {
  /// The number that the client chose for the call.
  std::int32_t sequenceNumber = 0;
  /// The encoded body, a view of the bytes that were passed to decodeClientMessage().
  std::string_view body;
};
/// A request for the health of the server.
struct HealthCheckMessage {
  /// The number that the client chose for the health check.
  std::int32_t sequenceNumber = 0;
};
/// Reports that the client no longer waits for the response to a call.
struct CancelMessage {
  /// The number of the call.
  std::int32_t sequenceNumber = 0;
};
/// A call of a method that the service does not have.
struct UnknownMethodMessage {
  /// The name of the method in the message.
  std::string method;
  /// The number that the client chose for the call.
  std::int32_t sequenceNumber = 0;
};
/// Any message that a client may send.
using ClientMessage = std::variant<CallMessage, HealthCheckMessage, CancelMessage, UnknownMethodMessage>;

/// Decodes the content of one frame.
/// @throws codec::ProtocolError if it is not a message that a client may send.
[[nodiscard]] ClientMessage decodeClientMessage(std::string_view frameContent);

/// Decodes and validates the body of a call.
class RequestDecoder {
 public:
  /// Creates a decoder that applies the rules to all calls.
  explicit RequestDecoder(RequestRules rules) : rules_(std::move(rules)) {}

  /// Decodes the body of a call that was read at the wall-clock time `now`.
  /// @return the request without its response handle, or the first fault that was found.
  /// @throws codec::ProtocolError if the body is not a valid Thrift structure.
  [[nodiscard]] std::variant<IncomingRequest, InvalidRequest> decode(
      std::string_view body, std::chrono::system_clock::time_point now) const;

 private:
  class FieldReader;
  void decodeIdentity(FieldReader& fields, IncomingRequest& request) const;
  void decodeTiming(FieldReader& fields, std::chrono::system_clock::time_point now,
                    std::chrono::milliseconds arrivalTime, IncomingRequest& request) const;

  const RequestRules rules_;
};

}  // namespace rainhook::peers
