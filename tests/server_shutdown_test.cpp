#include <gtest/gtest.h>

#include "support/test_server.h"

namespace rainhook {
namespace {

using namespace std::chrono_literals;

class ServerShutdown : public ServerTest {};

// Guards against requests that are lost in a shutdown: requests in flight are completed. Requests that arrive
// after the grace period (`stopSendingWithinNs`), in which clients stop sending, are shed.
TEST_F(ServerShutdown, AnswersAllRequestsAndStartsNoneWhenGracePeriodHasEnded) {
  server.start();
  auto report = TestConnection::accept(peers.registrySocket);
  ASSERT_TRUE(report.receive(HttpRequest::parse));
  report.send("HTTP/1.1 204 No Content\r\n\r\n");
  auto client = server.connectBalancer();
  client.sendRequest(1, FakeBalancer::requestFields(requestA));
  EXPECT_EQ(engine.nextStartedRequest(), requestA);
  const auto shutdownAt = std::chrono::steady_clock::now();
  server.requestShutdown();
  report = TestConnection::accept(peers.registrySocket);
  const auto request = report.receive(HttpRequest::parse);
  ASSERT_TRUE(request);
  EXPECT_EQ(request->body, R"({"duty":"off"})");
  client.sendHealthCheck();
  EXPECT_EQ(client.receiveResponse().kind, ResponseKind::unhealthy);
  std::this_thread::sleep_until(shutdownAt + 400ms);  // after the grace period of 300 ms
  client.sendRequest(2, FakeBalancer::requestFields(requestB));
  EXPECT_EQ(client.receiveResponse().kind, ResponseKind::shed);
  EXPECT_EQ(client.receiveResponse().kind, ResponseKind::closing);
  engine.endExecution(requestA);
  EXPECT_EQ(client.receiveResponse().kind, ResponseKind::completed);
  client.close();
  server.waitUntilStopped();
  EXPECT_LT(std::chrono::steady_clock::now() - shutdownAt, server.endpoints.shutdownTimeout);
}

// Guards against a shutdown that ends without a response to a request whose execution does not end in time.
TEST_F(ServerShutdown, AnswersRequestBeforeItsTimeoutWhenExecutionDoesNotEnd) {
  server.start();
  auto client = server.connectBalancer();
  client.sendRequest(1, FakeBalancer::requestFields(requestA));
  EXPECT_EQ(engine.nextStartedRequest(), requestA);
  const auto shutdownAt = std::chrono::steady_clock::now();
  server.requestShutdown();
  EXPECT_EQ(client.receiveResponse().kind, ResponseKind::closing);
  EXPECT_EQ(client.receiveResponse().kind, ResponseKind::shed);
  server.waitUntilStopped();
  EXPECT_LT(std::chrono::steady_clock::now() - shutdownAt, server.endpoints.shutdownTimeout);
}

}  // namespace
}  // namespace rainhook
