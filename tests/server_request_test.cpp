#include <gtest/gtest.h>

#include "codec/json_lines.h"
#include "support/test_server.h"

namespace rainhook {
namespace {

using namespace std::chrono_literals;

class ServerRequest : public ServerTest {};

TEST_F(ServerRequest, PassesBodyAndResultUnchanged) {
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

TEST_F(ServerRequest, RespondsOutOfOrderWhenRequestsArriveInPieces) {
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

TEST_F(ServerRequest, SendsNoResponseAndStartsNoQueuedRequestWhenCancelled) {
  server.start();
  auto client = server.connectBalancer();
  client.sendCancellation(77);  // of a request that was never sent
  client.sendRequest(1, FakeBalancer::requestFields(requestA));
  client.sendRequest(2, FakeBalancer::requestFields(requestB));
  client.sendRequest(3, FakeBalancer::requestFields(requestC));
  engine.nextStartedRequest();
  engine.nextStartedRequest();  // both cores are busy, the third is queued
  client.sendCancellation(3);
  client.sendCancellation(1);
  client.sendRequest(4, FakeBalancer::requestFields("00000000000000a4"));
  client.sendHealthCheck();
  EXPECT_EQ(client.receiveResponse().kind, ResponseKind::healthy);  // all of that has been read
  engine.endExecution(requestA);
  engine.endExecution(requestB);
  EXPECT_EQ(engine.nextStartedRequest(), "00000000000000a4");
  engine.endExecution("00000000000000a4");
  EXPECT_EQ(client.receiveResponse().sequenceNumber, 2);
  EXPECT_EQ(client.receiveResponse().sequenceNumber, 4);
}

TEST_F(ServerRequest, IsAnsweredByItsDeadlineWhenItCannotBeServed) {
  server.start();
  auto client = server.connectBalancer();
  auto fields = FakeBalancer::requestFields(requestA);
  fields["t0"] = std::to_string(std::stoll(fields["t0"]) - 3000);  // it stood unread for all its time
  client.sendRequest(1, fields);
  EXPECT_EQ(client.receiveResponse().kind, ResponseKind::shed);
  // An executing request is answered by its deadline, too.
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

// However a request ends, it is not left in flight, neither as executing nor in a downstream call.
TEST_F(ServerRequest, LeavesNothingInFlightHoweverItEnds) {
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
  disconnecting.closeWithReset();  // its call is cancelled, its execution ends at the call
  EXPECT_TRUE(downstream.waitUntilClosed());
  engine.endExecution(requestB, "halted", "");
  client.sendRequest(2, FakeBalancer::requestFields(requestC));
  EXPECT_EQ(engine.nextStartedRequest(), requestC);
  client.sendCancellation(2);
  engine.connection.closeWithReset();
  engine.acceptConnection();
  engine.endExecution(requestC);  // its client has cancelled it
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
