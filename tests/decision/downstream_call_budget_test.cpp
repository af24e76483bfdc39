#include "decision/downstream_call_budget.h"

#include <gtest/gtest.h>

namespace rainhook {
namespace {

using namespace std::chrono_literals;

DownstreamProfile sharedWithQuota(double quota) {
  return {.kind = DownstreamKind::shared,
          .concurrentCallQuota = quota,
          .quotaWindow = 5s,
          .maxAbandonedCallDuration = 200ms};
}

constexpr double usualSlowdown = 1;

TEST(DownstreamCallBudgetTest, HasNoLimitsWhenNoQuotaIsConfigured) {
  DownstreamCallBudget budget{DownstreamProfile{}};
  for (int i = 0; i < 1000; ++i) budget.recordCallStart();
  EXPECT_TRUE(budget.hasRoom(0s));
  EXPECT_EQ(budget.maxCallDuration(), Duration::max());
}

TEST(DownstreamCallBudgetTest, UsesFourFifthsOfQuotaWhenCallsAreFast) {
  DownstreamCallBudget budget{sharedWithQuota(5)};
  for (int i = 0; i < 4; ++i) {
    EXPECT_TRUE(budget.hasRoom(0s)) << i;
    budget.recordCallStart();
  }
  EXPECT_FALSE(budget.hasRoom(0s));
}

TEST(DownstreamCallBudgetTest, UsesLessButAtLeastThreeTenthsOfQuotaWhenCallsAreSlow) {
  DownstreamCallBudget budget{sharedWithQuota(10)};
  budget.advance(1ms, 4 * usualSlowdown);
  EXPECT_DOUBLE_EQ(budget.callLimit(), 4);
  budget.advance(1ms, 100 * usualSlowdown);
  EXPECT_DOUBLE_EQ(budget.callLimit(), 3);
}

TEST(DownstreamCallBudgetTest, CountsAbandonedCallUntilItsMaximumDurationHasPassed) {
  DownstreamCallBudget budget{sharedWithQuota(1.25)};
  budget.recordCallStart();
  budget.recordCallEnd(1s, CallEnd::abandoned);
  EXPECT_FALSE(budget.hasRoom(1199ms));
  EXPECT_TRUE(budget.hasRoom(1200ms));
}

TEST(DownstreamCallBudgetTest, FreesRoomImmediatelyWhenCallFinishes) {
  DownstreamCallBudget budget{sharedWithQuota(1.25)};
  budget.recordCallStart();
  budget.recordCallEnd(1s, CallEnd::finished);
  EXPECT_TRUE(budget.hasRoom(1s));
}

TEST(DownstreamCallBudgetTest, LimitsCallDurationWhenQuotaIsBelowOneCall) {
  DownstreamCallBudget budget{sharedWithQuota(0.5)};
  // The bucket holds 0.1 calls over 5 s, that is, 0.5 call-seconds. An open call adds 1 per second and 0.4
  // drain (the call limit), so the bucket fills at 0.6 per second. 0.2 s are left for an abandoned call.
  EXPECT_NEAR(static_cast<double>(budget.maxCallDuration().count()), 0.5e9 / 0.6 - 0.2e9, 1e3);
  budget.recordCallStart();
  budget.advance(500ms, usualSlowdown);
  budget.recordCallEnd(500ms, CallEnd::finished);
  EXPECT_FALSE(budget.hasRoom(500ms));  // The bucket is more than half full.
  budget.advance(500ms, usualSlowdown);
  EXPECT_TRUE(budget.hasRoom(1s));
}

TEST(DownstreamCallBudgetTest, StartsNoCallWhenShareShrinksUntilCallsFit) {
  DownstreamCallBudget budget{sharedWithQuota(5)};
  budget.recordCallStart();
  budget.recordCallStart();
  budget.setQuotaShare(0.5);
  EXPECT_FALSE(budget.hasRoom(0s));
  budget.recordCallEnd(0s, CallEnd::finished);
  EXPECT_TRUE(budget.hasRoom(0s));
}

TEST(DownstreamCallBudgetTest, ProvesNotExecutedOnlyWhenCallEndedBeforeExecution) {
  EXPECT_TRUE(provesNotExecuted(Outcome::rejected));
  EXPECT_TRUE(provesNotExecuted(Outcome::unreachable));
  EXPECT_TRUE(provesNotExecuted(Outcome::superseded));
  EXPECT_FALSE(provesNotExecuted(Outcome::failed));
  EXPECT_FALSE(provesNotExecuted(Outcome::timedOut));
  EXPECT_FALSE(provesNotExecuted(Outcome::connectionLost));
}

}  // namespace
}  // namespace rainhook
