#include <fmt/format.h>
#include <gtest/gtest.h>

#include <iterator>
#include <set>

#include "support/test_server.h"

namespace rainhook {
namespace {

using namespace std::chrono_literals;

class ServerDeduplication : public ServerTest {};

// Guards against a second execution for a duplicate that is read while its original executes or after it has
// ended.
TEST_F(ServerDeduplication, AnswersDuplicatesFromOriginalWhenKeyedRequestIsRepeated) {
  server.start();
  auto client = server.connectBalancer();
  const auto sendPayment = [&](std::int32_t number, const std::string& name) {
    auto fields = FakeBalancer::requestFields(name, "pay");
    fields["token"] = "t1";
    client.sendRequest(number, fields);
  };
  sendPayment(1, requestA);
  EXPECT_EQ(engine.nextStartedRequest(), requestA);
  sendPayment(2, requestB);  // a duplicate while the original is executing
  engine.endExecution(requestA, "ok", "paid");
  std::map<std::int32_t, std::string> results;
  for (int i = 0; i < 2; ++i) {
    const auto response = client.receiveResponse();
    results[response.sequenceNumber] = response.body;
  }
  sendPayment(3, requestC);  // a duplicate after the original has ended
  results[client.receiveResponse().sequenceNumber] += "paid";
  EXPECT_EQ(results, (std::map<std::int32_t, std::string>{{1, "paid"}, {2, "paid"}, {3, "paid"}}));
  client.sendRequest(4, FakeBalancer::requestFields("00000000000000a4"));
  EXPECT_EQ(engine.nextStartedRequest(), "00000000000000a4");  // no duplicate was started before it
}

// Guards against the execution of a duplicate that is read in the same iteration of the event loop as its
// original. Also guards against the execution or shedding of a duplicate that arrived within the
// deduplication window but is read after its end.
TEST_F(ServerDeduplication, ExecutesKeyedRequestOnceWhenDuplicateIsReadVeryEarlyOrLate) {
  server.settings["classes"][1]["windowNs"] = 100000000;
  server.start();
  auto client = server.connectBalancer();
  auto fields = FakeBalancer::requestFields(requestA, "pay");
  fields["token"] = "t1";
  const auto arrivedAtMs = std::stoll(fields["t0"]);
  const auto original = FakeBalancer::encodeRequest(1, fields, "x");
  fields["rid"] = requestB;
  client.send(original + FakeBalancer::encodeRequest(2, fields, "x"));
  EXPECT_EQ(engine.nextStartedRequest(), requestA);
  engine.endExecution(requestA, "ok", "paid");
  EXPECT_EQ(client.receiveResponse().body, "paid");
  EXPECT_EQ(client.receiveResponse().body, "paid");
  std::this_thread::sleep_for(400ms);
  fields["rid"] = requestC;
  fields["t0"] = std::to_string(arrivedAtMs + 80);
  client.sendRequest(3, fields, "x");
  EXPECT_EQ(client.receiveResponse().fields.at("why"), "the first try failed");
  fields["rid"] = "00000000000000a4";
  fields["t0"] = std::to_string(arrivedAtMs + 300);  // after the window, so this is not a duplicate
  client.sendRequest(4, fields);
  EXPECT_EQ(engine.nextStartedRequest(), "00000000000000a4");
}

// Guards against a second execution for a read of a resource while an earlier read of the same resource
// executes.
TEST_F(ServerDeduplication, SharesPendingResultWhenResourceIsReadTwice) {
  server.start();
  auto client = server.connectBalancer();
  auto fields = FakeBalancer::requestFields(requestA);
  fields["obj"] = "7f3a9c21e0b4d655";
  client.sendRequest(1, fields);
  EXPECT_EQ(engine.nextStartedRequest(), requestA);
  fields["rid"] = requestB;
  client.sendRequest(2, fields);
  client.sendHealthCheck();
  EXPECT_EQ(client.receiveResponse().kind, ResponseKind::healthy);  // the duplicate has been read
  engine.endExecution(requestA, "ok", "shared");
  EXPECT_EQ(client.receiveResponse().body, "shared");
  EXPECT_EQ(client.receiveResponse().body, "shared");
}

// A request with the key of another request but a different body or tenant is not a duplicate. Guards against
// such a request getting the result of the original, or being executed in addition to it.
TEST_F(ServerDeduplication, FailsRequestWhenPayloadConflictsWithItsKey) {
  server.start();
  auto client = server.connectBalancer();
  client.sendRequest(1, FakeBalancer::keyedRequestFields(requestA), "x");
  EXPECT_EQ(engine.nextStartedRequest(), requestA);
  const auto conflicts = [&](std::int32_t number, const codec::thrift::Fields& fields, const char* body) {
    client.sendRequest(number, fields, body);
    const auto response = client.receiveResponse();
    EXPECT_EQ(response.sequenceNumber, number);
    EXPECT_EQ(response.fields.at("why"), "its key came with another content");
  };
  conflicts(2, FakeBalancer::keyedRequestFields(requestB), "y");  // while the original is executing
  auto other = FakeBalancer::keyedRequestFields(requestB);
  other["acct"] = "other";
  conflicts(3, other, "x");
  engine.endExecution(requestA, "ok", "paid");
  EXPECT_EQ(client.receiveResponse().body, "paid");
  conflicts(4, FakeBalancer::keyedRequestFields(requestB), "y");  // after the original has ended
  client.sendRequest(5, FakeBalancer::keyedRequestFields(requestC), "x");
  EXPECT_EQ(client.receiveResponse().body, "paid");
  // Both requests are read in one iteration of the event loop.
  client.send(FakeBalancer::encodeRequest(6, FakeBalancer::keyedRequestFields(requestA, "k2"), "x") +
              FakeBalancer::encodeRequest(7, FakeBalancer::keyedRequestFields(requestB, "k2"), "y"));
  EXPECT_EQ(client.receiveResponse().fields.at("why"), "its key came with another content");
  EXPECT_EQ(engine.nextStartedRequest(), requestA);
  EXPECT_EQ(server.stopAndCountInFlight().executing, 1u);
}

// Guards against a deduplication window whose end is off by a millisecond. The duplicates arrive in the last
// millisecond of a short window and in the first one after it, by the client's clock.
TEST(ServerDeduplicationWindow, EndsAtExactMillisecondWhenWindowIsShort) {
  for (int round = 0; round < 20; ++round) {
    TestServer server;
    ScriptedEngine& engine = server.peers.engine;
    server.settings["classes"][1]["windowNs"] = 100'000'000;
    server.start();
    auto client = server.connectBalancer();
    auto fields = FakeBalancer::keyedRequestFields(requestA);
    const auto arrivedAtMs =
        std::stoll(fields["t0"]) - 1000;  // all three arrived before now and are read late
    fields["t0"] = std::to_string(arrivedAtMs);
    client.sendRequest(1, fields, "x");
    EXPECT_EQ(engine.nextStartedRequest(), requestA);
    engine.endExecution(requestA, "ok", "paid");
    EXPECT_EQ(client.receiveResponse().body, "paid");
    fields["rid"] = requestB;
    // The last millisecond of the window, which includes the tolerance of the protocol.
    fields["t0"] = std::to_string(arrivedAtMs + 151);
    client.sendRequest(2, fields, "x");
    // The result is no longer cached, but the duplicate must not be executed.
    EXPECT_EQ(client.receiveResponse().kind, ResponseKind::failed);
    fields["rid"] = requestC;
    fields["t0"] = std::to_string(arrivedAtMs + 153);
    client.sendRequest(3, fields, "x");
    EXPECT_EQ(engine.nextStartedRequest(), requestC);
  }
}

// Guards against the execution of a duplicate that is read long after its window because its client waits for
// a long time.
TEST_F(ServerDeduplication, DoesNotExecuteDuplicateWhenItWasUnreadLongerThanTheWindow) {
  server.settings["classes"][1]["windowNs"] = 100'000'000;
  server.settings["classes"][1]["aimNs"] = 20'000'000'000;
  server.settings["classes"][1]["hardLimitNs"] = 20'000'000'000;
  server.start();
  auto client = server.connectBalancer();
  auto fields = FakeBalancer::keyedRequestFields(requestA);
  fields["budget"] = "20000";
  fields["t0"] = std::to_string(std::stoll(fields["t0"]) - 12'000);
  client.sendRequest(1, fields, "x");
  EXPECT_EQ(engine.nextStartedRequest(), requestA);
  engine.endExecution(requestA, "ok", "paid");
  EXPECT_EQ(client.receiveResponse().kind, ResponseKind::completed);
  client.sendHealthCheck();
  EXPECT_EQ(client.receiveResponse().kind, ResponseKind::healthy);
  fields["rid"] = requestB;
  client.sendRequest(2, fields, "x");
  EXPECT_EQ(client.receiveResponse().kind, ResponseKind::failed);
}

// Guards against a failure of a duplicate that may be executed: its cancelled original was the second use of
// the key, and the cache still has the first one, whose window has ended.
TEST_F(ServerDeduplication, ExecutesDuplicateWhenCancelledOriginalUsedKeyAgainAfterItsWindow) {
  server.settings["classes"][1]["windowNs"] = 100'000'000;
  server.start();
  auto client = server.connectBalancer();
  auto fields = FakeBalancer::keyedRequestFields(requestA);
  fields["t0"] = std::to_string(std::stoll(fields["t0"]) - 200);  // its window has ended when it is read
  client.sendRequest(1, fields, "body");
  EXPECT_EQ(engine.nextStartedRequest(), requestA);
  engine.endExecution(requestA);
  EXPECT_EQ(client.receiveResponse().kind, ResponseKind::completed);
  const std::string busyRequests[] = {"00000000000000c1", "00000000000000c2"};
  std::int32_t number = 1;
  for (const std::string& name : busyRequests) {
    client.sendRequest(++number, FakeBalancer::requestFields(name));
    EXPECT_EQ(engine.nextStartedRequest(), name);
  }
  client.sendRequest(4, FakeBalancer::keyedRequestFields(requestB), "body");
  client.sendHealthCheck();
  EXPECT_EQ(client.receiveResponse().kind, ResponseKind::healthy);
  client.send(FakeBalancer::encodeRequest(5, FakeBalancer::keyedRequestFields(requestC), "body") +
              FakeBalancer::encodeCancellation(4));
  client.sendHealthCheck();
  EXPECT_EQ(client.receiveResponse().kind, ResponseKind::healthy);
  engine.endExecution(busyRequests[0]);
  EXPECT_EQ(engine.nextStartedRequest(), requestC);
}

// Tests a duplicate that loses its original and is given up by the policy in one batch.
class ServerGivenUpDuplicate : public ServerTest {
 protected:
  static constexpr int maxExecutions = 2;  // by the settings, whatever the concurrency limit is
  static constexpr auto timeLeft = 25ms;   // within the margin in which the policy gives a request up

  ServerGivenUpDuplicate() {
    server.settings["classes"][1]["lateWorth"] = 0.5;
    // The cores sustain four executions; the policy uses nine tenths of them, less one.
    server.settings["invariants"]["fallMultiple"] = 2.0;
    server.start();
    client = server.connectBalancer();
  }

  std::string nextName() { return fmt::format("{:016x}", ++lastNumber_); }
  std::int32_t lastNumber() const { return lastNumber_; }

  // Sends a request whose execution must start at once, and returns its name.
  std::string startExecution(const std::string& handler = "read") {
    const std::string name = nextName();
    client.sendRequest(lastNumber_, FakeBalancer::requestFields(name, handler));
    EXPECT_EQ(engine.nextStartedRequest(), name);
    return name;
  }

  void endExecution(const std::string& name) {
    engine.endExecution(name);
    EXPECT_EQ(client.receiveResponse().kind, ResponseKind::completed);
  }

  // In one batch, an execution ends, a queued original is cancelled, and its duplicate has no time left.
  void giveUpDuplicateOfCancelledOriginal(const std::string& executing) {
    auto fields = FakeBalancer::keyedRequestFields(nextName());
    const std::int32_t original = lastNumber_;
    client.sendRequest(original, fields);
    client.sendHealthCheck();
    EXPECT_EQ(client.receiveResponse().kind, ResponseKind::healthy);
    server.whilePaused([&] {
      fields["rid"] = nextName();
      fields["t0"] = FakeBalancer::requestFields(fields["rid"])["t0"];
      fields["budget"] = std::to_string(timeLeft.count());
      client.send(FakeBalancer::encodeRequest(lastNumber_, fields, "body") +
                  FakeBalancer::encodeCancellation(original));
      engine.endExecution(executing);
    });
    EXPECT_NE(client.receiveResponse().sequenceNumber, original);
    EXPECT_NE(client.receiveResponse().sequenceNumber, original);
  }

  FakeBalancer client;

 private:
  std::int32_t lastNumber_ = 0;
};

// Guards against a place on the cores that is never freed: the duplicate must not reach the policy as a new
// arrival after it was given up. After as many leaks as there are places, nothing would be executed.
TEST_F(ServerGivenUpDuplicate, TakesNoPlaceOnTheCoresWhenItsOriginalIsCancelledInSameIteration) {
  for (int i = 0; i < 30; ++i) endExecution(startExecution("pay"));  // the policy learns that these are short
  std::string executing = startExecution();
  startExecution();  // occupies the other core throughout
  for (int round = 0; round <= maxExecutions; ++round) {
    giveUpDuplicateOfCancelledOriginal(executing);
    executing = startExecution();
    if (HasFailure()) return;
  }
}

// Tests how an original ends while duplicates wait for it. If the original was never executed, one of its
// duplicates is executed and the others get its result. Both cores are busy initially, so that requests are
// queued.
class ServerOriginalRace : public ServerTest {
 protected:
  static constexpr std::int32_t originalNumber = 3;
  static constexpr std::int32_t duplicateNumbers[] = {4, 5};
  static constexpr std::int32_t laterNumber = 6;
  const std::string busyRequests[2] = {"00000000000000c1", "00000000000000c2"};
  const std::string laterRequest = "00000000000000c6";

  ServerOriginalRace() {
    server.start();
    client = server.connectBalancer();
    std::int32_t number = 0;
    for (const std::string& name : busyRequests) {
      client.sendRequest(++number, FakeBalancer::requestFields(name));
      EXPECT_EQ(engine.nextStartedRequest(), name);
    }
  }

  // Expects that only one of the two waiting duplicates is started and that both get its result.
  void expectOneExecutionForBothDuplicates() {
    EXPECT_EQ(engine.nextStartedRequest(), requestB);
    engine.endExecution(requestB, "ok", "paid");
    for (const std::int32_t number : duplicateNumbers) {
      const Response response = client.receiveResponse();
      EXPECT_EQ(response.sequenceNumber, number);
      EXPECT_EQ(response.body, "paid");
    }
    client.sendRequest(laterNumber, FakeBalancer::requestFields(laterRequest));
    EXPECT_EQ(engine.nextStartedRequest(), laterRequest);
  }

  // Expects that only one of the two duplicates is started, whichever it is, and that both get its result.
  void expectOneExecutionForEitherDuplicate() {
    const std::string started = engine.nextStartedRequest();
    EXPECT_TRUE(started == requestB || started == requestC) << started;
    engine.endExecution(started, "ok", "paid");
    std::set<std::int32_t> answered;
    for (std::size_t i = 0; i < std::size(duplicateNumbers); ++i) {
      const Response response = client.receiveResponse();
      answered.insert(response.sequenceNumber);
      EXPECT_EQ(response.body, "paid");
    }
    EXPECT_EQ(answered, std::set(std::begin(duplicateNumbers), std::end(duplicateNumbers)));
    client.sendRequest(laterNumber, FakeBalancer::requestFields(laterRequest));
    EXPECT_EQ(engine.nextStartedRequest(), laterRequest);
  }

  void waitUntilAllMessagesAreRead() {
    client.sendHealthCheck();
    EXPECT_EQ(client.receiveResponse().kind, ResponseKind::healthy);
  }

  void sendBothDuplicates() {
    client.sendRequest(duplicateNumbers[0], FakeBalancer::keyedRequestFields(requestB));
    client.sendRequest(duplicateNumbers[1], FakeBalancer::keyedRequestFields(requestC));
    waitUntilAllMessagesAreRead();
  }

  // Starts the original and sends both duplicates, which wait for it.
  void startOriginal() {
    freeOneCore();
    client.sendRequest(originalNumber, FakeBalancer::keyedRequestFields(requestA));
    EXPECT_EQ(engine.nextStartedRequest(), requestA);
    sendBothDuplicates();
  }

  void freeOneCore() {
    engine.endExecution(busyRequests[0]);
    EXPECT_EQ(client.receiveResponse().sequenceNumber, 1);
  }

  FakeBalancer client;
};

TEST_F(ServerOriginalRace, OnlyOneDuplicateIsExecutedWhenOriginalIsCancelledInQueue) {
  client.sendRequest(originalNumber, FakeBalancer::keyedRequestFields(requestA));
  sendBothDuplicates();
  client.sendCancellation(originalNumber);
  waitUntilAllMessagesAreRead();
  freeOneCore();
  expectOneExecutionForBothDuplicates();
}

TEST_F(ServerOriginalRace, OnlyOneDuplicateIsExecutedWhenOriginalIsCancelledInSameIteration) {
  client.send(
      FakeBalancer::encodeRequest(originalNumber, FakeBalancer::keyedRequestFields(requestA), "body") +
      FakeBalancer::encodeRequest(duplicateNumbers[0], FakeBalancer::keyedRequestFields(requestB), "body") +
      FakeBalancer::encodeRequest(duplicateNumbers[1], FakeBalancer::keyedRequestFields(requestC), "body") +
      FakeBalancer::encodeCancellation(originalNumber));
  waitUntilAllMessagesAreRead();
  freeOneCore();
  expectOneExecutionForBothDuplicates();
}

// Guards against two executions of one keyed request, as after a pause of the process: the cancellation of
// the queued original is read between two of its duplicates. The first of them then has no original any more,
// and the second one becomes an original of its own.
TEST_F(ServerOriginalRace, OnlyOneDuplicateIsExecutedWhenOriginalIsCancelledBetweenThem) {
  client.sendRequest(originalNumber, FakeBalancer::keyedRequestFields(requestA));
  waitUntilAllMessagesAreRead();
  client.send(
      FakeBalancer::encodeRequest(duplicateNumbers[0], FakeBalancer::keyedRequestFields(requestB), "body") +
      FakeBalancer::encodeCancellation(originalNumber) +
      FakeBalancer::encodeRequest(duplicateNumbers[1], FakeBalancer::keyedRequestFields(requestC), "body"));
  waitUntilAllMessagesAreRead();
  freeOneCore();
  expectOneExecutionForEitherDuplicate();
}

TEST_F(ServerOriginalRace, OnlyOneDuplicateIsExecutedWhenOriginalIsShed) {
  auto fields = FakeBalancer::keyedRequestFields(requestA);
  fields["budget"] = "250";
  client.sendRequest(originalNumber, fields);
  sendBothDuplicates();
  const auto response = client.receiveResponse();
  EXPECT_EQ(response.sequenceNumber, originalNumber);
  EXPECT_EQ(response.kind, ResponseKind::shed);
  freeOneCore();
  expectOneExecutionForBothDuplicates();
}

TEST_F(ServerOriginalRace, OnlyOneDuplicateIsExecutedWhenEngineRejectsOriginal) {
  startOriginal();
  engine.rejectStart(requestA);
  EXPECT_EQ(client.receiveResponse().kind, ResponseKind::failed);
  expectOneExecutionForBothDuplicates();
}

TEST_F(ServerOriginalRace, OnlyOneDuplicateIsExecutedWhenOriginalIsSuperseded) {
  startOriginal();
  client.sendCancellation(originalNumber);
  waitUntilAllMessagesAreRead();
  engine.endExecution(requestA, "void", "");
  expectOneExecutionForBothDuplicates();
}

// Guards against the execution of a duplicate in addition to its original: an original that was started may
// be executed even if its client cancels it.
TEST_F(ServerOriginalRace, DuplicatesAwaitOriginalWhenItIsCancelledWhileExecuting) {
  startOriginal();
  client.sendCancellation(originalNumber);
  waitUntilAllMessagesAreRead();
  engine.endExecution(busyRequests[1]);
  EXPECT_EQ(client.receiveResponse().sequenceNumber, 2);
  client.sendRequest(laterNumber, FakeBalancer::requestFields(laterRequest));
  EXPECT_EQ(engine.nextStartedRequest(), laterRequest);
  engine.endExecution(requestA, "ok", "paid");
  EXPECT_EQ(client.receiveResponse().body, "paid");
  EXPECT_EQ(client.receiveResponse().body, "paid");
}

}  // namespace
}  // namespace rainhook
