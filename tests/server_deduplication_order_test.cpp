// Searches the orders in which the attempts of one keyed request, their cancellations and the end of their
// executions can reach the server.
#include <fmt/format.h>
#include <gtest/gtest.h>

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "support/test_server.h"

namespace rainhook {
namespace {

class ServerDeduplicationOrder : public ServerTest {
 protected:
  struct Attempt {
    std::string name;
    bool isCancelled = false;
    int responseCount = 0;
  };

  ServerDeduplicationOrder() {
    server.start();
    client = server.connectBalancer();
    client.socket().setNoDelay(true);
    engine.connection.socket().setNoDelay(true);
  }

  int randomUpTo(int max) { return std::uniform_int_distribution(0, max)(random); }

  std::string nextName() { return fmt::format("{:016x}", ++lastNumber); }

  // Occupies both cores, so that the attempts of this round are queued at first.
  void occupyCores() {
    while (busy.size() < 2) {
      busy.push_back(nextName());
      client.sendRequest(lastNumber, FakeBalancer::requestFields(busy.back()));
      EXPECT_EQ(engine.nextStartedRequest(), busy.back());
    }
  }

  void freeOneCore() {
    engine.endExecution(busy.back());
    busy.pop_back();
  }

  // Returns the bytes of a new attempt, or of the cancellation of an earlier one.
  std::string nextMessage(const std::string& key) {
    std::vector<std::int32_t> open;
    for (const auto& [number, attempt] : attempts)
      if (!attempt.isCancelled) open.push_back(number);
    if (!open.empty() && randomUpTo(9) < 4) {
      const std::int32_t number =
          open[static_cast<std::size_t>(randomUpTo(static_cast<int>(open.size()) - 1))];
      attempts[number].isCancelled = true;
      return FakeBalancer::encodeCancellation(number);
    }
    const std::string name = nextName();
    attempts[lastNumber].name = name;
    return FakeBalancer::encodeRequest(lastNumber, FakeBalancer::keyedRequestFields(name, key), "body");
  }

  // Sends up to four batches of messages. The server reads each batch in one iteration. Now and then a core
  // becomes free before a batch, so that an attempt is started before its cancellation is read.
  void sendBatches(const std::string& key) {
    for (int batch = randomUpTo(3); batch >= 0; --batch) {
      if (!busy.empty() && randomUpTo(3) == 0) freeOneCore();
      std::string bytes;
      for (int message = randomUpTo(4); message >= 0; --message) bytes += nextMessage(key);
      client.send(bytes);
      waitUntilAllMessagesAreRead();
    }
  }

  // Responses to attempts may arrive before the response to the health check.
  void waitUntilAllMessagesAreRead() {
    client.sendHealthCheck();
    while (!HasFailure()) {
      const Response response = client.receiveResponse();
      if (response.kind == ResponseKind::healthy) return;
      record(response);
    }
  }

  void record(const Response& response) {
    ASSERT_NE(response.kind, ResponseKind::none) << "a response is missing";
    const auto attempt = attempts.find(response.sequenceNumber);
    if (attempt != attempts.end()) ++attempt->second.responseCount;
  }

  bool isAnyAttemptUnanswered() const {
    for (const auto& [number, attempt] : attempts)
      if (!attempt.isCancelled && attempt.responseCount == 0) return true;
    return false;
  }

  // Ends the execution of an attempt and returns whether the attempt was executed. A cancelled attempt may be
  // reported as void, and others are rejected now and then; neither counts as executed.
  bool endStartedAttempt(const std::string& name) {
    const auto number = static_cast<std::int32_t>(std::stol(name, nullptr, 16));
    if (attempts[number].isCancelled && randomUpTo(1) == 0) {
      engine.endExecution(name, "void", "");
      return false;
    }
    if (!attempts[number].isCancelled && randomUpTo(9) == 0) {
      engine.rejectStart(name);
      receiveUntil([&] { return attempts[number].responseCount > 0; });
      return false;
    }
    engine.endExecution(name, randomUpTo(9) == 0 ? "failed" : "ok", "paid");
    return true;
  }

  // Ends executions until all attempts are answered, and returns how many attempts were executed.
  int executeUntilAllAreAnswered() {
    int executed = 0;
    while (isAnyAttemptUnanswered() && !HasFailure()) {
      if (!endStartedAttempt(engine.nextStartedRequest())) continue;
      ++executed;
      receiveUntil([&] { return !isAnyAttemptUnanswered(); });
    }
    return executed;
  }

  template <typename Condition>
  void receiveUntil(Condition condition) {
    while (!condition() && !HasFailure()) record(client.receiveResponse());
  }

  // Returns how many more attempts were started. They were started before a request that is sent now, since a
  // core is free.
  int countFurtherExecutions() {
    const std::string last = nextName();
    client.sendRequest(lastNumber, FakeBalancer::requestFields(last));
    int executed = 0;
    for (std::string name = engine.nextStartedRequest(); name != last; name = engine.nextStartedRequest()) {
      if (endStartedAttempt(name)) ++executed;
    }
    engine.endExecution(last);
    for (Response response; response.sequenceNumber != lastNumber && !HasFailure(); record(response))
      response = client.receiveResponse();
    return executed;
  }

  FakeBalancer client;
  std::mt19937 random{20261204};
  std::int32_t lastNumber = 0;
  std::vector<std::string> busy;             // requests that occupy the cores
  std::map<std::int32_t, Attempt> attempts;  // of this round, by their number
};

// Guards against orders of attempts and cancellations in which a keyed request is executed twice, or an
// attempt gets no response or two.
TEST_F(ServerDeduplicationOrder, ExecutesKeyedRequestOnceWhenAttemptsAndCancellationsComeInAnyOrder) {
  constexpr int rounds = 2000;
  for (int round = 0; round < rounds && !HasFailure(); ++round) {
    SCOPED_TRACE(fmt::format("round {}", round));
    attempts.clear();
    occupyCores();
    sendBatches(fmt::format("key {}", round));
    while (!busy.empty()) freeOneCore();
    waitUntilAllMessagesAreRead();
    const int executed = executeUntilAllAreAnswered() + countFurtherExecutions();
    EXPECT_LE(executed, 1);
    for (const auto& [number, attempt] : attempts)
      EXPECT_LE(attempt.responseCount, 1) << "attempt " << number;
  }
}

}  // namespace
}  // namespace rainhook
