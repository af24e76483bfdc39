#include <gtest/gtest.h>

#include "codec/json_lines.h"
#include "support/test_server.h"

namespace rainhook {
namespace {

using namespace std::chrono_literals;

class ServerDownstreamCall : public ServerTest {};

// Guards against a wrong reaction to the outcomes of a call: a reply is delivered, a call that did not run is
// retried, and two failures end the request.
TEST_F(ServerDownstreamCall, DeliversReplyOrIsRetriedOnceWhenItEnds) {
  server.start();
  auto client = server.connectBalancer();
  client.sendRequest(1, FakeBalancer::requestFields(requestA));
  EXPECT_EQ(engine.nextStartedRequest(), requestA);
  engine.requestDownstreamCall(requestA, "please");
  auto downstream = TestConnection::accept(peers.downstreamSocket);
  auto call = downstream.receive(HttpRequest::parse);
  ASSERT_TRUE(call);
  EXPECT_TRUE(call->head.starts_with("POST /rpc/call HTTP/1.1\r\n"));
  EXPECT_NE(call->head.find("Parent-Call: " + requestA), std::string::npos);
  EXPECT_NE(call->head.find("Deadline-Ms: "), std::string::npos);
  EXPECT_EQ(call->body, "please");
  // The service did not run the call, so the server calls it again.
  downstream.send("HTTP/1.1 503 Busy\r\nTurned-Away: 1\r\nContent-Length: 0\r\n\r\n");
  downstream = TestConnection::accept(peers.downstreamSocket);
  call = downstream.receive(HttpRequest::parse);
  ASSERT_TRUE(call);
  EXPECT_EQ(call->body, "please");
  downstream.send(httpResponse("200 OK", "reply"));
  const auto command = engine.nextCommand();
  EXPECT_EQ(command["msg"], "deliver");
  EXPECT_EQ(codec::jsonLines::fromBase64(command["blob"]), "reply");
  engine.requestDownstreamCall(requestA, "again");
  downstream = TestConnection::accept(peers.downstreamSocket);
  ASSERT_TRUE(downstream.receive(HttpRequest::parse));
  downstream.closeWithReset();  // the call may have run; it is retried because the request is idempotent
  downstream = TestConnection::accept(peers.downstreamSocket);
  ASSERT_TRUE(downstream.receive(HttpRequest::parse));
  downstream.send(httpResponse("500 No"));  // the second failure ends the request
  EXPECT_EQ(client.receiveResponse().kind, ResponseKind::shed);
}

// Guards against a second execution of a call for a request that is not idempotent.
TEST_F(ServerDownstreamCall, IsRetriedForKeyedRequestOnlyWhenItProvablyDidNotRun) {
  server.start();
  auto client = server.connectBalancer();
  auto fields = FakeBalancer::requestFields(requestA, "pay");
  fields["token"] = "t1";
  client.sendRequest(1, fields);
  EXPECT_EQ(engine.nextStartedRequest(), requestA);
  engine.requestDownstreamCall(requestA, "pay it");
  auto downstream = TestConnection::accept(peers.downstreamSocket);
  ASSERT_TRUE(downstream.receive(HttpRequest::parse));
  downstream.send("HTTP/1.1 409 No\r\nTurned-Away: 1\r\nContent-Length: 0\r\n\r\n");
  downstream = TestConnection::accept(peers.downstreamSocket);
  ASSERT_TRUE(downstream.receive(HttpRequest::parse));
  downstream.close();
  EXPECT_EQ(client.receiveResponse().kind, ResponseKind::failed);
  EXPECT_FALSE(peers.downstreamSocket.poll(Poco::Timespan(100000), Poco::Net::Socket::SELECT_READ));
}

TEST_F(ServerDownstreamCall, ClosesItsConnectionWhenItsRequestIsCancelled) {
  server.start();
  auto client = server.connectBalancer();
  client.sendRequest(1, FakeBalancer::requestFields(requestA));
  EXPECT_EQ(engine.nextStartedRequest(), requestA);
  engine.requestDownstreamCall(requestA, "please");
  auto downstream = TestConnection::accept(peers.downstreamSocket);
  ASSERT_TRUE(downstream.receive(HttpRequest::parse));
  client.sendCancellation(1);
  EXPECT_TRUE(downstream.waitUntilClosed());
}

// Guards against an unreachable service that affects requests other than the one that called it.
TEST_F(ServerDownstreamCall, EndsOnlyItsRequestWhenServiceIsUnreachable) {
  peers.downstreamSocket.close();
  peers.downstreamSocket = Poco::Net::ServerSocket(Poco::Net::SocketAddress("127.0.0.1", 0));
  server.start();
  peers.downstreamSocket.close();
  auto client = server.connectBalancer();
  client.sendRequest(1, FakeBalancer::requestFields(requestA));
  EXPECT_EQ(engine.nextStartedRequest(), requestA);
  engine.requestDownstreamCall(requestA, "please");
  EXPECT_EQ(client.receiveResponse().kind, ResponseKind::shed);
  engine.endExecution(requestA, "halted", "");
  client.sendRequest(2, FakeBalancer::requestFields(requestB));
  EXPECT_EQ(engine.nextStartedRequest(), requestB);
}

// Guards against the loss of a reply that arrived in time but is unread when the timeout expires, because the
// process was paused. The server then processes the reply and the timeout in the same iteration.
TEST_F(ServerDownstreamCall, DeliversReplyWhenItIsUnreadAtTheTimeout) {
  server.start();
  auto client = server.connectBalancer();
  auto fields = FakeBalancer::keyedRequestFields(requestA);
  fields["budget"] = "2000";
  client.sendRequest(1, fields);
  EXPECT_EQ(engine.nextStartedRequest(), requestA);
  engine.requestDownstreamCall(requestA, "please");
  auto downstream = TestConnection::accept(peers.downstreamSocket);
  const auto call = downstream.receive(HttpRequest::parse);
  ASSERT_TRUE(call);
  const auto timeoutMs = std::stol(call->head.substr(call->head.find("Deadline-Ms: ") + 13));
  const auto timeoutPassed = std::chrono::steady_clock::now() + std::chrono::milliseconds(timeoutMs + 5);
  server.whilePaused([&] {
    downstream.send(httpResponse("200 OK", "reply"));
    std::this_thread::sleep_until(timeoutPassed);
  });
  const auto command = engine.nextCommand();
  EXPECT_EQ(command["msg"], "deliver");
}

// Guards against a retry after a truncated reply, which does not prove that the call did not run. The request
// gets exactly one response.
TEST_F(ServerDownstreamCall, IsNotRetriedWhenReplyIsTruncatedAtAnyByte) {
  server.start();
  auto client = server.connectBalancer();
  const std::string replies[] = {httpResponse("200 OK", "reply"),
                                 "HTTP/1.1 503 Busy\r\nTurned-Away: 1\r\nContent-Length: 2\r\n\r\nno",
                                 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nre\r\n0\r\n\r\n"};
  int number = 0;
  for (const auto& reply : replies)
    for (std::size_t length = 0; length < reply.size(); ++length) {
      const auto name = fmt::format("{:016x}", 0xd000 + ++number);
      client.sendRequest(number, FakeBalancer::keyedRequestFields(name, name));
      ASSERT_EQ(engine.nextStartedRequest(), name);
      engine.requestDownstreamCall(name, "please");
      auto downstream = TestConnection::accept(peers.downstreamSocket);
      ASSERT_TRUE(downstream.receive(HttpRequest::parse));
      downstream.send(std::string_view(reply).substr(0, length));
      length % 2 == 0 ? downstream.close() : downstream.closeWithReset();
      const auto response = client.receiveResponse();
      ASSERT_EQ(response.sequenceNumber, number);
      ASSERT_EQ(response.kind, ResponseKind::failed) << reply.substr(0, length);
      engine.endExecution(name, "halted", "");
    }
  EXPECT_FALSE(peers.downstreamSocket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ));
}

}  // namespace
}  // namespace rainhook
