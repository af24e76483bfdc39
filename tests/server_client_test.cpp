#include <gtest/gtest.h>

#include "support/test_server.h"

namespace rainhook {
namespace {

using namespace std::chrono_literals;

class ServerClientConnection : public ServerTest {};

TEST_F(ServerClientConnection, IsClosedAloneWhenItSendsInvalidBytes) {
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
  client.sendRequest(62, FakeBalancer::requestFields(requestA));  // a name that is in flight
  EXPECT_EQ(client.receiveResponse().sequenceNumber, 62);
  engine.endExecution(requestA);
  EXPECT_EQ(client.receiveResponse().sequenceNumber, 61);
  client.sendHealthCheck();
  EXPECT_EQ(client.receiveResponse().kind, ResponseKind::healthy);
}

// Balancers that restart come with new client numbers, however high.
TEST_F(ServerClientConnection, MayBelongToAnyClientNumber) {
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

// An arrival time that is far off must mislead neither the load estimate nor the deadline.
TEST_F(ServerClientConnection, GetsExceptionWhenArrivalTimeIsFarOff) {
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
  EXPECT_EQ(client.receiveResponse().fields.at("hint"), "1.0000");  // none of them counted as load
}

// A connection that is silent or stops within a message is closed in time; one with an open request is not.
TEST_F(ServerClientConnection, IsClosedWhenSilentOrWithinAMessage) {
  server.start();
  const auto began = std::chrono::steady_clock::now();
  auto silent = server.connectBalancer();
  auto half = server.connectBalancer();
  auto client = server.connectBalancer();
  half.sendHealthCheck();
  EXPECT_EQ(half.receiveResponse().kind, ResponseKind::healthy);
  half.send(FakeBalancer::encodeRequest(1, FakeBalancer::requestFields(requestB), "x").substr(0, 40));
  client.sendRequest(1, FakeBalancer::requestFields(requestA));
  EXPECT_EQ(engine.nextStartedRequest(), requestA);
  EXPECT_TRUE(silent.waitUntilClosed());
  EXPECT_TRUE(half.waitUntilClosed());
  EXPECT_LT(std::chrono::steady_clock::now() - began, 2700ms);
  client.sendHealthCheck();
  EXPECT_EQ(client.receiveResponse().kind, ResponseKind::healthy);
}

// The protocol allows 32 open requests on a connection; what exceeds them is rejected at once.
TEST_F(ServerClientConnection, GetsExceptionsBeyondProtocolLimitOfOpenRequests) {
  server.start();
  auto client = server.connectBalancer();
  std::string all;
  for (std::int32_t i = 1; i <= 100; ++i)
    all += FakeBalancer::encodeRequest(
        i, FakeBalancer::requestFields("00000000000001" + std::to_string(10 + i % 90)), "x");
  client.send(all);
  std::vector<std::int32_t> rejected;
  for (Response response = client.receiveResponse(); response.sequenceNumber != 100;
       response = client.receiveResponse())
    if (response.kind == ResponseKind::exception) rejected.push_back(response.sequenceNumber);
  EXPECT_EQ(rejected.size(), 67u);
  EXPECT_EQ(rejected.front(), 33);
}

// A second request with an open sequence number would take the response of the first for its own.
TEST_F(ServerClientConnection, IsClosedWhenItReusesAnOpenSequenceNumber) {
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

// A request that was sent before the client read `closing` is still answered, and then the connection ends.
TEST_F(ServerClientConnection, IsAskedToCloseWhenIdleAndStillServed) {
  server.start();
  std::thread engineThread([&] {
    EXPECT_EQ(engine.nextStartedRequest(), requestA);
  });  // and answers the requests for gauges meanwhile
  auto client = server.connectBalancer();
  EXPECT_EQ(client.receiveResponse().kind, ResponseKind::closing);
  client.sendRequest(1, FakeBalancer::requestFields(requestA));
  engineThread.join();
  engine.endExecution(requestA);
  EXPECT_EQ(client.receiveResponse().kind, ResponseKind::completed);
  EXPECT_TRUE(client.waitUntilClosed());
}

TEST_F(ServerClientConnection, GetsItsResponseAfterHalfClose) {
  server.start();
  auto client = server.connectBalancer();
  client.sendRequest(1, FakeBalancer::requestFields(requestA));
  client.socket().shutdownSend();
  EXPECT_EQ(engine.nextStartedRequest(), requestA);
  engine.endExecution(requestA);
  EXPECT_EQ(client.receiveResponse().kind, ResponseKind::completed);
  EXPECT_TRUE(client.waitUntilClosed());
}

// A client that does not read its responses is not read either, so that what waits for it stays bounded.
TEST_F(ServerClientConnection, IsNotReadWhileItDoesNotReadResponses) {
  server.start();
  auto slow = server.connectBalancer();
  auto client = server.connectBalancer();
  slow.socket().setReceiveBufferSize(64 << 10);
  slow.socket().setSendBufferSize(64 << 10);
  slow.socket().setBlocking(false);
  const auto bad = FakeBalancer::encodeRequest(1, {}, "");
  std::size_t sent = 0;
  constexpr std::size_t maxBytes = 16 << 20;
  for (int idle = 0; idle < 20 && sent < maxBytes; ++idle) {
    try {
      const auto rest = std::string_view(bad).substr(sent % bad.size());
      sent += static_cast<std::size_t>(slow.socket().sendBytes(rest.data(), static_cast<int>(rest.size())));
      idle = 0;
    } catch (const Poco::Exception&) {  // it takes no more for now
      std::this_thread::sleep_for(10ms);
    }
  }
  EXPECT_LT(sent, maxBytes);
  client.sendHealthCheck();
  EXPECT_EQ(client.receiveResponse().kind, ResponseKind::healthy);
  slow.socket().setBlocking(true);
  ASSERT_GT(sent, bad.size());
  for (std::size_t i = 0; i < sent / bad.size(); ++i)
    ASSERT_EQ(slow.receiveResponse().kind, ResponseKind::exception) << i;
}

TEST_F(ServerClientConnection, GivesWayWhenIdleAndDescriptorsAreUsedUp) {
  server.endpoints.maxDescriptors = 32;  // 18 for clients
  server.start();
  std::vector<FakeBalancer> clients;
  for (int i = 0; i < 24; ++i) {
    clients.push_back(server.connectBalancer());
    clients.back().sendHealthCheck();
    EXPECT_EQ(clients.back().receiveResponse().kind, ResponseKind::healthy) << i;
  }
  EXPECT_TRUE(clients.front().waitUntilClosed());
  // Silent connections do not displace one that was used.
  auto known = std::move(clients.back());
  clients.clear();
  for (int i = 0; i < 60; ++i) clients.push_back(server.connectBalancer());
  known.sendHealthCheck();
  EXPECT_EQ(known.receiveResponse().kind, ResponseKind::healthy);
}

// Many balancers connect at once while the limit is reached: idle connections are evicted without a scan of
// all, and one with an open request stays.
TEST_F(ServerClientConnection, IsEvictedWithoutScanningAllWhenManyConnect) {
  server.endpoints.maxDescriptors = 256;  // 144 for clients
  server.start();
  std::vector<FakeBalancer> known;
  for (int i = 0; i < 140; ++i) {
    known.push_back(server.connectBalancer());
    known.back().sendHealthCheck();
    ASSERT_EQ(known.back().receiveResponse().kind, ResponseKind::healthy) << i;
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
  EXPECT_TRUE(known.front().waitUntilClosed());
  engine.endExecution("00000000000000a1");
  EXPECT_EQ(busy.receiveResponse().kind, ResponseKind::completed);
  EXPECT_LE(server.stopAndCountConnectionsScanned(), 2 * 100u);
}

// Invalid bytes after a complete request, in one segment.
TEST_F(ServerClientConnection, AnswersRequestBeforeInvalidBytesThenCloses) {
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

// Its bytes keep coming, for longer than a connection that stops within a message is kept.
TEST_F(ServerClientConnection, IsReadToTheEndWhenItWritesSlowly) {
  server.start();
  auto client = server.connectBalancer();
  auto fields = FakeBalancer::requestFields(requestA);
  fields["t0"] = std::to_string(std::stoll(fields["t0"]) + 2500);
  const auto message = FakeBalancer::encodeRequest(1, fields, "x");
  const auto step = message.size() / 25 + 1;
  for (std::size_t at = 0; at < message.size(); at += step) {
    client.send(std::string_view(message).substr(at, step));
    std::this_thread::sleep_for(110ms);
  }
  EXPECT_EQ(engine.nextStartedRequest(), requestA);
  engine.endExecution(requestA);
  EXPECT_EQ(client.receiveResponse().kind, ResponseKind::completed);
}

// More output waits for clients that read nothing than the memory budget allows: those furthest behind are
// closed, and a client that reads gets its responses all the while.
TEST_F(ServerClientConnection, IsClosedWhenUnreadOutputExceedsMemoryBudget) {
  // 128 kB of it for what waits to be sent; a connection with 32 kB waiting is not read on.
  server.endpoints.memoryMb = 1;
  server.start();
  using codec::thrift::Kind, codec::thrift::Writer;
  const auto healthCheck = Writer(Kind::call, "health", 1).stop().finish();  // shorter than its response
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
