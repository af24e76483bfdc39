// Tests of downstream replies whose delivery to the engine is uncertain because its connection broke. A reply
// names no call, so the engine takes it for the reply to whichever call the execution waits for.
#include <fmt/format.h>
#include <gtest/gtest.h>

#include <chrono>
#include <random>
#include <string>

#include "codec/json_lines.h"
#include "support/test_server.h"

namespace rainhook {
namespace {

using namespace std::chrono_literals;

class ServerReplyDelivery : public ServerTest {
 protected:
  void start() {
    server.start();
    client = server.connectBalancer();
  }

  // Starts an execution whose first downstream call has been answered. The engine has received the reply.
  void executeUntilFirstReply(const codec::thrift::Fields& fields) {
    client.sendRequest(1, fields);
    EXPECT_EQ(engine.nextStartedRequest(), requestA);
    engine.requestDownstreamCall(requestA, "first call");
    firstCall = engine.lastNotificationNumber;
    acceptDownstreamCall("first call");
    downstream.send(httpResponse("200 OK", "first reply"));
    expectReply("first reply");
  }

  void acceptDownstreamCall(const std::string& body) {
    downstream = TestConnection::accept(peers.downstreamSocket);
    const auto call = downstream.receive(HttpRequest::parse);
    ASSERT_TRUE(call);
    EXPECT_EQ(call->body, body);
  }

  void expectReply(const std::string& reply) {
    const auto command = engine.nextCommand();
    ASSERT_EQ(command["msg"], "deliver") << command;
    EXPECT_EQ(command["call"], requestA);
    EXPECT_EQ(codec::jsonLines::fromBase64(command.value("blob", "")), reply);
  }

  void breakConnection() {
    engine.connection.closeWithReset();
    engine.acceptConnection();
  }

  // Expects that the server sends no command until it has processed all messages of the engine.
  void expectNoCommand() {
    client.sendRequest(99, FakeBalancer::requestFields(requestB));
    EXPECT_EQ(engine.nextStartedRequest(), requestB);
    engine.endExecution(requestB);
    EXPECT_EQ(client.receiveResponse().sequenceNumber, 99);
  }

  FakeBalancer client;
  TestConnection downstream;
  std::uint64_t firstCall = 0;  // the number of the notification that requested it
};

// Guards against a reply that is delivered again after a reconnect and is taken for the reply to the next
// call, which the execution requests after the server has read all missed notifications.
TEST_F(ServerReplyDelivery, IsNotRepeatedWhenConnectionBreaksBeforeTheNextCall) {
  start();
  executeUntilFirstReply(FakeBalancer::requestFields(requestA));
  breakConnection();
  expectNoCommand();
  engine.requestDownstreamCall(requestA, "second call");
  acceptDownstreamCall("second call");
  downstream.send(httpResponse("200 OK", "second reply"));
  expectReply("second reply");
  engine.endExecution(requestA);
  const Response response = client.receiveResponse();
  EXPECT_EQ(response.sequenceNumber, 1);
  EXPECT_EQ(response.kind, ResponseKind::completed);
}

// Guards against the loss of a reply that arrives while there is no connection to the engine: it was never
// sent, so it is sent after the reconnect.
TEST_F(ServerReplyDelivery, HappensAfterReconnectWhenReplyArrivesWithoutConnection) {
  start();
  client.sendRequest(1, FakeBalancer::requestFields(requestA));
  EXPECT_EQ(engine.nextStartedRequest(), requestA);
  engine.requestDownstreamCall(requestA, "first call");
  acceptDownstreamCall("first call");
  engine.connection.closeWithReset();
  engine.acceptSubscription();  // the server has noticed that the connection was lost
  downstream.send(httpResponse("200 OK", "first reply"));
  client.sendHealthCheck();
  EXPECT_EQ(client.receiveResponse().kind, ResponseKind::healthy);  // the reply has been read
  engine.sendHandshake();
  expectReply("first reply");
  expectNoCommand();
}

// Guards against a request that occupies a core until its deadline although the engine lost its reply.
TEST_F(ServerReplyDelivery, IsGivenUpLongBeforeTheDeadlineWhenExecutionReportsNothing) {
  start();
  executeUntilFirstReply(FakeBalancer::requestFields(requestA));
  breakConnection();
  const auto brokenAt = std::chrono::steady_clock::now();
  expectNoCommand();
  const Response response = client.receiveResponse();
  EXPECT_EQ(response.sequenceNumber, 1);
  EXPECT_EQ(response.kind, ResponseKind::shed);                    // the request is idempotent
  EXPECT_LT(std::chrono::steady_clock::now() - brokenAt, 1800ms);  // its latency objective
  engine.endExecution(requestA, "halted", "");
  EXPECT_EQ(server.stopAndCountInFlight(), server::InFlightCounts{});
}

// Guards against a shed keyed request that was executed: the response must not promise that it was not.
TEST_F(ServerReplyDelivery, FailsKeyedRequestWhenExecutionReportsNothing) {
  start();
  executeUntilFirstReply(FakeBalancer::keyedRequestFields(requestA));
  breakConnection();
  expectNoCommand();
  EXPECT_EQ(client.receiveResponse().kind, ResponseKind::failed);
}

// A skip names its call, so it has no effect on an execution that received the reply. Guards against a
// request that is given up although a response without the reply earns weight.
TEST_F(ServerReplyDelivery, IsReplacedBySkipWhenSettingsAllowIt) {
  server.settings["domain"]["classSkipWorth"] = {0.5, 0.5};
  start();
  executeUntilFirstReply(FakeBalancer::requestFields(requestA));
  breakConnection();
  const auto command = engine.nextCommand();
  EXPECT_EQ(command["msg"], "forgo") << command;
  EXPECT_EQ(command["serial"], firstCall);
  engine.endExecution(requestA);
  EXPECT_EQ(client.receiveResponse().kind, ResponseKind::completed);
}

// Guards against a skip of the wrong call: in one iteration, the server reads that the missed notifications
// end and that the execution requests its next call.
TEST_F(ServerReplyDelivery, DoesNotSkipNextCallWhenItIsRequestedInSameIteration) {
  server.settings["domain"]["classSkipWorth"] = {0.5, 0.5};
  start();
  executeUntilFirstReply(FakeBalancer::requestFields(requestA));
  breakConnection();
  const auto catchUpRequest = engine.connection.receive(codec::jsonLines::readLine);
  ASSERT_TRUE(catchUpRequest);
  // In one write, so that the server reads both messages in one iteration.
  engine.connection.send(
      codec::jsonLines::writeLine(
          {{"msg", "sampled"}, {"cookie", catchUpRequest->object["cookie"]}, {"stats", engine.gauges}}) +
      codec::jsonLines::writeLine({{"msg", "request"},
                                   {"serial", ++engine.lastNotificationNumber},
                                   {"call", requestA},
                                   {"blob", codec::jsonLines::toBase64("second call")}}));
  acceptDownstreamCall("second call");
  downstream.send(httpResponse("200 OK", "second reply"));
  expectReply("second reply");
}

// An engine that follows its protocol over connections that break at random: a reply goes to whichever call
// the execution waits for, and a skip only to the call that it names.
class ServerReplyDeliveryOrder : public ServerReplyDelivery {
 protected:
  // Returns the name of the next request that is started. Skips of calls that were answered may precede it.
  std::string nextStartedRequest() {
    auto command = engine.nextCommand();
    while (command["msg"] == "forgo") command = engine.nextCommand();
    EXPECT_EQ(command["msg"], "launch") << command;
    return command.value("call", "");
  }

  bool isOneIn(int count) { return std::uniform_int_distribution(1, count)(random) == 1; }

  // Lets the execution request a downstream call and wait until the server lets it continue. The commands
  // that are unread when the connection breaks are lost.
  void makeCall(const std::string& request, int number) {
    const std::string body = fmt::format("call {}", number);
    const std::string reply = fmt::format("reply {}", number);
    engine.requestDownstreamCall(request, body);
    const std::uint64_t notification = engine.lastNotificationNumber;
    acceptDownstreamCall(body);
    const bool isConnected = !isOneIn(4);
    if (!isConnected) engine.connection.closeWithReset();
    downstream.send(httpResponse("200 OK", reply));
    if (!isConnected) engine.acceptConnection();
    while (!HasFailure()) {
      if (isOneIn(3)) breakConnection();
      const auto command = engine.nextCommand();
      if (command["msg"] == "deliver") {
        EXPECT_EQ(codec::jsonLines::fromBase64(command["blob"]), reply);
        return;
      }
      ASSERT_EQ(command["msg"], "forgo") << command;
      if (command["serial"] == notification) return;
    }
  }

  // On a new connection, this is the request whose answer shows that no notification was missed.
  void answerNextGaugeRequest() {
    const auto request = engine.connection.receive(codec::jsonLines::readLine);
    ASSERT_TRUE(request);
    if (request->object["msg"] != "sample") return;  // a command for a call that has been answered
    engine.send({{"msg", "sampled"}, {"cookie", request->object["cookie"]}, {"stats", engine.gauges}});
  }

  std::mt19937 random{20261204};
};

// Guards against orders of breaks, replies and calls in which a reply reaches the wrong call, or in which the
// execution waits forever.
TEST_F(ServerReplyDeliveryOrder, ContinuesEachCallWithItsReplyOrNoneWhenConnectionBreaksAtAnyTime) {
  server.settings["domain"]["classSkipWorth"] = {0.5, 0.5};
  server.settings["domain"]["callsOut"] = 8.0;  // with a quota, the policy does not repeat slow calls
  start();
  for (std::int32_t round = 1; round <= 20 && !HasFailure(); ++round) {
    SCOPED_TRACE(fmt::format("round {}", round));
    const std::string request = fmt::format("{:016x}", round);
    client.sendRequest(round, FakeBalancer::requestFields(request));
    EXPECT_EQ(nextStartedRequest(), request);
    for (int call = 0; call < 3 && !HasFailure(); ++call) {
      makeCall(request, call);
      if (isOneIn(2)) breakConnection();
      if (isOneIn(2)) answerNextGaugeRequest();
    }
    engine.endExecution(request);
    const Response response = client.receiveResponse();
    EXPECT_EQ(response.sequenceNumber, round);
    EXPECT_EQ(response.kind, ResponseKind::completed);
  }
}

}  // namespace
}  // namespace rainhook
