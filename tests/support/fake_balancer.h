/// @file
/// A test client of the server: a load balancer that uses framed Thrift.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "codec/thrift.h"
#include "support/test_connection.h"

namespace rainhook {

/// The kind of a message from the server.
enum class ResponseKind {
  none,  ///< No message was received before the connection ended or the timeout expired.
  completed,
  shed,
  failed,
  exception,  ///< A Thrift application exception: the message was not a valid request.
  closing,    ///< The server asks the client to close the connection.
  healthy,
  unhealthy
};

/// One message from the server.
struct Response {
  std::int32_t sequenceNumber = 0;
  ResponseKind kind = ResponseKind::none;
  std::string body;
  codec::thrift::Fields fields;
  std::size_t size = 0;  ///< The size of its frame in bytes.
};

/// A balancer's connection to the server.
class FakeBalancer : public TestConnection {
 public:
  using TestConnection::TestConnection;

  /// Returns the fields of a valid request whose arrival time is now.
  static codec::thrift::Fields requestFields(const std::string& requestName,
                                             const std::string& handler = "read");
  /// Returns the fields of a valid request for the handler `pay` with an idempotency key.
  static codec::thrift::Fields keyedRequestFields(const std::string& requestName,
                                                  const std::string& key = "k1");
  static std::string encodeRequest(std::int32_t sequenceNumber, const codec::thrift::Fields& fields,
                                   std::string_view body);
  static std::string encodeCancellation(std::int32_t sequenceNumber);

  void sendRequest(std::int32_t sequenceNumber, const codec::thrift::Fields& fields,
                   std::string_view body = "body") {
    send(encodeRequest(sequenceNumber, fields, body));
  }
  void sendCancellation(std::int32_t sequenceNumber) { send(encodeCancellation(sequenceNumber)); }
  void sendHealthCheck();
  Response receiveResponse();
};

}  // namespace rainhook
