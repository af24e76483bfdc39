/// @file
/// From the clients' messages to requests. Pure: bytes, rules and the time go in, values come out.
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

/// What the deployment settings say about requests.
struct RequestRules {
  /// In the order of their ids.
  std::vector<std::string> handlers;
  /// In the order of their ids; where there are none, a request names none.
  std::vector<std::string> tenants;
  /// How long a client waits for a response, by handler.
  std::vector<Duration> clientTimeouts;
  /// Whether requests state how much of the client's deadline is left.
  bool clientsSendTimeRemaining = true;
};

/// A request whose client's deadline passed longer ago than this is invalid.
inline constexpr Duration expiredRequestGrace = std::chrono::seconds(10);

/// Why a request is not taken.
struct InvalidRequest {
  /// What is wrong.
  enum class Reason {
    fieldMissing,         ///< A required field is not there.
    fieldInvalid,         ///< A field holds what it must not.
    bodyTooLarge,         ///< The body is longer than 2 KiB.
    tooManyOpenRequests,  ///< As many requests as the protocol allows are open on the connection.
  };
  /// What is wrong.
  Reason reason{};
  /// The field's name in the protocol, where the reason is about a field.
  std::string_view field;
};

/// A call to be admitted; its body is decoded by RequestDecoder.
struct CallMessage {
  /// Chosen by the client.
  std::int32_t sequenceNumber = 0;
  /// Points into the bytes that were decoded.
  std::string_view body;
};
/// The client asks whether the server is healthy.
struct HealthCheckMessage {
  /// Chosen by the client.
  std::int32_t sequenceNumber = 0;
};
/// The client no longer waits for the call of this number.
struct CancelMessage {
  /// That of the call.
  std::int32_t sequenceNumber = 0;
};
/// A call of a method that the service does not have.
struct UnknownMethodMessage {
  /// As the client named it.
  std::string method;
  /// Chosen by the client.
  std::int32_t sequenceNumber = 0;
};
/// All that a client may send.
using ClientMessage = std::variant<CallMessage, HealthCheckMessage, CancelMessage, UnknownMethodMessage>;

/// Decodes the content of one frame.
/// @throws codec::ProtocolError where it is no message that a client may send.
[[nodiscard]] ClientMessage decodeClientMessage(std::string_view frameContent);

/// Decodes and validates the body of a call.
class RequestDecoder {
 public:
  /// The rules hold for all calls.
  explicit RequestDecoder(RequestRules rules) : rules_(std::move(rules)) {}

  /// Decodes a call's body that was read at the wall-clock time `now`.
  /// @return the request, but for its response handle, or the first thing that is wrong with it.
  /// @throws codec::ProtocolError where the body can't be read at all.
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
