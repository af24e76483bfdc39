#include <gtest/gtest.h>

#include "codec/json_lines.h"
#include "support/test_server.h"

namespace rainhook {
namespace {

using namespace std::chrono_literals;

class ServerRequest : public ServerTest {};

TEST_F(ServerRequest, PassesBodyAndResultUnchangedWhenTheyContainBinaryData) {
  server.start();
  auto client = server.connectBalancer();
  const std::string body("b\0\xff\n", 4), result("r\0\x80", 3);
  client.sendRequest(1, FakeBalancer::requestFields(requestA), body);
  const auto command = engine.nextCommand();
  EXPECT_EQ(command["msg"], "launch");
  EXPECT_EQ(command["call"], requestA);
  EXPECT_EQ(command["service"], "read");
  EXPECT_EQ(codec::jsonLines::fromBase64(command["blob"]), body);
  engine.endExecution(requestA, "ok", result);
  const auto response = client.receiveResponse();
  EXPECT_EQ(response.sequenceNumber, 1);
  EXPECT_EQ(response.kind, ResponseKind::completed);
  EXPECT_EQ(response.body, result);
  EXPECT_GT(std::stod(response.fields.at("hint")), 0.5);
}

TEST_F(ServerRequest, GetsResponseOutOfOrderWhenRequestsArriveInPieces) {
  server.start();
  auto client = server.connectBalancer();
  const auto both = FakeBalancer::encodeRequest(1, FakeBalancer::requestFields(requestA), "x") +
                    FakeBalancer::encodeRequest(2, FakeBalancer::requestFields(requestB), "y");
  for (const char c : both) client.send({&c, 1});
  EXPECT_EQ(engine.nextStartedRequest(), requestA);
  EXPECT_EQ(engine.nextStartedRequest(), requestB);
  engine.endExecution(requestB);
  EXPECT_EQ(client.receiveResponse().sequenceNumber, 2);
  engine.endExecution(requestA, "failed");
  const auto response = client.receiveResponse();
  EXPECT_EQ(response.sequenceNumber, 1);
  EXPECT_EQ(response.kind, ResponseKind::failed);
}

// Guards against a response to a cancelled request, and against the start of one that was cancelled in the
// queue.
TEST_F(ServerRequest, GetsNoResponseAndIsNotStartedWhenCancelled) {
  server.start();
  auto client = server.connectBalancer();
  client.sendCancellation(77);  // no request has this number
  client.sendRequest(1, FakeBalancer::requestFields(requestA));
  client.sendRequest(2, FakeBalancer::requestFields(requestB));
  client.sendRequest(3, FakeBalancer::requestFields(requestC));
  engine.nextStartedRequest();
  engine.nextStartedRequest();  // both cores are busy, so the third request is queued
  client.sendCancellation(3);
  client.sendCancellation(1);
  client.sendRequest(4, FakeBalancer::requestFields("00000000000000a4"));
  client.sendHealthCheck();
  EXPECT_EQ(client.receiveResponse().kind, ResponseKind::healthy);  // all earlier messages have been read
  engine.endExecution(requestA);
  engine.endExecution(requestB);
  EXPECT_EQ(engine.nextStartedRequest(), "00000000000000a4");
  engine.endExecution("00000000000000a4");
  EXPECT_EQ(client.receiveResponse().sequenceNumber, 2);
  EXPECT_EQ(client.receiveResponse().sequenceNumber, 4);
}

// Guards against requests without a response at their deadline, both queued and executing ones.
TEST_F(ServerRequest, IsAnsweredByItsDeadlineWhenItCannotBeCompleted) {
  server.start();
  auto client = server.connectBalancer();
  auto fields = FakeBalancer::requestFields(requestA);
  fields["t0"] = std::to_string(std::stoll(fields["t0"]) - 3000);  // it was unread until its deadline
  client.sendRequest(1, fields);
  EXPECT_EQ(client.receiveResponse().kind, ResponseKind::shed);
  // An executing request is also answered by its deadline.
  fields = FakeBalancer::requestFields(requestB);
  fields["budget"] = "300";
  const auto sentAt = std::chrono::steady_clock::now();
  client.sendRequest(2, fields);
  EXPECT_EQ(engine.nextStartedRequest(), requestB);
  const auto response = client.receiveResponse();
  EXPECT_EQ(response.sequenceNumber, 2);
  EXPECT_NE(response.kind, ResponseKind::completed);
  EXPECT_LT(std::chrono::steady_clock::now() - sentAt, 400ms);
}

// Guards against requests that are counted as in flight after their end. The requests end by a rejected
// start, a lost client connection during a downstream call, and a cancellation with a lost engine connection.
TEST_F(ServerRequest, IsNoLongerInFlightWhenItHasEnded) {
  server.start();
  auto client = server.connectBalancer();
  auto disconnecting = server.connectBalancer();
  client.sendRequest(1, FakeBalancer::requestFields(requestA));
  EXPECT_EQ(engine.nextStartedRequest(), requestA);
  engine.rejectStart(requestA);
  EXPECT_EQ(client.receiveResponse().kind, ResponseKind::failed);
  disconnecting.sendRequest(1, FakeBalancer::requestFields(requestB));
  EXPECT_EQ(engine.nextStartedRequest(), requestB);
  engine.requestDownstreamCall(requestB, "please");
  auto downstream = TestConnection::accept(peers.downstreamSocket);
  ASSERT_TRUE(downstream.receive(HttpRequest::parse));
  disconnecting.closeWithReset();  // the downstream call is cancelled, and the execution ends at the call
  EXPECT_TRUE(downstream.waitUntilClosed());
  engine.endExecution(requestB, "halted", "");
  client.sendRequest(2, FakeBalancer::requestFields(requestC));
  EXPECT_EQ(engine.nextStartedRequest(), requestC);
  client.sendCancellation(2);
  engine.connection.closeWithReset();
  engine.acceptConnection();
  engine.endExecution(requestC);  // the client has cancelled this request
  client.sendRequest(3, FakeBalancer::requestFields(requestA));
  auto command = engine.nextCommand();
  while (command["call"] != requestA) command = engine.nextCommand();
  EXPECT_EQ(
      server.stopAndCountInFlight(),
      (server::InFlightCounts{
          .queued = 0, .executing = 1, .inDownstreamCalls = 0, .abandoned = 0, .openDownstreamCalls = 0}));
}

}  // namespace
}  // namespace rainhook
