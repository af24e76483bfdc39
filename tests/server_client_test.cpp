#include <gtest/gtest.h>

#include "support/test_server.h"

namespace rainhook {
namespace {

using namespace std::chrono_literals;

class ServerClientConnection : public ServerTest {};

// Guards against invalid bytes on one connection that end the requests of other connections.
TEST_F(ServerClientConnection, IsClosedWithoutAffectingOthersWhenItSendsInvalidBytes) {
  server.start();
  auto client = server.connectBalancer();
  client.sendRequest(1, FakeBalancer::requestFields(requestA));
  EXPECT_EQ(engine.nextStartedRequest(), requestA);
  for (const std::string& bad :
       {std::string("GET / HTTP/1.1\r\n\r\n"), std::string("\0\1\0\0", 4),
        std::string("\0\0\0\14\x80\x02\0\1\0\0\0\0\0\0\0\1", 16),
        FakeBalancer::encodeRequest(1, FakeBalancer::requestFields(requestB), "x").replace(20, 1, "\x63")}) {
    auto other = server.connectBalancer();
    other.send(bad);
    EXPECT_TRUE(other.waitUntilClosed());
  }
  engine.endExecution(requestA);
  EXPECT_EQ(client.receiveResponse().kind, ResponseKind::completed);
}

// Guards against a connection that is closed for a request with an invalid field: only that request is
// rejected.
TEST_F(ServerClientConnection, StaysOpenWhenRequestIsInvalid) {
  server.start();
  auto client = server.connectBalancer();
  std::int32_t number = 0;
  const auto isRejected = [&](const char* field, const char* value) {
    auto fields = FakeBalancer::requestFields(requestB);
    fields.erase(field);
    if (value) fields[field] = value;
    client.sendRequest(++number, fields);
    const auto response = client.receiveResponse();
    return response.kind == ResponseKind::exception && response.sequenceNumber == number;
  };
  for (const char* field : {"method", "rid", "t0", "peer", "acct", "budget", "mem", "prio"})
    EXPECT_TRUE(isRejected(field, nullptr)) << field;
  for (const auto& [field, value] : std::map<const char*, const char*>{{"method", "nope"},
                                                                       {"rid", "xyz"},
                                                                       {"t0", "-1"},
                                                                       {"peer", "-1"},
                                                                       {"acct", "nobody"},
                                                                       {"budget", "1e3"},
                                                                       {"mem", "2000"},
                                                                       {"prio", "1.0"},
                                                                       {"obj", "zz"}})
    EXPECT_TRUE(isRejected(field, value)) << field;
  client.send(codec::thrift::Writer(codec::thrift::Kind::call, "dance", 50).stop().finish());
  EXPECT_EQ(client.receiveResponse().kind, ResponseKind::exception);
  client.sendRequest(60, FakeBalancer::requestFields(requestB), std::string(2049, 'x'));
  EXPECT_EQ(client.receiveResponse().kind, ResponseKind::exception);
  client.sendRequest(61, FakeBalancer::requestFields(requestA), std::string(2048, 'x'));
  EXPECT_EQ(engine.nextStartedRequest(), requestA);
  client.sendRequest(62, FakeBalancer::requestFields(requestA));  // the name is already in flight
  EXPECT_EQ(client.receiveResponse().sequenceNumber, 62);
  engine.endExecution(requestA);
  EXPECT_EQ(client.receiveResponse().sequenceNumber, 61);
  client.sendHealthCheck();
  EXPECT_EQ(client.receiveResponse().kind, ResponseKind::healthy);
}

// A balancer uses a new client number after each restart. Guards against an upper bound below 64 bits.
TEST_F(ServerClientConnection, IsServedWhenClientNumberIsLarge) {
  server.start();
  auto client = server.connectBalancer();
  std::int32_t number = 0;
  for (const char* peer : {"65536", "18446744073709551615"}) {
    auto fields = FakeBalancer::requestFields(number++ == 0 ? requestA : requestB);
    fields["peer"] = peer;
    client.sendRequest(number, fields);
    EXPECT_EQ(engine.nextStartedRequest(), fields["rid"]);
  }
}

// Guards against an arrival time far in the past or future that distorts the load estimate or the deadline.
TEST_F(ServerClientConnection, GetsExceptionWhenArrivalTimeIsImplausible) {
  server.start();
  auto client = server.connectBalancer();
  const auto now = std::stoll(FakeBalancer::requestFields(requestA)["t0"]);
  std::int32_t number = 0;
  for (const long long t0 : {0LL, now - 60'000, now + 60'000, 4'000'000'000'000'000LL}) {
    auto fields = FakeBalancer::requestFields(requestA);
    fields["t0"] = std::to_string(t0);
    client.sendRequest(++number, fields);
    EXPECT_EQ(client.receiveResponse().kind, ResponseKind::exception) << t0;
  }
  client.sendRequest(++number, FakeBalancer::requestFields(requestA));
  EXPECT_EQ(engine.nextStartedRequest(), requestA);
  engine.endExecution(requestA);
  EXPECT_EQ(client.receiveResponse().fields.at("hint"), "1.0000");  // no rejected request counted as load
}

// Guards against connections that occupy descriptors although their clients send nothing or stop within a
// message. A connection with an open request must not be closed.
TEST_F(ServerClientConnection, IsClosedWhenItSendsNothingOrOnlyPartOfAMessage) {
  server.start();
  const auto startedAt = std::chrono::steady_clock::now();
  auto inactive = server.connectBalancer();
  auto incomplete = server.connectBalancer();
  auto client = server.connectBalancer();
  incomplete.sendHealthCheck();
  EXPECT_EQ(incomplete.receiveResponse().kind, ResponseKind::healthy);
  incomplete.send(FakeBalancer::encodeRequest(1, FakeBalancer::requestFields(requestB), "x").substr(0, 40));
  client.sendRequest(1, FakeBalancer::requestFields(requestA));
  EXPECT_EQ(engine.nextStartedRequest(), requestA);
  EXPECT_TRUE(inactive.waitUntilClosed());
  EXPECT_TRUE(incomplete.waitUntilClosed());
  EXPECT_LT(std::chrono::steady_clock::now() - startedAt, 2700ms);
  client.sendHealthCheck();
  EXPECT_EQ(client.receiveResponse().kind, ResponseKind::healthy);
}

// The protocol allows 32 open requests on a connection. Guards against further requests that are admitted or
// left without a response.
TEST_F(ServerClientConnection, GetsExceptionsWhenOpenRequestsExceedProtocolLimit) {
  server.start();
  auto client = server.connectBalancer();
  std::string requests;
  for (std::int32_t i = 1; i <= 100; ++i)
    requests += FakeBalancer::encodeRequest(
        i, FakeBalancer::requestFields("00000000000001" + std::to_string(10 + i % 90)), "x");
  client.send(requests);
  std::vector<std::int32_t> rejected;
  for (Response response = client.receiveResponse(); response.sequenceNumber != 100;
       response = client.receiveResponse())
    if (response.kind == ResponseKind::exception) rejected.push_back(response.sequenceNumber);
  EXPECT_EQ(rejected.size(), 67u);
  EXPECT_EQ(rejected.front(), 33);
}

// Guards against a second request with the sequence number of an open one: the client could not determine to
// which of them a response belongs.
TEST_F(ServerClientConnection, IsClosedWhenItReusesSequenceNumberOfOpenRequest) {
  server.start();
  auto client = server.connectBalancer();
  auto other = server.connectBalancer();
  other.sendRequest(1, FakeBalancer::requestFields(requestB));
  EXPECT_EQ(engine.nextStartedRequest(), requestB);
  client.sendRequest(1, FakeBalancer::requestFields(requestA));
  EXPECT_EQ(engine.nextStartedRequest(), requestA);
  client.sendRequest(1, FakeBalancer::requestFields(requestC));
  EXPECT_TRUE(client.waitUntilClosed());
  engine.endExecution(requestB);
  EXPECT_EQ(other.receiveResponse().kind, ResponseKind::completed);
}

// Guards against the loss of a request that a client sent before it read the `closing` message, which asks it
// to close the connection: the server answers the request before the connection ends.
TEST_F(ServerClientConnection, IsStillServedWhenAskedToCloseBecauseIdle) {
  server.start();
  std::thread engineThread([&] {
    EXPECT_EQ(engine.nextStartedRequest(), requestA);
  });  // this thread also answers the gauge requests until then
  auto client = server.connectBalancer();
  EXPECT_EQ(client.receiveResponse().kind, ResponseKind::closing);
  client.sendRequest(1, FakeBalancer::requestFields(requestA));
  engineThread.join();
  engine.endExecution(requestA);
  EXPECT_EQ(client.receiveResponse().kind, ResponseKind::completed);
  EXPECT_TRUE(client.waitUntilClosed());
}

// Guards against a response that is dropped because the client shut down its sending side after the request.
TEST_F(ServerClientConnection, GetsItsResponseWhenHalfClosed) {
  server.start();
  auto client = server.connectBalancer();
  client.sendRequest(1, FakeBalancer::requestFields(requestA));
  client.socket().shutdownSend();
  EXPECT_EQ(engine.nextStartedRequest(), requestA);
  engine.endExecution(requestA);
  EXPECT_EQ(client.receiveResponse().kind, ResponseKind::completed);
  EXPECT_TRUE(client.waitUntilClosed());
}

// Guards against unbounded output for a client that sends requests but does not read the responses: the
// server stops reading from it.
TEST_F(ServerClientConnection, IsNotReadWhenItDoesNotReadResponses) {
  server.start();
  auto slow = server.connectBalancer();
  auto client = server.connectBalancer();
  slow.socket().setReceiveBufferSize(64 << 10);
  slow.socket().setSendBufferSize(64 << 10);
  slow.socket().setBlocking(false);
  const auto invalidRequest = FakeBalancer::encodeRequest(1, {}, "");
  std::size_t sent = 0;
  constexpr std::size_t maxBytes = 16 << 20;
  for (int idle = 0; idle < 20 && sent < maxBytes; ++idle) {
    try {
      const auto rest = std::string_view(invalidRequest).substr(sent % invalidRequest.size());
      sent += static_cast<std::size_t>(slow.socket().sendBytes(rest.data(), static_cast<int>(rest.size())));
      idle = 0;
    } catch (const Poco::Exception&) {  // the socket buffers are full
      std::this_thread::sleep_for(10ms);
    }
  }
  EXPECT_LT(sent, maxBytes);
  client.sendHealthCheck();
  EXPECT_EQ(client.receiveResponse().kind, ResponseKind::healthy);
  slow.socket().setBlocking(true);
  ASSERT_GT(sent, invalidRequest.size());
  for (std::size_t i = 0; i < sent / invalidRequest.size(); ++i)
    ASSERT_EQ(slow.receiveResponse().kind, ResponseKind::exception) << i;
}

// Guards against new clients that cannot connect because idle connections occupy all descriptors.
TEST_F(ServerClientConnection, IsEvictedWhenIdleAndDescriptorsAreExhausted) {
  server.endpoints.maxDescriptors = 32;  // 18 for clients
  server.start();
  std::vector<FakeBalancer> clients;
  for (int i = 0; i < 24; ++i) {
    clients.push_back(server.connectBalancer());
    clients.back().sendHealthCheck();
    EXPECT_EQ(clients.back().receiveResponse().kind, ResponseKind::healthy) << i;
  }
  EXPECT_TRUE(clients.front().waitUntilClosed());
  // Connections that never sent a message do not displace one that did.
  auto usedClient = std::move(clients.back());
  clients.clear();
  for (int i = 0; i < 60; ++i) clients.push_back(server.connectBalancer());
  usedClient.sendHealthCheck();
  EXPECT_EQ(usedClient.receiveResponse().kind, ResponseKind::healthy);
}

// Guards against a scan of all connections for each new one when many balancers connect at the limit, and
// against the eviction of a connection with an open request.
TEST_F(ServerClientConnection, IsEvictedWithoutScanningAllWhenManyConnect) {
  server.endpoints.maxDescriptors = 256;  // 144 for clients
  server.start();
  std::vector<FakeBalancer> earlierClients;
  for (int i = 0; i < 140; ++i) {
    earlierClients.push_back(server.connectBalancer());
    earlierClients.back().sendHealthCheck();
    ASSERT_EQ(earlierClients.back().receiveResponse().kind, ResponseKind::healthy) << i;
  }
  auto busy = server.connectBalancer();
  busy.sendRequest(1, FakeBalancer::requestFields("00000000000000a1"));
  EXPECT_EQ(engine.nextStartedRequest(), "00000000000000a1");
  std::vector<FakeBalancer> newClients;
  for (int i = 0; i < 100; ++i) {
    newClients.push_back(server.connectBalancer());
    newClients.back().sendHealthCheck();
    ASSERT_EQ(newClients.back().receiveResponse().kind, ResponseKind::healthy) << i;
  }
  EXPECT_TRUE(earlierClients.front().waitUntilClosed());
  engine.endExecution("00000000000000a1");
  EXPECT_EQ(busy.receiveResponse().kind, ResponseKind::completed);
  EXPECT_LE(server.stopAndCountConnectionsScanned(), 2 * 100u);
}

// Guards against the loss of a complete request that arrives in one segment with invalid bytes after it.
TEST_F(ServerClientConnection, GetsResponseBeforeCloseWhenInvalidBytesFollowRequest) {
  server.start();
  auto client = server.connectBalancer();
  client.send(FakeBalancer::encodeRequest(1, FakeBalancer::requestFields(requestA), "x") +
              std::string(64, '\xff'));
  EXPECT_EQ(engine.nextStartedRequest(), requestA);
  client.send(FakeBalancer::encodeRequest(2, FakeBalancer::requestFields(requestB),
                                          "y"));  // nothing is read after invalid bytes
  engine.endExecution(requestA);
  EXPECT_EQ(client.receiveResponse().kind, ResponseKind::completed);
  EXPECT_TRUE(client.waitUntilClosed());
  auto other = server.connectBalancer();
  other.sendRequest(1, FakeBalancer::requestFields(requestC));
  EXPECT_EQ(engine.nextStartedRequest(), requestC);
}

// Guards against the close of a slow connection: the bytes of one message keep arriving for longer than the
// time after which a connection that stops within a message is closed.
TEST_F(ServerClientConnection, IsReadToTheEndWhenItWritesSlowly) {
  server.start();
  auto client = server.connectBalancer();
  auto fields = FakeBalancer::requestFields(requestA);
  fields["t0"] = std::to_string(std::stoll(fields["t0"]) + 2500);
  const auto message = FakeBalancer::encodeRequest(1, fields, "x");
  const auto step = message.size() / 25 + 1;
  for (std::size_t offset = 0; offset < message.size(); offset += step) {
    client.send(std::string_view(message).substr(offset, step));
    std::this_thread::sleep_for(110ms);
  }
  EXPECT_EQ(engine.nextStartedRequest(), requestA);
  engine.endExecution(requestA);
  EXPECT_EQ(client.receiveResponse().kind, ResponseKind::completed);
}

// Guards against output beyond the memory budget for clients that read nothing: the connections with the most
// pending output are closed, while a client that reads still gets its responses.
TEST_F(ServerClientConnection, IsClosedWhenUnreadOutputExceedsMemoryBudget) {
  // 128 KiB of this memory are for pending output; reading from a connection pauses at 32 KiB of pending
  // output.
  server.endpoints.memoryMb = 1;
  server.start();
  using codec::thrift::Kind, codec::thrift::Writer;
  const auto healthCheck = Writer(Kind::call, "health", 1).stop().finish();  // smaller than its response
  std::string healthChecks;
  for (int i = 0; i < 200; ++i) healthChecks += healthCheck;
  struct NonReadingClient {
    FakeBalancer connection;
    std::size_t sent = 0;
    bool isClosed = false;
  };
  std::vector<NonReadingClient> nonReadingClients(12);
  for (auto& client : nonReadingClients) {
    client.connection = server.connectBalancer();
    client.connection.socket().setReceiveBufferSize(4 << 10);
    client.connection.socket().setBlocking(false);
  }
  auto reader = server.connectBalancer();
  long closedCount = 0;
  for (const auto until = std::chrono::steady_clock::now() + 20s;
       closedCount == 0 && std::chrono::steady_clock::now() < until;) {
    for (auto& [connection, sent, isClosed] : nonReadingClients) try {
        for (int i = 0; i < 100 && !isClosed; ++i) {
          const auto rest = std::string_view(healthChecks).substr(sent % healthCheck.size());
          sent += static_cast<std::size_t>(
              connection.socket().sendBytes(rest.data(), static_cast<int>(rest.size())));
        }
      } catch (const Poco::Exception& error) {
        isClosed = error.code() != EAGAIN;
      }
    closedCount = std::ranges::count(nonReadingClients, true, &NonReadingClient::isClosed);
    reader.sendHealthCheck();
    ASSERT_EQ(reader.receiveResponse().kind, ResponseKind::healthy);
  }
  EXPECT_GT(closedCount, 0);
  EXPECT_LT(closedCount, 12);
}

}  // namespace
}  // namespace rainhook
