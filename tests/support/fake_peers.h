/// @file
/// The peers of a server on loopback, each of whose messages the test writes.
#pragma once

#include <Poco/Net/ServerSocket.h>

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "support/test_connection.h"

namespace rainhook {

/// An execution engine that does only what the test says.
class ScriptedEngine {
 public:
  Poco::Net::ServerSocket socket = listenOnAnyPort();
  TestConnection connection;
  std::uint64_t lastNotificationId = 0;

  /// Takes a new connection and greets on it; `start` is how the engine says that it started. Returns the
  /// last notification that the server says it has read.
  std::uint64_t acceptConnection(const char* start = "warm");
  void send(const nlohmann::json& message);

  /// The next command for a request; its member `msg` is `none` where there is none in time. The server's
  /// requests for gauges, which go on without end, are answered meanwhile.
  nlohmann::json nextCommand();
  /// The name of the request whose execution is started next, or the other command that came.
  std::string nextStartedRequest();

  void endExecution(const std::string& requestName, const char* outcome = "ok",
                    std::string_view result = "result");
  void rejectStart(const std::string& requestName);
  void requestDownstreamCall(const std::string& requestName, std::string_view body);
};

/// All peers of a server but its clients.
struct FakePeers {
  ScriptedEngine engine;
  Poco::Net::ServerSocket downstreamSocket = listenOnAnyPort();
  Poco::Net::ServerSocket registrySocket = listenOnAnyPort();
};

}  // namespace rainhook
