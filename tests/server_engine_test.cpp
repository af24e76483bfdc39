#include <gtest/gtest.h>

#include "codec/json_lines.h"
#include "support/test_server.h"

namespace rainhook {
namespace {

using namespace std::chrono_literals;

class ServerEngineConnection : public ServerTest {};

TEST_F(ServerEngineConnection, LosesAndRepeatsNothingWhenItBreaks) {
  server.start();
  auto client = server.connectBalancer();
  client.sendRequest(1, FakeBalancer::requestFields(requestA));
  EXPECT_EQ(engine.nextStartedRequest(), requestA);
  engine.endExecution(requestA);
  EXPECT_EQ(client.receiveResponse().kind, ResponseKind::completed);
  client.sendRequest(2, FakeBalancer::requestFields(requestB));
  EXPECT_EQ(engine.nextStartedRequest(), requestB);
  engine.connection.closeWithReset();
  EXPECT_EQ(engine.acceptConnection(), 1u);  // the last notification that was read
  --engine.lastNotificationId;
  engine.endExecution(requestA);                     // sent again: no second response
  EXPECT_EQ(engine.nextStartedRequest(), requestB);  // it may not have been read
  engine.endExecution(requestB);
  EXPECT_EQ(client.receiveResponse().sequenceNumber, 2);
  client.sendHealthCheck();
  EXPECT_EQ(client.receiveResponse().kind, ResponseKind::healthy);
}

// An execution that must not run twice and may have startedCount is failed, never started again.
TEST_F(ServerEngineConnection, FailsKeyedExecutionThatMayHaveBegunWhenItBreaks) {
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

TEST_F(ServerEngineConnection, IsMadeLateAndAgainAfterInvalidMessage) {
  server.startWithoutEngine();
  auto client = server.connectBalancer();
  client.sendHealthCheck();
  EXPECT_EQ(client.receiveResponse().kind, ResponseKind::healthy);
  // A request that comes before the engine waits for it.
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
  engine.send({{"msg", "aside"}, {"serial", ++engine.lastNotificationId}, {"how", "hello"}});
  engine.endExecution("0000000000000000");  // of a request that is not in flight
  client.sendRequest(1, FakeBalancer::requestFields(requestA));
  EXPECT_EQ(engine.nextStartedRequest(), requestA);
}

// The connection is open, but nothing comes on it any more.
TEST_F(ServerEngineConnection, IsMadeAgainWhenEngineIsSilent) {
  server.start();
  auto silent = std::exchange(engine.connection, {});
  EXPECT_EQ(engine.acceptConnection(), 0u);
  auto client = server.connectBalancer();
  client.sendRequest(1, FakeBalancer::requestFields(requestA));
  EXPECT_EQ(engine.nextStartedRequest(), requestA);
}

// An execution that the engine does not know never ends there.
TEST_F(ServerEngineConnection, FailsRejectedRequestsAtOnceAndFreesTheirPlaces) {
  server.start();
  auto client = server.connectBalancer();
  std::string name = requestA;
  const auto askedAt = std::chrono::steady_clock::now();
  for (std::int32_t number = 1; number <= 6; ++number) {  // more than may be executed at once
    name.back() = static_cast<char>('0' + number);
    client.sendRequest(number, FakeBalancer::requestFields(name));
    EXPECT_EQ(engine.nextStartedRequest(), name);
    engine.rejectStart(name);
    const auto response = client.receiveResponse();
    EXPECT_EQ(response.sequenceNumber, number);
    EXPECT_EQ(response.kind, ResponseKind::failed);
  }
  EXPECT_LT(std::chrono::steady_clock::now() - askedAt, 1s);
}

// The connection is accepted, but no handshake comes on it, as where its other end is gone.
TEST_F(ServerEngineConnection, IsMadeAgainWhenHandshakeNeverComes) {
  server.startWithoutEngine();
  auto silentConnection = TestConnection::accept(engine.socket);
  EXPECT_TRUE(silentConnection.receive(codec::jsonLines::readLine));
  engine.acceptConnection();
  auto client = server.connectBalancer();
  client.sendRequest(1, FakeBalancer::requestFields(requestA));
  EXPECT_EQ(engine.nextStartedRequest(), requestA);
}

// Requests that are read before the handshake: until the engine reports how it started, a cold start is
// assumed, and no more are started than a cold machine bears.
TEST_F(ServerEngineConnection, StartsNoMoreThanColdEngineBearsWhenRequestsPrecedeHandshake) {
  server.settings["invariants"] = {
      {"fallMultiple", 8.0}, {"coldFrom", 0.1}, {"warmWithinNs", 20'000'000'000}};
  server.startWithoutEngine();
  auto client = server.connectBalancer();
  for (int i = 1; i <= 12; ++i)
    client.sendRequest(i, FakeBalancer::requestFields(fmt::format("{:016x}", 0xe000 + i)));
  client.sendHealthCheck();
  // Those that waited too long are shed; once the health check is answered, all have been read.
  while (client.receiveResponse().kind == ResponseKind::shed) {
  }
  engine.acceptConnection("cold");
  std::vector<TestConnection> calls;
  int startedCount = 0;
  for (auto command = engine.nextCommand(); command["msg"] == "launch";
       command = engine.nextCommand(), ++startedCount) {
    engine.requestDownstreamCall(command["call"], "please");
    calls.push_back(TestConnection::accept(peers.downstreamSocket));  // and gets no reply
  }
  EXPECT_GT(startedCount, 0);
  EXPECT_LE(startedCount, 2 * (1 + 7 * 0.1) + 1);  // and what it warms up meanwhile
}

// An unreadable notification with a number counts as read: it would come again on every connection.
TEST_F(ServerEngineConnection, FailsRequestAndStaysOpenWhenNotificationIsUnreadable) {
  server.start();
  auto client = server.connectBalancer();
  client.sendRequest(1, FakeBalancer::requestFields(requestA));
  EXPECT_EQ(engine.nextStartedRequest(), requestA);
  engine.send({{"msg", "remark"}, {"serial", ++engine.lastNotificationId}});
  engine.send({{"msg", "outcome"},
               {"serial", ++engine.lastNotificationId},
               {"call", requestA},
               {"how", "ok"},
               {"blob", "%%%%"}});
  EXPECT_EQ(client.receiveResponse().kind, ResponseKind::failed);
  client.sendRequest(2, FakeBalancer::requestFields(requestB));
  EXPECT_EQ(engine.nextStartedRequest(), requestB);
  engine.send(
      {{"msg", "request"}, {"serial", ++engine.lastNotificationId}, {"call", requestB}, {"blob", "%%%%"}});
  EXPECT_EQ(client.receiveResponse().kind, ResponseKind::failed);
  client.sendRequest(3, FakeBalancer::requestFields(requestC));
  EXPECT_EQ(engine.nextStartedRequest(), requestC);
}

// After a pause of the process, an answer that lies unread counts as one in time.
TEST_F(ServerEngineConnection, StaysOpenWhenAnswerLiesUnreadAfterPause) {
  server.start();
  const auto answerGaugeRequest = [&](const std::optional<codec::jsonLines::Line>& gaugeRequest) {
    engine.send(
        {{"msg", "sampled"}, {"cookie", gaugeRequest->object["cookie"]}, {"stats", {0.5, 1, 0.1, 3}}});
  };
  auto gaugeRequest = engine.connection.receive(codec::jsonLines::readLine);
  ASSERT_TRUE(gaugeRequest);
  answerGaugeRequest(gaugeRequest);  // of the catch-up
  gaugeRequest = engine.connection.receive(codec::jsonLines::readLine);
  ASSERT_TRUE(gaugeRequest);
  const auto askedAt = std::chrono::steady_clock::now();
  std::this_thread::sleep_until(askedAt + 20ms);  // the server no longer waits for this answer
  server.whilePaused([&] {
    answerGaugeRequest(gaugeRequest);
    std::this_thread::sleep_until(askedAt + 3100ms);
  });
  auto client = server.connectBalancer();
  client.sendRequest(1, FakeBalancer::requestFields(requestA));
  EXPECT_EQ(engine.nextStartedRequest(), requestA);  // on the same connection
}

}  // namespace
}  // namespace rainhook
