/// @file
/// Tests of the limit on the idempotency keys that a server retains.
#include <fmt/format.h>
#include <gtest/gtest.h>

#include "support/test_server.h"

namespace rainhook {
namespace {

class ServerRetainedKeys : public ServerTest {
 protected:
  static constexpr std::size_t longKeyBytes = 5000;

  static std::string nameOf(int number) { return fmt::format("{:016x}", number); }
  static void sendPayment(FakeBalancer& client, int number, const std::string& key) {
    auto fields = FakeBalancer::requestFields(nameOf(number), "pay");
    fields["token"] = key + std::string(longKeyBytes, 'k');
    client.sendRequest(number, fields);
  }
  void endNextExecution() { engine.endExecution(engine.nextStartedRequest(), "ok", "paid"); }
};

// Guards against memory that grows without end while a client sends requests under ever new idempotency keys.
// The server retains as many keys as its memory allows and fails requests with further ones; it still answers
// the duplicates of the retained ones, and reads.
TEST_F(ServerRetainedKeys, StayWithinTheLimitWhenEveryRequestHasANewKey) {
  constexpr int limit = (1 << 20) / 8 / 512;  // an eighth of the memory of 1 MB
  constexpr int batchSize = 2;
  server.endpoints.memoryMb = 1;
  server.settings["classes"][1]["windowNs"] = 60'000'000'000;
  server.start();
  auto client = server.connectBalancer();
  for (int first = 1; first <= limit; first += batchSize) {
    for (int i = 0; i < batchSize; ++i) sendPayment(client, first + i, std::to_string(first + i));
    for (int i = 0; i < batchSize; ++i) endNextExecution();
    for (int i = 0; i < batchSize; ++i) ASSERT_EQ(client.receiveResponse().body, "paid") << first;
  }
  sendPayment(client, limit + 1, "one too many");
  const Response rejected = client.receiveResponse();
  EXPECT_EQ(rejected.kind, ResponseKind::failed);
  EXPECT_EQ(rejected.fields.contains("why") ? rejected.fields.at("why") : "", "too many keys are retained");
  sendPayment(client, limit + 2, "1");  // a duplicate of the first request
  EXPECT_EQ(client.receiveResponse().body, "paid");
  client.sendRequest(limit + 3, FakeBalancer::requestFields(nameOf(limit + 3)));
  EXPECT_EQ(engine.nextStartedRequest(), nameOf(limit + 3));
}

}  // namespace
}  // namespace rainhook
