#include <gtest/gtest.h>

#include "support/test_server.h"

namespace rainhook {
namespace {

using namespace std::chrono_literals;

class ServerRegistry : public ServerTest {};

// Guards against missing reports: the first is sent immediately, further ones follow periodically, and they
// continue after a lost connection or an invalid response.
TEST_F(ServerRegistry, GetsReportsAgainWhenConnectionOrResponseFails) {
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

// A report is valid for 3 s. Guards against a server that waits for a late or missing response and lets its
// last report expire.
TEST_F(ServerRegistry, GetsReportsInTimeWhenItRespondsSlowly) {
  server.start();
  std::vector<TestConnection> reports;  // none gets a response during the loop, and none is closed early
  const auto startedAt = std::chrono::steady_clock::now();
  for (int i = 0; i < 3; ++i) {
    reports.push_back(TestConnection::accept(peers.registrySocket));
    ASSERT_TRUE(reports.back().receive(HttpRequest::parse));
  }
  EXPECT_LT(std::chrono::steady_clock::now() - startedAt, 1900ms);
  reports.front().send("HTTP/1.1 204 No Content\r\n\r\n");
  EXPECT_TRUE(reports.front().waitUntilClosed());
}

// The registry may process an older report after a newer one. Guards against an outdated state that stays at
// the registry: a changed state is reported again after a short interval.
TEST_F(ServerRegistry, GetsStateTwiceWhenStateChanges) {
  server.start();
  const auto receiveReport = [&] {
    auto connection = TestConnection::accept(peers.registrySocket);
    const auto request = connection.receive(HttpRequest::parse);
    connection.send("HTTP/1.1 204 No Content\r\n\r\n");
    return request ? request->body : std::string();
  };
  EXPECT_EQ(receiveReport(), R"({"duty":"on"})");
  server.requestShutdown();
  std::string lastState;
  while (lastState != R"({"duty":"off"})") lastState = receiveReport();
  EXPECT_EQ(receiveReport(), R"({"duty":"off"})");  // before the server stops, half a second after the signal
  server.waitUntilStopped();
}

// Guards against exhausted descriptors: the number of open reports is bounded if the registry accepts
// connections but never responds.
TEST_F(ServerRegistry, GetsBoundedConnectionsWhenItNeverResponds) {
  server.start();
  std::vector<TestConnection> reports;
  for (int i = 0; i < 5; ++i) {
    reports.push_back(TestConnection::accept(peers.registrySocket));
    ASSERT_TRUE(reports.back().receive(HttpRequest::parse));
  }
  // The sixth report is not sent until the first one times out after 2.5 s.
  reports.push_back(TestConnection::accept(peers.registrySocket));
  ASSERT_TRUE(reports.back().receive(HttpRequest::parse));
  reports.front().socket().setBlocking(false);
  char none = 0;
  EXPECT_EQ(reports.front().socket().receiveBytes(&none, 1), 0);  // closed; an open socket would throw
}

// Guards against load peaks at the registry: three hundred servers that start at the same time and lose the
// registry at the same time must not reconnect at the same time.
TEST(ServerRegistryReports, AreSpreadOverTheirIntervalWhenManyServersReconnect) {
  net::Reactor reactor;
  net::BufferPool pool;
  logging::Log log;
  Poco::Net::ServerSocket registrySocket(Poco::Net::SocketAddress("127.0.0.1", 0),
                                         512);  // a backlog for all servers at the same time
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
          std::chrono::steady_clock::now());  // closed immediately, so that the client retries within 250 ms
    acceptedAt.size() < 4 * size ? void(pollTimer = reactor.after(1ms, acceptAll)) : reactor.stop();
  };
  acceptAll();
  for (const auto& client : fleet) client->setInService(true);
  reactor.run();
  // The middle 80 % of the fourth round of connections, after three rounds with 62 ms of jitter each.
  EXPECT_GT(acceptedAt[3 * size + size * 9 / 10] - acceptedAt[3 * size + size / 10], 40ms);
  fleet.clear();
  reactor.releaseRetired();
}

}  // namespace
}  // namespace rainhook
