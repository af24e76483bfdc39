#include <gtest/gtest.h>

#include "codec/json_lines.h"
#include "support/test_server.h"

namespace rainhook {
namespace {

using namespace std::chrono_literals;

class ServerEngineConnection : public ServerTest {};

// Guards against lost commands and duplicate responses after the connection to the engine breaks.
TEST_F(ServerEngineConnection, LosesNoCommandAndCausesNoSecondResponseWhenItBreaks) {
  server.start();
  auto client = server.connectBalancer();
  client.sendRequest(1, FakeBalancer::requestFields(requestA));
  EXPECT_EQ(engine.nextStartedRequest(), requestA);
  engine.endExecution(requestA);
  EXPECT_EQ(client.receiveResponse().kind, ResponseKind::completed);
  client.sendRequest(2, FakeBalancer::requestFields(requestB));
  EXPECT_EQ(engine.nextStartedRequest(), requestB);
  engine.connection.closeWithReset();
  EXPECT_EQ(engine.acceptConnection(), 1u);  // the number of the last notification that the server read
  --engine.lastNotificationNumber;
  engine.endExecution(requestA);                     // a repeated notification causes no second response
  EXPECT_EQ(engine.nextStartedRequest(), requestB);  // repeated, because the engine may not have read it
  engine.endExecution(requestB);
  EXPECT_EQ(client.receiveResponse().sequenceNumber, 2);
  client.sendHealthCheck();
  EXPECT_EQ(client.receiveResponse().kind, ResponseKind::healthy);
}

// Guards against a second start of an execution that must not run twice and that may have started before the
// connection broke.
TEST_F(ServerEngineConnection, FailsKeyedExecutionWhenItBreaksAfterTheStart) {
  server.start();
  auto client = server.connectBalancer();
  auto fields = FakeBalancer::requestFields(requestA, "pay");
  fields["token"] = "t1";
  client.sendRequest(1, fields);
  EXPECT_EQ(engine.nextStartedRequest(), requestA);
  engine.connection.closeWithReset();
  engine.acceptConnection();
  client.sendRequest(2, FakeBalancer::requestFields(requestB));
  EXPECT_EQ(engine.nextStartedRequest(), requestB);
  EXPECT_EQ(client.receiveResponse().kind, ResponseKind::failed);
}

// Guards against a server that does not serve requests until the engine connects, or that does not reconnect
// after an invalid message from the engine.
TEST_F(ServerEngineConnection, IsEstablishedWhenEngineStartsLateOrSendsInvalidMessage) {
  server.startWithoutEngine();
  auto client = server.connectBalancer();
  client.sendHealthCheck();
  EXPECT_EQ(client.receiveResponse().kind, ResponseKind::healthy);
  // A request that arrives before the engine connects waits for the engine.
  client.sendRequest(9, FakeBalancer::requestFields(requestB, "pay"));
  client.sendHealthCheck();
  EXPECT_EQ(client.receiveResponse().kind, ResponseKind::healthy);
  EXPECT_EQ(engine.acceptConnection("cold"), 0u);
  EXPECT_EQ(engine.nextStartedRequest(), requestB);
  engine.endExecution(requestB);
  EXPECT_EQ(client.receiveResponse().sequenceNumber, 9);
  engine.connection.send("no json\n");
  EXPECT_TRUE(engine.connection.waitUntilClosed());
  EXPECT_EQ(engine.acceptConnection(), 1u);
  engine.send({{"msg", "refusal"}, {"how", "launch"}, {"call", "?"}});
  engine.send({{"msg", "aside"}, {"serial", ++engine.lastNotificationNumber}, {"how", "hello"}});
  engine.endExecution("0000000000000000");  // this request is not in flight
  client.sendRequest(1, FakeBalancer::requestFields(requestA));
  EXPECT_EQ(engine.nextStartedRequest(), requestA);
}

// Guards against a connection that is kept although the engine no longer responds on it.
TEST_F(ServerEngineConnection, IsReplacedWhenEngineStopsResponding) {
  server.start();
  auto unresponsiveConnection = std::exchange(engine.connection, {});
  EXPECT_EQ(engine.acceptConnection(), 0u);
  auto client = server.connectBalancer();
  client.sendRequest(1, FakeBalancer::requestFields(requestA));
  EXPECT_EQ(engine.nextStartedRequest(), requestA);
}

// Guards against requests that stay in flight after the engine rejected their start, since the engine never
// reports their end.
TEST_F(ServerEngineConnection, FailsRequestsImmediatelyWhenEngineRejectsThem) {
  server.start();
  auto client = server.connectBalancer();
  std::string name = requestA;
  const auto startedAt = std::chrono::steady_clock::now();
  for (std::int32_t number = 1; number <= 6; ++number) {  // more than the concurrency limit
    name.back() = static_cast<char>('0' + number);
    client.sendRequest(number, FakeBalancer::requestFields(name));
    EXPECT_EQ(engine.nextStartedRequest(), name);
    engine.rejectStart(name);
    const auto response = client.receiveResponse();
    EXPECT_EQ(response.sequenceNumber, number);
    EXPECT_EQ(response.kind, ResponseKind::failed);
  }
  EXPECT_LT(std::chrono::steady_clock::now() - startedAt, 1s);
}

// Guards against a connection that is kept although it was accepted without a handshake, as happens when the
// process at its other end has ended.
TEST_F(ServerEngineConnection, IsReplacedWhenHandshakeNeverArrives) {
  server.startWithoutEngine();
  auto silentConnection = TestConnection::accept(engine.socket);
  EXPECT_TRUE(silentConnection.receive(codec::jsonLines::readLine));
  engine.acceptConnection();
  auto client = server.connectBalancer();
  client.sendRequest(1, FakeBalancer::requestFields(requestA));
  EXPECT_EQ(engine.nextStartedRequest(), requestA);
}

// Guards against the overload of a cold engine by requests that are read before the handshake. A cold start
// is assumed until the engine reports how it started.
TEST_F(ServerEngineConnection, StartsOnlyAsManyExecutionsAsColdEngineAllowsWhenRequestsPrecedeHandshake) {
  server.settings["invariants"] = {
      {"fallMultiple", 8.0}, {"coldFrom", 0.1}, {"warmWithinNs", 20'000'000'000}};
  server.startWithoutEngine();
  auto client = server.connectBalancer();
  for (int i = 1; i <= 12; ++i)
    client.sendRequest(i, FakeBalancer::requestFields(fmt::format("{:016x}", 0xe000 + i)));
  client.sendHealthCheck();
  // Requests that waited too long are shed. The response to the health check shows that all requests were
  // read.
  while (client.receiveResponse().kind == ResponseKind::shed) {
  }
  engine.acceptConnection("cold");
  std::vector<TestConnection> calls;
  int startedCount = 0;
  for (auto command = engine.nextCommand(); command["msg"] == "launch";
       command = engine.nextCommand(), ++startedCount) {
    engine.requestDownstreamCall(command["call"], "please");
    calls.push_back(TestConnection::accept(peers.downstreamSocket));  // the call gets no reply
  }
  EXPECT_GT(startedCount, 0);
  EXPECT_LE(startedCount, 2 * (1 + 7 * 0.1) + 1);  // one more, because the engine warms up during the test
}

// Guards against a loop of reconnects: an unreadable notification with a number must be acknowledged, since
// the engine would otherwise send it again on every connection.
TEST_F(ServerEngineConnection, FailsRequestAndStaysOpenWhenNotificationIsUnreadable) {
  server.start();
  auto client = server.connectBalancer();
  client.sendRequest(1, FakeBalancer::requestFields(requestA));
  EXPECT_EQ(engine.nextStartedRequest(), requestA);
  engine.send({{"msg", "remark"}, {"serial", ++engine.lastNotificationNumber}});
  engine.send({{"msg", "outcome"},
               {"serial", ++engine.lastNotificationNumber},
               {"call", requestA},
               {"how", "ok"},
               {"blob", "%%%%"}});
  EXPECT_EQ(client.receiveResponse().kind, ResponseKind::failed);
  client.sendRequest(2, FakeBalancer::requestFields(requestB));
  EXPECT_EQ(engine.nextStartedRequest(), requestB);
  engine.send({{"msg", "request"},
               {"serial", ++engine.lastNotificationNumber},
               {"call", requestB},
               {"blob", "%%%%"}});
  EXPECT_EQ(client.receiveResponse().kind, ResponseKind::failed);
  client.sendRequest(3, FakeBalancer::requestFields(requestC));
  EXPECT_EQ(engine.nextStartedRequest(), requestC);
}

// Guards against a reconnect after a pause of the process, if the engine's response arrived in time and is
// only unread.
TEST_F(ServerEngineConnection, StaysOpenWhenResponseIsUnreadAfterPause) {
  server.start();
  const auto respondToGaugeRequest = [&](const std::optional<codec::jsonLines::Line>& gaugeRequest) {
    engine.send(
        {{"msg", "sampled"}, {"cookie", gaugeRequest->object["cookie"]}, {"stats", {0.5, 1, 0.1, 3}}});
  };
  auto gaugeRequest = engine.connection.receive(codec::jsonLines::readLine);
  ASSERT_TRUE(gaugeRequest);
  respondToGaugeRequest(gaugeRequest);  // the request that marks the end of the missed notifications
  gaugeRequest = engine.connection.receive(codec::jsonLines::readLine);
  ASSERT_TRUE(gaugeRequest);
  const auto requestedAt = std::chrono::steady_clock::now();
  std::this_thread::sleep_until(requestedAt + 20ms);  // the policy timer no longer waits for this response
  server.whilePaused([&] {
    respondToGaugeRequest(gaugeRequest);
    std::this_thread::sleep_until(requestedAt + 3100ms);
  });
  auto client = server.connectBalancer();
  client.sendRequest(1, FakeBalancer::requestFields(requestA));
  EXPECT_EQ(engine.nextStartedRequest(), requestA);  // still on the same connection
}

}  // namespace
}  // namespace rainhook
