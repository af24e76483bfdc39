// Crossings that need a process of the program: it is stopped, both events are queued, it is woken.
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

std::string reqName(int number) { return fmt::format("{:016x}", 0xc000 + number); }

// One server as a user starts it: with an engine that runs each req for a while, or with all peers in the
// test's hands.
class Program {
 public:
  Program(int stopMs, int sockets, std::chrono::milliseconds work = 30ms)
      : engine_(std::make_unique<testDoubles::FakeEngine>(
            testDoubles::FakeEngine::Behavior{.workDuration = work})) {
    nlohmann::json settings = exampleSettings();
    settings["domain"]["below"] = "none", settings["domain"]["classCalls"] = {false, false};
    config_["agent"] = engine_->address();
    begin(stopMs, sockets, settings);
  }
  Program(std::unique_ptr<testDoubles::FakeEngine> engine, const std::string& next,
          const nlohmann::json& settings)
      : engine_(std::move(engine)) {
    config_["agent"] = engine_->address(), config_["backend"] = next;
    begin(3000, 256, settings);
  }
  Program(FakePeers& peers, int stopMs, int sockets, const nlohmann::json& settings = exampleSettings()) {
    at(peers);
    begin(stopMs, sockets, settings);
  }
  ~Program() {
    process_.reset();
    if (testing::Test::HasFailure())
      std::cerr << "logs: " << folder_ << std::endl;
    else
      std::filesystem::remove_all(folder_);
  }
  // The peers' addresses as they are now; the file is not read before somebody says so.
  void at(FakePeers& peers) {
    config_["agent"] = peers.engine.socket.address().toString();
    config_["backend"] = peers.downstreamSocket.address().toString();
    config_["roster"] = peers.registrySocket.address().toString();
    if (!folder_.empty()) write();
  }
  void start() {
    process_ = std::make_unique<Process>(
        std::vector<std::string>{RAINHOOK_PROGRAM, "serve", "--config", file()}, folder_ + "/log");
  }
  // Waits until a health check is answered; how long that took.
  std::chrono::milliseconds ready(std::chrono::milliseconds most = 20s) {
    const auto from = std::chrono::steady_clock::now();
    while (std::chrono::steady_clock::now() - from < most) {
      try {
        auto line = balancer();
        line.sendHealthCheck();
        if (line.receiveResponse().kind == ResponseKind::healthy) break;
      } catch (const Poco::Exception&) {
        std::this_thread::sleep_for(5ms);
      }
    }
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - from);
  }
  FakeBalancer balancer() {
    return FakeBalancer(Poco::Net::StreamSocket(Poco::Net::SocketAddress(address_)));
  }
  Process& process() { return *process_; }
  const testDoubles::FakeEngine& engine() const { return *engine_; }
  std::string file() const { return folder_ + "/config.json"; }
  std::string text() const { return config_.dump(); }

 private:
  void begin(int stopMs, int sockets, const nlohmann::json& settings) {
    char name[] = "/tmp/rainhook-crossing-XXXXXX";
    folder_ = ::mkdtemp(name);
    auto any = listenOnAnyPort();
    address_ = any.address().toString();
    any.close();
    config_["name"] = "n1", config_["listen"] = address_, config_["stop_ms"] = stopMs;
    config_["limits"] = {{"cores", 1.0}, {"memory_mb", 64}, {"sockets", sockets}};
    config_["settings"] = settings;
    write();
    start();
  }
  void write() const { std::ofstream(file()) << text(); }

  std::unique_ptr<testDoubles::FakeEngine> engine_;
  nlohmann::json config_;
  std::string folder_, address_;
  std::unique_ptr<Process> process_;
};

// How many of these got one answer each, to the req they sent.
int answered(std::vector<FakeBalancer>& clients) {
  int out = 0;
  for (auto& client : clients) {
    Response answer = client.receiveResponse();
    while (answer.kind == ResponseKind::closing) answer = client.receiveResponse();
    out += answer.sequenceNumber == 1 && answer.kind != ResponseKind::none;
  }
  return out;
}

std::vector<FakeBalancer> asking(Program& w, int count) {
  std::vector<FakeBalancer> out;
  for (int i = 0; i < count; ++i) {
    out.push_back(w.balancer());
    out.back().sendRequest(1, FakeBalancer::requestFields(reqName(i)));
  }
  return out;
}

// More connections than there are places, each with a whole req in it when it is accepted: none of those
// accepted is taken for idle.
TEST(CrossingProgram, AReqInAConnectionThatWasJustAcceptedIsNotClosedForAnother) {
  Program w(3000, 32);
  w.ready();
  w.process().stop();
  auto clients = asking(w, 24);
  w.process().wake();
  EXPECT_EQ(answered(clients), 24);
  for (const auto& [name, times] : w.engine().startCounts()) EXPECT_EQ(times, 1) << name;
}

// The notice comes while more connections wait to be accepted than one turn takes, each with a whole req.
TEST(CrossingProgram, AllThatTheMachineAcceptedIsAnsweredBeforeTheListenerEnds) {
  Program w(650, 1024);
  w.ready();
  w.process().stop();
  auto clients = asking(w, 200);
  w.process().terminate();
  w.process().terminate();  // twice is once
  w.process().wake();
  EXPECT_EQ(answered(clients), 200);
  EXPECT_EQ(w.process().waitFor(5s), 0);
}

// Callers that come and come while the server leaves: its listener ends all the same, well before the stop,
// and every one that got in is answered.
TEST(CrossingProgram, AStreamOfNewCallersDoesNotKeepTheListenerOpen) {
  using Clock = std::chrono::steady_clock;
  Program w(1600, 1024, 1ms);
  w.ready();
  auto rests = w.balancer();  // and never goes, so that the process stays to its last moment
  w.process().terminate();
  std::vector<FakeBalancer> came;
  const auto told = Clock::now();
  auto refused = told;
  while (refused == told && Clock::now() - told < 5s) try {
      came.push_back(w.balancer());
      came.back().sendRequest(1, FakeBalancer::requestFields(reqName(static_cast<int>(came.size()))));
      std::this_thread::sleep_for(2ms);  // several come between two looks at the listener
    } catch (const Poco::Exception&) {
      refused = Clock::now();
    }
  EXPECT_EQ(w.process().waitFor(5s), 0);
  EXPECT_GT(Clock::now() - refused, 250ms);
  // The last one may have got in between the last look and the close.
  EXPECT_GE(answered(came), static_cast<int>(came.size()) - 1);
}

// Clients that rest until the server ends them, one of them within a frame: each hears `closing`, then an end
// and no reset, and the server leaves in time; a req in the moment of the end is answered or was never taken.
TEST(CrossingProgram, RestingClientsAreEndedInOrderAndTheDrainIsNotLateForThem) {
  Program w(1500, 256);
  w.ready();
  std::vector<FakeBalancer> rest;
  for (int i = 0; i < 6; ++i) rest.push_back(w.balancer());
  rest[0].sendRequest(1, FakeBalancer::requestFields(reqName(1)));
  EXPECT_EQ(rest[0].receiveResponse().kind, ResponseKind::completed);
  const auto message = FakeBalancer::encodeRequest(1, FakeBalancer::requestFields(reqName(2)), "x");
  rest[1].send(std::string_view(message).substr(0, message.size() / 2));
  const auto told = std::chrono::steady_clock::now();
  w.process().terminate();
  EXPECT_EQ(w.process().waitFor(5s), 0);
  EXPECT_LT(std::chrono::steady_clock::now() - told, 2500ms);
  for (auto& client : rest) {
    bool closing = false;
    for (Response answer = client.receiveResponse(); answer.kind != ResponseKind::none;
         answer = client.receiveResponse())
      closing |= answer.kind == ResponseKind::closing;
    EXPECT_TRUE(closing);
    EXPECT_FALSE(client.wasReset());
  }
}

// What a client sends while it does not read its answers lies unread when the server ends: a close over it
// would take the answers with it.
TEST(CrossingProgram, AnswersUnderWayOutliveWhatTheClientStillSends) {
  Program w(900, 256, 1ms);
  w.ready();
  auto client = w.balancer();
  for (int i = 1; i <= 20; ++i) client.sendRequest(i, FakeBalancer::requestFields(reqName(i)));
  w.process().terminate();
  // A frame that never becomes whole, in pieces until the server has ended its side.
  const std::string piece("\0\0\x10\0", 4);
  client.send(piece);
  int answers = 0;
  for (Response answer = client.receiveResponse(); answer.kind != ResponseKind::none;
       answer = client.receiveResponse()) {
    answers += answer.kind != ResponseKind::closing;
    try {
      client.send("x");
    } catch (const Poco::Exception&) {
    }
  }
  EXPECT_EQ(answers, 20);
  EXPECT_EQ(w.process().waitFor(5s), 0);
}

// A req on a connection that rests, sent in the moment in which the server ends it: it is served, and the
// connection goes on.
TEST(CrossingProgram, AReqInTheMomentOfTheEndOfARestingConnectionIsServed) {
  Program w(3000, 256);
  w.ready();
  auto client = w.balancer();
  const auto closing = client.receiveResponse();  // it never said anything for 2 s
  EXPECT_EQ(closing.kind, ResponseKind::closing);
  w.process().stop();  // well before the end, which comes 150 ms later
  const auto stopped = std::chrono::steady_clock::now();
  client.sendRequest(1, FakeBalancer::requestFields(reqName(1)));
  std::this_thread::sleep_until(stopped + 400ms);  // the end is overdue
  w.process().wake();
  const auto answer = client.receiveResponse();
  EXPECT_EQ(answer.kind, ResponseKind::completed);
  EXPECT_EQ(answer.sequenceNumber, 1);
}

// The socket goes only once its peer has ended its side too: what that still sends meets no reset, which
// would take with it whatever of our answers is still under way.
TEST(CrossingProgram, WhatComesAfterOurEndMeetsNoReset) {
  Program w(3000, 256);
  w.ready();
  auto client = w.balancer();
  while (client.receiveResponse().kind == ResponseKind::closing) {
  }
  EXPECT_FALSE(client.wasReset());  // our side has ended, the client's has not
  for (int i = 0; i < 3; ++i) EXPECT_NO_THROW(client.send("x")) << i;
  // Nor is it waited for beyond half a second.
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

// The notice to leave that comes while the program starts, before it has read its file: it listens, says that
// it takes no work, and leaves in good order. The file is a pipe, so that the moment is held.
TEST(CrossingProgram, ANoticeBeforeTheServerStandsIsHeard) {
  FakePeers peers;
  Program w(peers, 600, 256);
  w.process().kill();
  std::filesystem::remove(w.file());
  ASSERT_EQ(::mkfifo(w.file().c_str(), 0600), 0);
  w.start();
  int pipe = -1;
  for (const auto until = std::chrono::steady_clock::now() + 20s;
       pipe < 0 && std::chrono::steady_clock::now() < until;)
    if (pipe = ::open(w.file().c_str(), O_WRONLY | O_NONBLOCK); pipe < 0) std::this_thread::sleep_for(1ms);
  ASSERT_GE(pipe, 0);  // it reads
  w.process().terminate();
  const auto text = w.text();
  ASSERT_EQ(::write(pipe, text.data(), text.size()), static_cast<ssize_t>(text.size()));
  ::close(pipe);
  std::string said;
  while (said != R"({"duty":"off"})") {
    auto report = TestConnection::accept(peers.registrySocket);
    const auto asked = report.receive(HttpRequest::parse);
    if (!report.isOpen()) break;
    if (asked) said = asked->body;
  }
  EXPECT_EQ(said, R"({"duty":"off"})");
  EXPECT_EQ(w.process().waitFor(5s), 0);
}

// A reload that moves all peers and the notice to leave, both there when the process wakes: the new list
// hears of the leaving last, the new engine goes on with the run, what came after the grace does not run, and
// all is answered before the end.
TEST(CrossingProgram, AReloadAndTheNoticeInOneTurn) {
  FakePeers peers;
  Program w(peers, 2500, 256);
  peers.engine.acceptConnection();
  auto client = w.balancer();
  client.sendRequest(1, FakeBalancer::requestFields(reqName(1)));
  EXPECT_EQ(peers.engine.nextStartedRequest(), reqName(1));
  w.process().stop();
  auto engineWas = std::exchange(peers.engine.socket, listenOnAnyPort());
  auto listWas = std::exchange(peers.registrySocket, listenOnAnyPort());
  w.at(peers);
  ::kill(w.process().id(), SIGHUP);
  w.process().terminate();
  w.process().wake();
  peers.engine.acceptConnection();
  std::string last;
  for (int reports = 0; reports < 6;) {
    auto report = TestConnection::accept(peers.registrySocket);
    if (!report.isOpen()) break;
    const auto asked = report.receive(HttpRequest::parse);
    if (!asked) continue;  // taken back for the newer one
    last = asked->body;
    reports += last == R"({"duty":"off"})";
    if (last == R"({"duty":"on"})") reports = 0;
    report.send("HTTP/1.1 204 No Content\r\n\r\n");
  }
  EXPECT_EQ(last, R"({"duty":"off"})");  // more than half a second after the notice, and past the grace
  client.sendRequest(2, FakeBalancer::requestFields(reqName(2)));
  const auto late = client.receiveResponse();
  EXPECT_EQ(late.sequenceNumber, 2);
  EXPECT_EQ(late.kind, ResponseKind::shed);
  EXPECT_EQ(peers.engine.nextStartedRequest(), reqName(1));  // said again: it may not have been read
  peers.engine.endExecution(reqName(1));
  auto answer = client.receiveResponse();
  while (answer.kind == ResponseKind::closing) answer = client.receiveResponse();
  EXPECT_EQ(answer.sequenceNumber, 1);
  EXPECT_EQ(answer.kind, ResponseKind::completed);
  EXPECT_EQ(w.process().waitFor(5s), 0);
}

// All descriptors that the process may have, idle callers wherever they get in, and the list away: the link
// to the engine is made again, calls are made, the list hears of the server when it is back, and a caller
// that asks is served.
TEST(CrossingProgram, IdleCallersLeaveRoomForEveryOtherPeer) {
  constexpr int most = 32;
  FakePeers peers;
  auto settings = exampleSettings();
  settings["domain"]["below"] = "none";
  Program w(peers, 3000, most, settings);
  const rlimit limit{most, most};
  ASSERT_EQ(::prlimit(w.process().id(), RLIMIT_NOFILE, &limit, nullptr), 0);
  peers.engine.acceptConnection();
  w.ready();
  const auto listWas = peers.registrySocket.address();
  peers.registrySocket.close();
  std::vector<FakeBalancer> idle;
  for (int i = 0; i < 3 * most; ++i) idle.push_back(w.balancer());
  peers.engine.connection.close();
  peers.engine.acceptConnection();
  const auto client = [&](int number) {
    auto out = w.balancer();
    out.sendRequest(1, FakeBalancer::requestFields(reqName(number)));
    EXPECT_EQ(peers.engine.nextStartedRequest(), reqName(number));
    return out;
  };
  auto first = client(1), second = client(2);
  std::vector<TestConnection> calls;
  for (int number = 1; number <= 2; ++number) {
    peers.engine.requestDownstreamCall(reqName(number), "please");
    calls.push_back(TestConnection::accept(peers.downstreamSocket));
    EXPECT_TRUE(calls.back().receive(HttpRequest::parse)) << number;
  }
  peers.registrySocket = Poco::Net::ServerSocket(listWas);
  auto report = TestConnection::accept(peers.registrySocket);
  EXPECT_TRUE(report.receive(HttpRequest::parse));
  for (auto& call : calls) call.send(httpResponse("200 OK", "reply"));
  for (int number = 1; number <= 2; ++number) EXPECT_EQ(peers.engine.nextCommand()["msg"], "deliver");
  for (int number = 1; number <= 2; ++number) peers.engine.endExecution(reqName(number));
  EXPECT_EQ(first.receiveResponse().kind, ResponseKind::completed);
  EXPECT_EQ(second.receiveResponse().kind, ResponseKind::completed);
}

// Killed with reqs in flight and the old process's connections open, and started at once under its name.
TEST(CrossingProgram, NineInTenOfTwentyKilledAndStartedAgainAreReadyWithinTenSeconds) {
  std::vector<std::unique_ptr<Program>> fleet;
  for (int i = 0; i < 20; ++i) fleet.push_back(std::make_unique<Program>(3000, 64, 500ms));
  std::vector<FakeBalancer> open;
  for (auto& program : fleet) {
    program->ready();
    open.push_back(program->balancer());
    open.back().sendRequest(1, FakeBalancer::requestFields(reqName(1)));
  }
  for (auto& program : fleet) program->process().kill(), program->start();
  int ready = 0;
  std::chrono::milliseconds slowest{0};
  for (auto& program : fleet) {
    const auto took = program->ready();
    ready += took < 10s;
    slowest = std::max(slowest, took);
  }
  EXPECT_GE(ready, 18);
  std::cout << ready << " of 20 ready, the slowest " << slowest.count() << " ms after the one before\n";
}

// Thirty servers that started cold at once, each asked for far more than it can do, with runs that wait long
// at their calls: what they have begun, and what they call below with it, stays below what the settings allow
// cold servers, for each and so for the sum, with none of it put down to chance.
TEST(CrossingProgram, ThirtyColdServersBeginNoMoreThanTheSettingsAllowEach) {
  constexpr double cores = 2, multiple = 8, coldFrom = 0.2;
  constexpr std::size_t size = 30;
  constexpr auto warmWithin = 4s, watched = 2s;
  nlohmann::json settings = exampleSettings();
  settings["invariants"]["fallMultiple"] = multiple, settings["invariants"]["coldFrom"] = coldFrom;
  settings["invariants"]["warmWithinNs"] = std::chrono::nanoseconds(warmWithin).count();
  const auto allowed = [&](std::chrono::duration<double> age) {
    return cores * (1 + (multiple - 1) * (coldFrom + (1 - coldFrom) * std::min(1.0, age / warmWithin)));
  };
  testDoubles::FakeDownstream next(10s);
  std::vector<std::unique_ptr<Program>> fleet;
  std::vector<FakeBalancer> callers;
  for (std::size_t i = 0; i < size; ++i) {
    fleet.push_back(
        std::make_unique<Program>(std::make_unique<testDoubles::FakeEngine>(testDoubles::FakeEngine::Behavior{
                                      .workDuration = 2ms, .callsDownstream = true, .startsCold = true}),
                                  next.address(), settings));
    fleet.back()->ready();
    callers.push_back(fleet.back()->balancer());
    for (int number = 1; number <= 30; ++number)
      callers.back().sendRequest(number, FakeBalancer::requestFields(reqName(number)));
  }
  // Those that started last have been watched long enough, too.
  std::this_thread::sleep_for(watched);
  std::size_t begun = 0;
  double allowedInAll = 0;
  for (const auto& program : fleet) {
    std::size_t here = 0;
    for (const auto& [age, running] : program->engine().concurrencyHistory()) {
      EXPECT_LE(static_cast<double>(running), allowed(age));
      if (age < watched) here = std::max(here, running);
    }
    begun += here, allowedInAll += allowed(watched);
  }
  EXPECT_GT(begun, size * static_cast<std::size_t>(cores));  // it is no empty promise
  EXPECT_LE(static_cast<double>(begun), allowedInAll);
  for (const double inHand : next.averageOpenCalls()) EXPECT_LE(inHand, allowedInAll);
  std::cout << begun << " begun at most by " << size << " servers, " << allowedInAll << " allowed\n";
}

}  // namespace
}  // namespace rainhook::fleet
