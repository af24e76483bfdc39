/// @file
/// Tests of requests that come again under the same name.
#include <gtest/gtest.h>

#include <optional>

#include "support/test_server.h"

namespace rainhook {
namespace {

class ServerRepeatedName : public ServerTest {
 protected:
  /// Lets a client send a request and leave, ends its execution with this outcome, and then sends the request
  /// again, followed by another one. Returns the response to the repetition, if it was not started.
  std::optional<Response> repeatAfterClientLeft(const char* outcome) {
    server.start();
    auto fields = FakeBalancer::requestFields(requestA);
    std::optional<FakeBalancer> first = server.connectBalancer();
    first->sendRequest(1, fields);
    EXPECT_EQ(engine.nextStartedRequest(), requestA);
    first.reset();
    engine.endExecution(requestA, outcome, "done");
    FakeBalancer second = server.connectBalancer();
    second.sendRequest(1, FakeBalancer::requestFields(requestB));
    EXPECT_EQ(engine.nextStartedRequest(), requestB);  // the server has read the end of the first execution
    second.sendRequest(2, fields);
    second.sendRequest(3, FakeBalancer::requestFields(requestC));
    if (engine.nextStartedRequest() == requestA) return std::nullopt;
    return second.receiveResponse();
  }
};

// Guards against a second execution of a request that may not be repeated. Its client left during the first
// execution, and the request came again under the same name after that execution had ended.
TEST_F(ServerRepeatedName, IsNotExecutedAgainAfterItsClientLeftWhenItMayNotBeRepeated) {
  server.settings["classes"][0]["effect"] = "single_shot";
  const auto response = repeatAfterClientLeft("ok");
  ASSERT_TRUE(response) << "the request was executed twice";
  EXPECT_EQ(response->sequenceNumber, 2);
  EXPECT_EQ(response->kind, ResponseKind::failed);
}

// Guards against the failure of a request that was never executed: the engine reported that it started
// nothing for its first arrival.
TEST_F(ServerRepeatedName, IsExecutedWhenTheFirstExecutionNeverRan) {
  server.settings["classes"][0]["effect"] = "single_shot";
  EXPECT_FALSE(repeatAfterClientLeft("void"));
}

// Guards against the failure of a read that comes again under the same name, which does no harm.
TEST_F(ServerRepeatedName, IsExecutedAgainWhenItMayBeRepeated) { EXPECT_FALSE(repeatAfterClientLeft("ok")); }

}  // namespace
}  // namespace rainhook
