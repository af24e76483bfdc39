/// @file
/// When and in which direction the limiter of one work pool moves its limit.
#include "pools/pool_limiter.h"

#include <gtest/gtest.h>

namespace rainhook::pools {
namespace {

constexpr int enoughAnswers = 10;

class PoolLimiterTest : public testing::Test {
 protected:
  double runInterval(int answers, double latencyRatio, bool isLimitReached) {
    for (int answer = 0; answer < answers; ++answer) limiter_.onAnswer(latencyRatio);
    if (isLimitReached) limiter_.onLimitReached();
    return limiter_.endInterval();
  }

  PoolLimiter limiter_;
};

TEST_F(PoolLimiterTest, BeginsWithAStepOfOneExecution) { EXPECT_EQ(runInterval(enoughAnswers, 1, true), 1); }

TEST_F(PoolLimiterTest, GoesOnWhenLatencyHasFallenAndTurnsBackWhenItHasRisen) {
  runInterval(enoughAnswers, 4, true);
  EXPECT_GT(runInterval(enoughAnswers, 2, true), 0);
  EXPECT_LT(runInterval(enoughAnswers, 6, true), 0);
}

TEST_F(PoolLimiterTest, ChangesNothingWhenTheLimitWasNotReached) {
  EXPECT_EQ(runInterval(enoughAnswers, 1, false), 0);
}

TEST_F(PoolLimiterTest, ContinuesAnIntervalWithTooFewAnswers) {
  EXPECT_EQ(runInterval(enoughAnswers - 1, 1, true), 0);
  EXPECT_TRUE(limiter_.isLimitReached());
  EXPECT_EQ(runInterval(1, 1, false), 1);
  EXPECT_FALSE(limiter_.isLimitReached());
}

}  // namespace
}  // namespace rainhook::pools
