/// @file
/// A server in the test's process, and the fixture of tests on it.
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

/// Names of requests, where a test needs no others.
inline const std::string requestA = "00000000000000a1";
inline const std::string requestB = "00000000000000a2";
inline const std::string requestC = "00000000000000a3";

/// Settings of a small deployment: two cores, a handler `read` that may be repeated and a handler `pay` whose
/// duplicates are dropped by their key.
nlohmann::json exampleSettings();

/// A RequestServer on a thread of its own, with all its peers. It handles SIGTERM and SIGHUP as the program
/// does.
class TestServer {
 public:
  nlohmann::json settings = exampleSettings();
  ServerEndpoints endpoints;  ///< Limits may be changed before the start; addresses are those of the peers.
  std::string configurationFile;  ///< Read on a reload, where it is named.
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

  /// Lets the server do nothing while `meanwhile` goes on; what its peers do then it finds all at once.
  void whilePaused(const std::function<void()>& meanwhile);
  /// Makes the server reload its configuration, with the peers' addresses as they are now.
  void reload();
  void requestShutdown();
  void waitForEnd() { thread_.join(); }

  /// Stops the server and returns what it takes for in flight.
  server::InFlightCounts stopAndCountInFlight();
  /// Stops the server and returns how many connections were visited to make room for others.
  std::uint64_t stopAndCountConnectionsScanned();

 private:
  void useAddressesOfPeers();
  void onSignal(int signal);
  void stopEventLoop();

  net::Reactor reactor_;
  logging::Log log_;
  std::unique_ptr<server::RequestServer> server_;
  std::thread thread_;
  std::function<void()> pause_;
};

/// A server that the test starts, and its peers.
class ServerTest : public testing::Test {
 protected:
  TestServer server;
  FakePeers& peers = server.peers;
  ScriptedEngine& engine = server.peers.engine;
};

}  // namespace rainhook
