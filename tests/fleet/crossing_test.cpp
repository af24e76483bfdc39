/// @file
/// Tests of one server process in which two events cross, for example a request and the close of its
/// connection. The test pauses the process, queues both events and resumes the process.
#include <gtest/gtest.h>
#include <sys/resource.h>
#include <sys/stat.h>

#include <filesystem>
#include <fstream>
#include <iostream>

#include "fleet/process.h"
#include "support/test_server.h"
#include "test_doubles/fake_downstream.h"
#include "test_doubles/fake_engine.h"

namespace rainhook::fleet {
namespace {

using namespace std::chrono_literals;

std::string requestName(int number) { return fmt::format("{:016x}", 0xc000 + number); }

/// One server process, started from its command line, with a fake engine that executes each request for a
/// given time, or with peers that the test controls.
class ServerProcess {
 public:
  ServerProcess(int stopMs, int sockets, std::chrono::milliseconds work = 30ms)
      : engine_(std::make_unique<testDoubles::FakeEngine>(
            testDoubles::FakeEngine::Behavior{.workDuration = work})) {
    nlohmann::json settings = exampleSettings();
    settings["domain"]["below"] = "none", settings["domain"]["classCalls"] = {false, false};
    config_["agent"] = engine_->address();
    configureAndStart(stopMs, sockets, settings);
  }
  ServerProcess(std::unique_ptr<testDoubles::FakeEngine> engine, const std::string& downstream,
                const nlohmann::json& settings)
      : engine_(std::move(engine)) {
    config_["agent"] = engine_->address(), config_["backend"] = downstream;
    configureAndStart(3000, 256, settings);
  }
  ServerProcess(FakePeers& peers, int stopMs, int sockets,
                const nlohmann::json& settings = exampleSettings()) {
    setPeerAddresses(peers);
    configureAndStart(stopMs, sockets, settings);
  }
  ~ServerProcess() {
    process_.reset();
    if (testing::Test::HasFailure())
      std::cerr << "logs: " << folder_ << std::endl;
    else
      std::filesystem::remove_all(folder_);
  }
  /// Writes the current addresses of the peers to the configuration file. A running process does not read it
  /// before a reload.
  void setPeerAddresses(FakePeers& peers) {
    config_["agent"] = peers.engine.socket.address().toString();
    config_["backend"] = peers.downstreamSocket.address().toString();
    config_["roster"] = peers.registrySocket.address().toString();
    if (!folder_.empty()) write();
  }
  void start() {
    process_ = std::make_unique<Process>(
        std::vector<std::string>{RAINHOOK_PROGRAM, "serve", "--config", configurationFile()},
        folder_ + "/log");
  }
  /// Waits until the server answers a health check, at most `timeout`. Returns how long that took.
  std::chrono::milliseconds waitUntilHealthy(std::chrono::milliseconds timeout = 20s) {
    const auto from = std::chrono::steady_clock::now();
    while (std::chrono::steady_clock::now() - from < timeout) {
      try {
        auto connection = connectBalancer();
        connection.sendHealthCheck();
        if (connection.receiveResponse().kind == ResponseKind::healthy) break;
      } catch (const Poco::Exception&) {
        std::this_thread::sleep_for(5ms);
      }
    }
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - from);
  }
  FakeBalancer connectBalancer() {
    return FakeBalancer(Poco::Net::StreamSocket(Poco::Net::SocketAddress(address_)));
  }
  Process& process() { return *process_; }
  const testDoubles::FakeEngine& engine() const { return *engine_; }
  std::string configurationFile() const { return folder_ + "/config.json"; }
  std::string configurationText() const { return config_.dump(); }

 private:
  void configureAndStart(int stopMs, int sockets, const nlohmann::json& settings) {
    char name[] = "/tmp/rainhook-crossing-XXXXXX";
    folder_ = ::mkdtemp(name);
    auto listener = listenOnAnyPort();
    address_ = listener.address().toString();
    listener.close();
    config_["name"] = "n1", config_["listen"] = address_, config_["stop_ms"] = stopMs;
    config_["limits"] = {{"cores", 1.0}, {"memory_mb", 64}, {"sockets", sockets}};
    config_["settings"] = settings;
    write();
    start();
  }
  void write() const { std::ofstream(configurationFile()) << configurationText(); }

  std::unique_ptr<testDoubles::FakeEngine> engine_;
  nlohmann::json config_;
  std::string folder_, address_;
  std::unique_ptr<Process> process_;
};

/// Receives one response on each connection. Returns how many are responses to the request that was sent.
int countResponses(std::vector<FakeBalancer>& clients) {
  int count = 0;
  for (auto& client : clients) {
    Response response = client.receiveResponse();
    while (response.kind == ResponseKind::closing) response = client.receiveResponse();
    count += response.sequenceNumber == 1 && response.kind != ResponseKind::none;
  }
  return count;
}

/// Opens `count` connections and sends one request on each.
std::vector<FakeBalancer> sendRequestsOnNewConnections(ServerProcess& server, int count) {
  std::vector<FakeBalancer> out;
  for (int i = 0; i < count; ++i) {
    out.push_back(server.connectBalancer());
    out.back().sendRequest(1, FakeBalancer::requestFields(requestName(i)));
  }
  return out;
}

// Guards against lost requests when more connections arrive than the server may keep open: each connection
// contains a complete request when it is accepted, so none of them may be closed as idle.
TEST(CrossingEvents, AcceptedConnectionWithARequestIsNotClosedToAdmitAnother) {
  ServerProcess server(3000, 32);
  server.waitUntilHealthy();
  server.process().pause();
  auto clients = sendRequestsOnNewConnections(server, 24);
  server.process().resume();
  EXPECT_EQ(countResponses(clients), 24);
  for (const auto& [name, times] : server.engine().startCounts()) EXPECT_EQ(times, 1) << name;
}

// Guards against lost requests at a shutdown: when SIGTERM arrives, more connections wait in the listen
// backlog than the server accepts in one iteration of its event loop, each with a complete request.
TEST(CrossingEvents, RequestsInTheListenBacklogAreAnsweredBeforeTheListenerCloses) {
  ServerProcess server(650, 1024);
  server.waitUntilHealthy();
  server.process().pause();
  auto clients = sendRequestsOnNewConnections(server, 200);
  server.process().terminate();
  server.process().terminate();  // a second signal has no effect
  server.process().resume();
  EXPECT_EQ(countResponses(clients), 200);
  EXPECT_EQ(server.process().waitFor(5s), 0);
}

// Guards against a listener that stays open during a shutdown because clients keep connecting. It has to
// close well before the process exits, and every client that was accepted receives its response.
TEST(CrossingEvents, ListenerClosesDuringShutdownWhileClientsKeepConnecting) {
  using Clock = std::chrono::steady_clock;
  ServerProcess server(1600, 1024, 1ms);
  server.waitUntilHealthy();
  // This client never closes its connection, so that the process runs until the end of its shutdown period.
  auto idleClient = server.connectBalancer();
  server.process().terminate();
  std::vector<FakeBalancer> clients;
  const auto terminatedAt = Clock::now();
  auto refusedAt = terminatedAt;
  while (refusedAt == terminatedAt && Clock::now() - terminatedAt < 5s) try {
      clients.push_back(server.connectBalancer());
      clients.back().sendRequest(1,
                                 FakeBalancer::requestFields(requestName(static_cast<int>(clients.size()))));
      std::this_thread::sleep_for(2ms);  // several clients connect between two checks of the listener
    } catch (const Poco::Exception&) {
      refusedAt = Clock::now();
    }
  EXPECT_EQ(server.process().waitFor(5s), 0);
  EXPECT_GT(Clock::now() - refusedAt, 250ms);
  // The last client may have connected between the last accept and the close of the listener.
  EXPECT_GE(countResponses(clients), static_cast<int>(clients.size()) - 1);
}

// Guards against idle clients that are reset at a shutdown or that delay it. The clients keep their
// connections open, one of them in the middle of a frame; each receives `closing` and then the end of the
// stream without a reset. A request that arrives at that moment is answered or was never read.
TEST(CrossingEvents, IdleClientsAreClosedWithoutResetAndDoNotDelayTheShutdown) {
  ServerProcess server(1500, 256);
  server.waitUntilHealthy();
  std::vector<FakeBalancer> idleClients;
  for (int i = 0; i < 6; ++i) idleClients.push_back(server.connectBalancer());
  idleClients[0].sendRequest(1, FakeBalancer::requestFields(requestName(1)));
  EXPECT_EQ(idleClients[0].receiveResponse().kind, ResponseKind::completed);
  const auto message = FakeBalancer::encodeRequest(1, FakeBalancer::requestFields(requestName(2)), "x");
  idleClients[1].send(std::string_view(message).substr(0, message.size() / 2));
  const auto terminatedAt = std::chrono::steady_clock::now();
  server.process().terminate();
  EXPECT_EQ(server.process().waitFor(5s), 0);
  EXPECT_LT(std::chrono::steady_clock::now() - terminatedAt, 2500ms);
  for (auto& client : idleClients) {
    bool receivedClosing = false;
    for (Response response = client.receiveResponse(); response.kind != ResponseKind::none;
         response = client.receiveResponse())
      receivedClosing |= response.kind == ResponseKind::closing;
    EXPECT_TRUE(receivedClosing);
    EXPECT_FALSE(client.wasReset());
  }
}

// Guards against responses that are lost because the client is still sending when the server closes the
// connection. A close with unread input resets the connection and discards the responses that were not
// delivered.
TEST(CrossingEvents, ResponsesAreDeliveredWhileTheClientStillSends) {
  ServerProcess server(900, 256, 1ms);
  server.waitUntilHealthy();
  auto client = server.connectBalancer();
  for (int i = 1; i <= 20; ++i) client.sendRequest(i, FakeBalancer::requestFields(requestName(i)));
  server.process().terminate();
  // Sends a frame that is never complete, piece by piece until the server has ended its side.
  const std::string piece("\0\0\x10\0", 4);
  client.send(piece);
  int responses = 0;
  for (Response response = client.receiveResponse(); response.kind != ResponseKind::none;
       response = client.receiveResponse()) {
    responses += response.kind != ResponseKind::closing;
    try {
      client.send("x");
    } catch (const Poco::Exception&) {
    }
  }
  EXPECT_EQ(responses, 20);
  EXPECT_EQ(server.process().waitFor(5s), 0);
}

// Guards against a lost request when a client sends it on an idle connection that the server is about to
// close: the server has to execute it and keep the connection open.
TEST(CrossingEvents, RequestSentWhileItsIdleConnectionIsBeingClosedIsExecuted) {
  ServerProcess server(3000, 256);
  server.waitUntilHealthy();
  auto client = server.connectBalancer();
  const auto closing = client.receiveResponse();  // the client sent nothing for 2 s
  EXPECT_EQ(closing.kind, ResponseKind::closing);
  server.process().pause();  // well before the close, which follows 150 ms later
  const auto pausedAt = std::chrono::steady_clock::now();
  client.sendRequest(1, FakeBalancer::requestFields(requestName(1)));
  std::this_thread::sleep_until(pausedAt + 400ms);  // the close is overdue
  server.process().resume();
  const auto response = client.receiveResponse();
  EXPECT_EQ(response.kind, ResponseKind::completed);
  EXPECT_EQ(response.sequenceNumber, 1);
}

// Guards against a reset that discards responses in transit: after the server has ended its side of a
// connection, it keeps the socket until the client has ended its side too, so that bytes from the client
// cause no reset.
TEST(CrossingEvents, BytesFromTheClientCauseNoResetAfterTheServerEndedItsSide) {
  ServerProcess server(3000, 256);
  server.waitUntilHealthy();
  auto client = server.connectBalancer();
  while (client.receiveResponse().kind == ResponseKind::closing) {
  }
  EXPECT_FALSE(client.wasReset());  // the server has ended its side, the client has not
  for (int i = 0; i < 3; ++i) EXPECT_NO_THROW(client.send("x")) << i;
  // The server closes the socket at the latest after half a second.
  const auto reset = [&] {
    try {
      client.send("x");
      return false;
    } catch (const Poco::Exception&) {
      return true;
    }
  };
  const auto until = std::chrono::steady_clock::now() + 4s;
  while (!reset() && std::chrono::steady_clock::now() < until) std::this_thread::sleep_for(10ms);
  EXPECT_LT(std::chrono::steady_clock::now(), until);
}

// Guards against a SIGTERM that is lost or kills the program while it starts, before it has read its
// configuration. The server then listens, reports to the registry that it accepts no work, and shuts down
// with exit status 0. The configuration file is a pipe, so that the program blocks there while the signal is
// sent.
TEST(CrossingEvents, ShutdownSignalBeforeTheConfigurationIsReadIsHandled) {
  FakePeers peers;
  ServerProcess server(peers, 600, 256);
  server.process().kill();
  std::filesystem::remove(server.configurationFile());
  ASSERT_EQ(::mkfifo(server.configurationFile().c_str(), 0600), 0);
  server.start();
  int pipe = -1;
  for (const auto until = std::chrono::steady_clock::now() + 20s;
       pipe < 0 && std::chrono::steady_clock::now() < until;)
    if (pipe = ::open(server.configurationFile().c_str(), O_WRONLY | O_NONBLOCK); pipe < 0)
      std::this_thread::sleep_for(1ms);
  ASSERT_GE(pipe, 0);  // the program reads the configuration
  server.process().terminate();
  const auto text = server.configurationText();
  ASSERT_EQ(::write(pipe, text.data(), text.size()), static_cast<ssize_t>(text.size()));
  ::close(pipe);
  std::string lastReport;
  while (lastReport != R"({"duty":"off"})") {
    auto report = TestConnection::accept(peers.registrySocket);
    const auto request = report.receive(HttpRequest::parse);
    if (!report.isOpen()) break;
    if (request) lastReport = request->body;
  }
  EXPECT_EQ(lastReport, R"({"duty":"off"})");
  EXPECT_EQ(server.process().waitFor(5s), 0);
}

// Guards against a reload and a shutdown that interfere when both signals are pending at once and the reload
// changes the addresses of all peers. The last report to the new registry is that the server accepts no work,
// the new engine continues the execution, a request after the grace period is shed, and all requests are
// answered before the process exits.
TEST(CrossingEvents, ReloadAndShutdownInTheSameIterationAreBothCompleted) {
  FakePeers peers;
  ServerProcess server(peers, 2500, 256);
  peers.engine.acceptConnection();
  auto client = server.connectBalancer();
  client.sendRequest(1, FakeBalancer::requestFields(requestName(1)));
  EXPECT_EQ(peers.engine.nextStartedRequest(), requestName(1));
  server.process().pause();
  auto oldEngine = std::exchange(peers.engine.socket, listenOnAnyPort());
  auto oldRegistry = std::exchange(peers.registrySocket, listenOnAnyPort());
  server.setPeerAddresses(peers);
  ::kill(server.process().id(), SIGHUP);
  server.process().terminate();
  server.process().resume();
  peers.engine.acceptConnection();
  std::string last;
  for (int reports = 0; reports < 6;) {
    auto report = TestConnection::accept(peers.registrySocket);
    if (!report.isOpen()) break;
    const auto request = report.receive(HttpRequest::parse);
    if (!request) continue;  // the server replaced this report by a newer one
    last = request->body;
    reports += last == R"({"duty":"off"})";
    if (last == R"({"duty":"on"})") reports = 0;
    report.send("HTTP/1.1 204 No Content\r\n\r\n");
  }
  // The last of these reports follows SIGTERM by more than half a second and comes after the grace period.
  EXPECT_EQ(last, R"({"duty":"off"})");
  client.sendRequest(2, FakeBalancer::requestFields(requestName(2)));
  const auto lateResponse = client.receiveResponse();
  EXPECT_EQ(lateResponse.sequenceNumber, 2);
  EXPECT_EQ(lateResponse.kind, ResponseKind::shed);
  // The execution is requested again, because the old engine may not have read the request.
  EXPECT_EQ(peers.engine.nextStartedRequest(), requestName(1));
  peers.engine.endExecution(requestName(1));
  auto response = client.receiveResponse();
  while (response.kind == ResponseKind::closing) response = client.receiveResponse();
  EXPECT_EQ(response.sequenceNumber, 1);
  EXPECT_EQ(response.kind, ResponseKind::completed);
  EXPECT_EQ(server.process().waitFor(5s), 0);
}

// Guards against idle clients that use up the file descriptors of the process. While idle clients take every
// descriptor that they can get and the registry is unavailable, the server reconnects to the engine, makes
// downstream calls, reports to the registry once it is available again, and executes requests of other
// clients.
TEST(CrossingEvents, IdleClientsLeaveDescriptorsForAllOtherPeers) {
  constexpr int maxDescriptors = 32;
  FakePeers peers;
  auto settings = exampleSettings();
  settings["domain"]["below"] = "none";
  ServerProcess server(peers, 3000, maxDescriptors, settings);
  const rlimit limit{maxDescriptors, maxDescriptors};
  ASSERT_EQ(::prlimit(server.process().id(), RLIMIT_NOFILE, &limit, nullptr), 0);
  peers.engine.acceptConnection();
  server.waitUntilHealthy();
  const auto registryAddress = peers.registrySocket.address();
  peers.registrySocket.close();
  std::vector<FakeBalancer> idle;
  for (int i = 0; i < 3 * maxDescriptors; ++i) idle.push_back(server.connectBalancer());
  peers.engine.connection.close();
  peers.engine.acceptConnection();
  const auto client = [&](int number) {
    auto out = server.connectBalancer();
    out.sendRequest(1, FakeBalancer::requestFields(requestName(number)));
    EXPECT_EQ(peers.engine.nextStartedRequest(), requestName(number));
    return out;
  };
  auto first = client(1), second = client(2);
  std::vector<TestConnection> calls;
  for (int number = 1; number <= 2; ++number) {
    peers.engine.requestDownstreamCall(requestName(number), "please");
    calls.push_back(TestConnection::accept(peers.downstreamSocket));
    EXPECT_TRUE(calls.back().receive(HttpRequest::parse)) << number;
  }
  peers.registrySocket = Poco::Net::ServerSocket(registryAddress);
  auto report = TestConnection::accept(peers.registrySocket);
  EXPECT_TRUE(report.receive(HttpRequest::parse));
  for (auto& call : calls) call.send(httpResponse("200 OK", "reply"));
  for (int number = 1; number <= 2; ++number) EXPECT_EQ(peers.engine.nextCommand()["msg"], "deliver");
  for (int number = 1; number <= 2; ++number) peers.engine.endExecution(requestName(number));
  EXPECT_EQ(first.receiveResponse().kind, ResponseKind::completed);
  EXPECT_EQ(second.receiveResponse().kind, ResponseKind::completed);
}

// Guards against slow restarts: twenty servers are killed with requests in flight and open connections, and
// are started again immediately under the same names.
TEST(CrossingEvents, NineOfTenRestartedServersAreHealthyWithinTenSecondsAfterAKill) {
  std::vector<std::unique_ptr<ServerProcess>> fleet;
  for (int i = 0; i < 20; ++i) fleet.push_back(std::make_unique<ServerProcess>(3000, 64, 500ms));
  std::vector<FakeBalancer> connections;
  for (auto& server : fleet) {
    server->waitUntilHealthy();
    connections.push_back(server->connectBalancer());
    connections.back().sendRequest(1, FakeBalancer::requestFields(requestName(1)));
  }
  for (auto& server : fleet) server->process().kill(), server->start();
  int healthyCount = 0;
  std::chrono::milliseconds slowest{0};
  for (auto& server : fleet) {
    const auto startupTime = server->waitUntilHealthy();
    healthyCount += startupTime < 10s;
    slowest = std::max(slowest, startupTime);
  }
  EXPECT_GE(healthyCount, 18);
  std::cout << healthyCount
            << " of 20 servers healthy within 10 s; longest wait for the next healthy server: "
            << slowest.count() << " ms\n";
}

// Guards against too many concurrent executions on cold servers. Thirty servers start cold at once and
// receive far more requests than they can execute; the executions wait long for their downstream calls. The
// executions that a server starts, and with them its downstream calls, stay within the limit of its settings
// for cold servers. The check is exact for each server, and therefore for the sum, without a tolerance.
TEST(CrossingEvents, ThirtyColdServersStartNoMoreExecutionsThanTheirSettingsAllow) {
  constexpr double cores = 2, multiple = 8, coldFrom = 0.2;
  constexpr std::size_t size = 30;
  constexpr auto warmWithin = 4s, observedFor = 2s;
  nlohmann::json settings = exampleSettings();
  settings["invariants"]["fallMultiple"] = multiple, settings["invariants"]["coldFrom"] = coldFrom;
  settings["invariants"]["warmWithinNs"] = std::chrono::nanoseconds(warmWithin).count();
  const auto allowed = [&](std::chrono::duration<double> age) {
    return cores * (1 + (multiple - 1) * (coldFrom + (1 - coldFrom) * std::min(1.0, age / warmWithin)));
  };
  testDoubles::FakeDownstream downstream(10s);
  std::vector<std::unique_ptr<ServerProcess>> fleet;
  std::vector<FakeBalancer> clients;
  for (std::size_t i = 0; i < size; ++i) {
    fleet.push_back(std::make_unique<ServerProcess>(
        std::make_unique<testDoubles::FakeEngine>(testDoubles::FakeEngine::Behavior{
            .workDuration = 2ms, .callsDownstream = true, .startsCold = true}),
        downstream.address(), settings));
    fleet.back()->waitUntilHealthy();
    clients.push_back(fleet.back()->connectBalancer());
    for (int number = 1; number <= 30; ++number)
      clients.back().sendRequest(number, FakeBalancer::requestFields(requestName(number)));
  }
  // After this wait, the servers that started last have also been observed for the whole time.
  std::this_thread::sleep_for(observedFor);
  std::size_t startedSum = 0;
  double allowedSum = 0;
  for (const auto& server : fleet) {
    std::size_t startedByOne = 0;
    for (const auto& [age, running] : server->engine().concurrencyHistory()) {
      EXPECT_LE(static_cast<double>(running), allowed(age));
      if (age < observedFor) startedByOne = std::max(startedByOne, running);
    }
    startedSum += startedByOne, allowedSum += allowed(observedFor);
  }
  // The servers start more executions than they have cores, so the load is high enough to check the limit.
  EXPECT_GT(startedSum, size * static_cast<std::size_t>(cores));
  EXPECT_LE(static_cast<double>(startedSum), allowedSum);
  for (const double openCalls : downstream.averageOpenCalls()) EXPECT_LE(openCalls, allowedSum);
  std::cout << startedSum << " concurrent executions at most on " << size << " servers, limit " << allowedSum
            << "\n";
}

}  // namespace
}  // namespace rainhook::fleet
