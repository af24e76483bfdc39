/// @file
/// Fake peers of a server on loopback. The tests determine each of their messages.
#pragma once

#include <Poco/Net/ServerSocket.h>

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "support/test_connection.h"

namespace rainhook {

/// An execution engine that is controlled by the test.
class ScriptedEngine {
 public:
  Poco::Net::ServerSocket socket = listenOnAnyPort();
  TestConnection connection;
  std::uint64_t lastNotificationNumber = 0;
  /// The gauges with which nextCommand() answers, in the order of exampleSettings().
  std::vector<double> gauges = {0.5, 1, 0.1, 3};

  /// Accepts a connection and sends a handshake with the start state `startState`. Returns the number of the
  /// last notification that the server has read, as stated in its subscription, or 99 if none arrives.
  std::uint64_t acceptConnection(const char* startState = "warm");
  /// Accepts a connection without a handshake, so that the server can't send commands yet. Returns the same.
  std::uint64_t acceptSubscription();
  void sendHandshake(const char* startState = "warm");
  void send(const nlohmann::json& message);

  /// Returns the next command for a request. If none arrives before the timeout, its member `msg` is `none`.
  /// Answers the server's periodic gauge requests while it waits.
  nlohmann::json nextCommand();
  /// Returns the name of the next request whose execution is started, or the JSON text of any other command.
  std::string nextStartedRequest();

  void endExecution(const std::string& requestName, const char* outcome = "ok",
                    std::string_view result = "result");
  void rejectStart(const std::string& requestName);
  void requestDownstreamCall(const std::string& requestName, std::string_view body);
};

/// All peers of a server except its clients.
struct FakePeers {
  ScriptedEngine engine;
  Poco::Net::ServerSocket downstreamSocket = listenOnAnyPort();
  Poco::Net::ServerSocket registrySocket = listenOnAnyPort();
};

}  // namespace rainhook
