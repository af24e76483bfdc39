// Tests of the policy's decisions about executions that may not have received their downstream reply.
#include "decision/uncertain_replies.h"

#include <gtest/gtest.h>

#include "../protocol_model.h"

namespace rainhook {
namespace {

class UncertainReplyTest : public ::testing::Test {
 protected:
  static constexpr Duration shortestPatience = 250ms;

  /// Starts an execution and completes its first downstream call; the delivery of the reply is uncertain.
  RequestId executeWithUncertainReply() {
    const RequestId id = model.arrive();
    model.advance(0ms);
    model.requestCall(id);
    model.advance(0ms);
    model.endCall(id, Outcome::completed);
    model.advance(0ms);
    model.pendingEvents.emplace_back(ReplyDeliveryUncertain{id});
    model.advance(0ms);
    EXPECT_EQ(model.requests.at(id).state, RequestState::executing);
    return id;
  }

  int answersTo(RequestId id) const { return model.requests.at(id).answerCount; }

  ProtocolModel model;
};

// Guards against an execution that keeps its core until its deadline, and against one that is given up while
// it may still report something.
TEST_F(UncertainReplyTest, RequestIsShedWhenExecutionReportsNothingInTime) {
  model.open();
  const RequestId id = executeWithUncertainReply();
  model.advance(shortestPatience - 10ms);
  EXPECT_EQ(answersTo(id), 0);
  model.advance(50ms);
  EXPECT_EQ(model.requests.at(id).shedCount, 1);
  EXPECT_EQ(model.discouragedRetries, 0);  // another server may succeed
}

// Guards against giving up executions that usually take longer than the shortest patience.
TEST_F(UncertainReplyTest, IsAwaitedLongerWhenExecutionsTakeLonger) {
  model.open();
  for (int i = 0; i < 30; ++i) {
    const RequestId id = model.arrive();
    model.advance(400ms);
    model.endExecution(id);
    model.advance(0ms);
  }
  const RequestId id = executeWithUncertainReply();
  model.advance(2 * shortestPatience);
  EXPECT_EQ(answersTo(id), 0);
  model.advance(500ms);
  EXPECT_EQ(answersTo(id), 1);
}

// Guards against a request that is given up during its next call: the call shows that the reply was received.
TEST_F(UncertainReplyTest, IsSettledWhenExecutionRequestsNextCall) {
  model.open();
  const RequestId id = executeWithUncertainReply();
  model.requestCall(id);
  model.advance(0ms);
  ASSERT_EQ(model.requests.at(id).state, RequestState::calling);
  model.advance(shortestPatience + 100ms);
  EXPECT_EQ(answersTo(id), 0);
}

// Guards against a request that is given up during its second execution because of the first one.
TEST_F(UncertainReplyTest, IsSettledWhenExecutionIsCancelledAndStartsAgain) {
  model.open();
  const RequestId id = executeWithUncertainReply();
  model.pendingEvents.emplace_back(ExecutionEnded{id, Outcome::cancelled, {}});
  model.requests.at(id).state = RequestState::queued;
  model.advance(0ms);
  ASSERT_EQ(model.requests.at(id).startCount, 2);
  model.advance(shortestPatience + 100ms);
  EXPECT_EQ(answersTo(id), 0);
}

// Guards against a shed request that may have had an effect.
TEST_F(UncertainReplyTest, RequestFailsWhenItIsNotIdempotent) {
  model.settings.handlers.push_back(model.settings.handlers[0]);
  model.settings.handlers[0].idempotency = Idempotency::nonIdempotent;
  model.open();
  const RequestId id = executeWithUncertainReply();
  model.advance(shortestPatience + 50ms);
  EXPECT_EQ(answersTo(id), 1);
  EXPECT_EQ(model.requests.at(id).shedCount, 0);
}

// Guards against a request that is given up although a response without the reply earns weight.
TEST_F(UncertainReplyTest, CallIsSkippedAtOnceWhenSettingsAllowIt) {
  model.settings.handlers[0].degradedWeight = 0.5;
  model.open();
  const RequestId id = executeWithUncertainReply();
  EXPECT_EQ(model.callsSkipped, 1);
  model.advance(shortestPatience + 50ms);
  EXPECT_EQ(answersTo(id), 0);
  EXPECT_TRUE(model.violations.empty());
}

TEST(UncertainRepliesTest, TakeOverdueReturnsEachEntryOnceWhenItsTimeHasCome) {
  constexpr RequestId first{1};
  constexpr RequestId second{2};
  constexpr RequestId removed{3};
  UncertainReplies replies;
  replies.add(first, 2s);
  replies.add(second, 3s);
  replies.add(removed, 1s);
  replies.remove(removed);
  EXPECT_EQ(replies.takeOverdue(2s), std::vector{first});
  EXPECT_EQ(replies.takeOverdue(4s), std::vector{second});
  EXPECT_TRUE(replies.takeOverdue(9s).empty());
}

}  // namespace
}  // namespace rainhook
