/// @file
/// Tests when and in which direction the limiter of one work pool moves the limit.
#include "pools/pool_limiter.h"

#include <gtest/gtest.h>

namespace rainhook::pools {
namespace {

constexpr int enoughResponses = 10;

class PoolLimiterTest : public testing::Test {
 protected:
  double runInterval(int responses, double relativeLatency, bool isLimitReached) {
    for (int response = 0; response < responses; ++response) limiter_.recordLatency(relativeLatency);
    if (isLimitReached) limiter_.recordLimitReached();
    return limiter_.endInterval();
  }

  PoolLimiter limiter_;
};

TEST_F(PoolLimiterTest, StepsUpByOneExecutionWhenFirstIntervalEnds) {
  EXPECT_EQ(runInterval(enoughResponses, 1, true), 1);
}

TEST_F(PoolLimiterTest, RepeatsStepWhenLatencyFellAndReversesItWhenLatencyRose) {
  runInterval(enoughResponses, 4, true);
  EXPECT_GT(runInterval(enoughResponses, 2, true), 0);
  EXPECT_LT(runInterval(enoughResponses, 6, true), 0);
}

TEST_F(PoolLimiterTest, KeepsLimitWhenLimitWasNotReached) {
  EXPECT_EQ(runInterval(enoughResponses, 1, false), 0);
}

TEST_F(PoolLimiterTest, ContinuesIntervalWhenResponsesAreTooFew) {
  EXPECT_EQ(runInterval(enoughResponses - 1, 1, true), 0);
  EXPECT_TRUE(limiter_.isLimitReached());
  EXPECT_EQ(runInterval(1, 1, false), 1);
  EXPECT_FALSE(limiter_.isLimitReached());
}

}  // namespace
}  // namespace rainhook::pools
