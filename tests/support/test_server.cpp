#include "support/test_server.h"

#include <signal.h>
#include <unistd.h>

#include <chrono>
#include <future>
#include <utility>

namespace rainhook {

using namespace std::chrono_literals;

nlohmann::json exampleSettings() {
  return nlohmann::json::parse(R"({"classes": [
        {"name": "read", "aimNs": 1800000000, "hardLimitNs": 4500000000, "effect": "free"},
        {"name": "pay", "aimNs": 1800000000, "hardLimitNs": 4500000000, "effect": "guarded",
         "windowNs": 5000000000}],
      "orgs": [{"name": "acme"}, {"name": "other"}], "servers": 3,
      "domain": {"cores": 2, "memoryKb": 50000.0, "runFactor": 4.0, "keyKb": 1.0, "passesDeadline": true,
                 "below": "tier", "classCalls": [true, true], "freshNs": 2000000000, "signal": "weight",
                 "gauges": ["cpu_busy", "runnable", "mem_used", "sockets"]},
      "invariants": {"stopSendingWithinNs": 300000000, "fallMultiple": 8.0},
      "limits": {"retryAfter": true, "maxRetryAfterNs": 1000000000}})");
}

TestServer::TestServer() {
  endpoints.name = "n3";
  endpoints.listen = "127.0.0.1:0";
  endpoints.shutdownTimeout = 1200ms;
  endpoints.maxDescriptors = 1024;
  endpoints.memoryMb = 192;
}

void TestServer::setPeerAddresses() {
  endpoints.engine = peers.engine.socket.address().toString();
  endpoints.downstream = peers.downstreamSocket.address().toString();
  endpoints.registry = peers.registrySocket.address().toString();
}

void TestServer::startWithoutEngine() {
  setPeerAddresses();
  server_ = std::make_unique<server::RequestServer>(
      reactor_, log_,
      ServerConfiguration{endpoints, readDeploymentSettings(flattenSettingsJson(settings)), {}});
  reactor_.onSignals({SIGTERM, SIGHUP, SIGUSR1}, [this](int signal) { onSignal(signal); });
  server_->open();
  thread_ = std::thread([this] { reactor_.run(); });
}

void TestServer::start() {
  startWithoutEngine();
  peers.engine.acceptConnection();
}

void TestServer::onSignal(int signal) {
  if (signal == SIGUSR1)
    std::exchange(pause_, {})();
  else if (signal != SIGHUP)
    server_->shutDownGracefully();
  else if (configurationFile.empty())
    server_->reload({endpoints, {}, {}});
  else
    server_->reloadFile(configurationFile);
}

void TestServer::whilePaused(const std::function<void()>& meanwhile) {
  struct Pause {
    std::promise<void> began;
    std::promise<void> ended;
  };
  // Shared, because the event loop may still use it when this function has returned.
  const auto pause = std::make_shared<Pause>();
  pause_ = [pause] {
    pause->began.set_value();
    pause->ended.get_future().wait();
  };
  ::kill(::getpid(), SIGUSR1);
  pause->began.get_future().wait();
  meanwhile();
  pause->ended.set_value();
}

void TestServer::reload() {
  setPeerAddresses();
  ::kill(::getpid(), SIGHUP);
  std::this_thread::sleep_for(20ms);
}

void TestServer::requestShutdown() { ::kill(::getpid(), SIGTERM); }

void TestServer::stop() {
  stopEventLoop();
  server_.reset();
}

void TestServer::stopEventLoop() {
  reactor_.stop();
  reactor_.wakeUp();
  if (thread_.joinable()) thread_.join();
}

server::InFlightCounts TestServer::stopAndCountInFlight() {
  std::this_thread::sleep_for(100ms);
  stopEventLoop();
  return server_->inFlightCounts();
}

std::uint64_t TestServer::stopAndCountConnectionsScanned() {
  stopEventLoop();
  return server_->connectionsScanned();
}

}  // namespace rainhook
