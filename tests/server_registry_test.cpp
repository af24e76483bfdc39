#include <gtest/gtest.h>

#include "support/test_server.h"

namespace rainhook {
namespace {

using namespace std::chrono_literals;

class ServerRegistry : public ServerTest {};

TEST_F(ServerRegistry, GetsReportsAtOnceAgainAndAfterItWasGone) {
  server.start();
  TestConnection report;
  for (int i = 0; i < 2; ++i) {
    report = TestConnection::accept(peers.registrySocket);
    const auto request = report.receive(HttpRequest::parse);
    ASSERT_TRUE(request);
    EXPECT_TRUE(request->head.starts_with("PUT /roster/n3 HTTP/1.1\r\n"));
    EXPECT_EQ(request->body, R"({"duty":"on"})");
    if (i == 0) report.send("HTTP/1.1 204 No Content\r\n\r\n");
  }
  report.closeWithReset();
  report = TestConnection::accept(peers.registrySocket);
  ASSERT_TRUE(report.receive(HttpRequest::parse));
  report.send("nonsense, nonsense\r\n");
  report = TestConnection::accept(peers.registrySocket);
  EXPECT_TRUE(report.receive(HttpRequest::parse));
}

// A registry that answers late or never still gets reports well within the 3 s for which they hold.
TEST_F(ServerRegistry, GetsReportsInTimeWhenItAnswersSlowly) {
  server.start();
  std::vector<TestConnection> reports;  // none is answered, and none is closed early
  const auto began = std::chrono::steady_clock::now();
  for (int i = 0; i < 3; ++i) {
    reports.push_back(TestConnection::accept(peers.registrySocket));
    ASSERT_TRUE(reports.back().receive(HttpRequest::parse));
  }
  EXPECT_LT(std::chrono::steady_clock::now() - began, 1900ms);
  reports.front().send("HTTP/1.1 204 No Content\r\n\r\n");
  EXPECT_TRUE(reports.front().waitUntilClosed());
}

// An earlier report may be counted after the newer one, so a changed state is reported again soon.
TEST_F(ServerRegistry, GetsChangedStateAgainSoon) {
  server.start();
  const auto report = [&] {
    auto at = TestConnection::accept(peers.registrySocket);
    const auto request = at.receive(HttpRequest::parse);
    at.send("HTTP/1.1 204 No Content\r\n\r\n");
    return request ? request->body : std::string();
  };
  EXPECT_EQ(report(), R"({"duty":"on"})");
  server.requestShutdown();
  std::string lastState;
  while (lastState != R"({"duty":"off"})") lastState = report();
  EXPECT_EQ(report(), R"({"duty":"off"})");  // before it ends, half a second after the signal
  server.waitForEnd();
}

// A registry that accepts connections and never answers: the number of open ones stays bounded.
TEST_F(ServerRegistry, GetsBoundedConnectionsWhenItNeverAnswers) {
  server.start();
  std::vector<TestConnection> reports;
  for (int i = 0; i < 5; ++i) {
    reports.push_back(TestConnection::accept(peers.registrySocket));
    ASSERT_TRUE(reports.back().receive(HttpRequest::parse));
  }
  // The first times out after 2.5 s; until then there is no sixth.
  reports.push_back(TestConnection::accept(peers.registrySocket));
  ASSERT_TRUE(reports.back().receive(HttpRequest::parse));
  reports.front().socket().setBlocking(false);
  char none = 0;
  EXPECT_EQ(reports.front().socket().receiveBytes(&none, 1), 0);  // closed; an open one would throw
}

// Three hundred servers that start at once and lose the registry at once must not reconnect in step.
TEST(ServerRegistryReports, AreSpreadOverTheirIntervalForThreeHundredServers) {
  net::Reactor reactor;
  net::BufferPool pool;
  logging::Log log;
  Poco::Net::ServerSocket registrySocket(Poco::Net::SocketAddress("127.0.0.1", 0),
                                         512);  // a backlog for all at once
  std::vector<std::unique_ptr<peers::RegistryClient>> fleet;
  constexpr std::size_t size = 300;
  for (std::size_t i = 0; i < size; ++i)
    fleet.push_back(std::make_unique<peers::RegistryClient>(reactor, pool, log, registrySocket.address(),
                                                            "n" + std::to_string(i), i));
  std::vector<std::chrono::steady_clock::time_point> acceptedAt;
  net::Reactor::Timer pollTimer;
  const std::function<void()> acceptAll = [&] {
    for (; registrySocket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ);
         registrySocket.acceptConnection().close())
      acceptedAt.push_back(
          std::chrono::steady_clock::now());  // closed at once: the client retries within 250 ms
    acceptedAt.size() < 4 * size ? void(pollTimer = reactor.after(1ms, acceptAll)) : reactor.stop();
  };
  acceptAll();
  for (const auto& client : fleet) client->setInService(true);
  reactor.run();
  // The middle 80 % of the fourth round; three times 62 ms of jitter lie behind them.
  EXPECT_GT(acceptedAt[3 * size + size * 9 / 10] - acceptedAt[3 * size + size / 10], 40ms);
  fleet.clear();
  reactor.releaseRetired();
}

}  // namespace
}  // namespace rainhook
