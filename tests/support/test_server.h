/// @file
/// A server in the test's process, and a fixture for tests that use it.
#pragma once

#include <gtest/gtest.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

#include "server/request_server.h"
#include "support/fake_balancer.h"
#include "support/fake_peers.h"
#include "support/http_request.h"

namespace rainhook {

/// Names for the requests of a test.
inline const std::string requestA = "00000000000000a1";
inline const std::string requestB = "00000000000000a2";
inline const std::string requestC = "00000000000000a3";

/// Returns the settings of a small deployment: two cores, an idempotent handler `read`, and a handler `pay`
/// whose requests are deduplicated by their idempotency key.
nlohmann::json exampleSettings();

/// A RequestServer on a separate thread, with all its peers. It handles SIGTERM and SIGHUP like the program.
class TestServer {
 public:
  nlohmann::json settings = exampleSettings();
  ServerEndpoints endpoints;      ///< Tests may set the limits before the start; start() sets the addresses.
  std::string configurationFile;  ///< The file that a reload reads; if empty, a reload applies `endpoints`.
  FakePeers peers;

  TestServer();
  ~TestServer() { stop(); }
  TestServer(const TestServer&) = delete;
  TestServer& operator=(const TestServer&) = delete;

  /// Starts the server and accepts its connection to the engine.
  void start();
  void startWithoutEngine();
  void stop();
  FakeBalancer connectBalancer() { return FakeBalancer(Poco::Net::StreamSocket(server_->address())); }

  /// Pauses the event loop while `meanwhile` runs. Afterwards the server finds all input of that time in one
  /// iteration.
  void whilePaused(const std::function<void()>& meanwhile);
  /// Makes the server reload its configuration with the current addresses of the peers.
  void reload();
  void requestShutdown();
  void waitUntilStopped() { thread_.join(); }

  /// Stops the server and returns its counts of requests in flight.
  server::InFlightCounts stopAndCountInFlight();
  /// Stops the server and returns how many connections it visited to find idle ones to evict.
  std::uint64_t stopAndCountConnectionsScanned();

 private:
  void setPeerAddresses();
  void onSignal(int signal);
  void stopEventLoop();

  net::Reactor reactor_;
  logging::Log log_;
  std::unique_ptr<server::RequestServer> server_;
  std::thread thread_;
  std::function<void()> pause_;
};

/// A fixture with a server that the test starts, and its peers.
class ServerTest : public testing::Test {
 protected:
  TestServer server;
  FakePeers& peers = server.peers;
  ScriptedEngine& engine = server.peers.engine;
};

}  // namespace rainhook
