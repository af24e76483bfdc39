#include <gtest/gtest.h>

#include "support/test_server.h"

namespace rainhook {
namespace {

using namespace std::chrono_literals;

class ServerReload : public ServerTest {};

// Guards against lost executions, notifications or downstream calls when a reload changes the peers'
// addresses. Open downstream calls end on their existing connections.
TEST_F(ServerReload, LosesNothingWhenPeersChangeAddressUnderLoad) {
  server.start();
  auto report = TestConnection::accept(peers.registrySocket);
  ASSERT_TRUE(report.receive(HttpRequest::parse));
  auto client = server.connectBalancer();
  client.sendRequest(1, FakeBalancer::requestFields(requestA));
  EXPECT_EQ(engine.nextStartedRequest(), requestA);
  client.sendRequest(2, FakeBalancer::requestFields(requestB));
  EXPECT_EQ(engine.nextStartedRequest(), requestB);
  engine.requestDownstreamCall(requestA, "please");
  auto downstream = TestConnection::accept(peers.downstreamSocket);
  ASSERT_TRUE(downstream.receive(HttpRequest::parse));
  for (auto* socket : {&engine.socket, &peers.downstreamSocket, &peers.registrySocket})
    *socket = listenOnAnyPort();
  server.reload();
  server.reload();  // a second reload before the first has taken effect
  auto old = std::exchange(engine.connection, {});
  EXPECT_EQ(engine.acceptConnection(), 1u);
  EXPECT_TRUE(old.waitUntilClosed());
  report = TestConnection::accept(peers.registrySocket);
  EXPECT_TRUE(report.receive(HttpRequest::parse));
  downstream.send(httpResponse("200 OK", "reply"));
  auto command = engine.nextCommand();  // skips repeated starts, which do not execute a request twice
  while (command["msg"] == "launch") command = engine.nextCommand();
  EXPECT_EQ(command["msg"], "deliver");
  EXPECT_EQ(command["call"], requestA);
  engine.requestDownstreamCall(requestB, "please");
  downstream = TestConnection::accept(peers.downstreamSocket);
  ASSERT_TRUE(downstream.receive(HttpRequest::parse));
  downstream.send(httpResponse("200 OK", "reply"));
  EXPECT_EQ(engine.nextCommand()["call"], requestB);
  engine.endExecution(requestA);
  engine.endExecution(requestB);
  EXPECT_EQ(client.receiveResponse().sequenceNumber, 1);
  EXPECT_EQ(client.receiveResponse().sequenceNumber, 2);
}

TEST_F(ServerReload, ChangesNothingWhenFileCannotBeRead) {
  server.start();
  server.configurationFile = "no such file";
  engine.socket = listenOnAnyPort();
  server.reload();
  auto client = server.connectBalancer();
  client.sendRequest(1, FakeBalancer::requestFields(requestA));
  EXPECT_EQ(engine.nextStartedRequest(), requestA);
}

TEST_F(ServerReload, ChangesEngineAddressWhenEngineIsNotConnectedOrShutdownIsInProgress) {
  server.startWithoutEngine();
  engine.socket = listenOnAnyPort();
  server.reload();
  EXPECT_EQ(engine.acceptConnection("cold"), 0u);
  auto client = server.connectBalancer();
  client.sendRequest(1, FakeBalancer::requestFields(requestA));
  EXPECT_EQ(engine.nextStartedRequest(), requestA);
  server.requestShutdown();
  engine.socket = listenOnAnyPort();
  server.reload();
  EXPECT_EQ(engine.acceptConnection(), 0u);
  engine.endExecution(requestA);
  auto response = client.receiveResponse();
  while (response.kind == ResponseKind::closing) response = client.receiveResponse();
  EXPECT_EQ(response.kind, ResponseKind::completed);
}

}  // namespace
}  // namespace rainhook
