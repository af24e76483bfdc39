#include "decision/concurrency_limiter.h"

#include <gtest/gtest.h>

namespace rainhook {
namespace {

using namespace std::chrono_literals;

class ConcurrencyLimiterTest : public ::testing::Test {
 protected:
  /// Completes an interval with enough responses of that latency in which the limit was reached.
  void passInterval(double relativeLatency) {
    for (int i = 0; i < 10 * cores; ++i) limiter.recordLatency(relativeLatency);
    limiter.recordLimitReached();
    now += 1s;
    limiter.update(now);
  }

  static constexpr int cores = 4;
  Duration now{};
  ConcurrencyLimiter limiter{cores};
};

TEST_F(ConcurrencyLimiterTest, StartsAtCoreCountAndStepsUpByOneWhenFirstIntervalEnds) {
  EXPECT_EQ(limiter.limit(), 4);
  passInterval(1.0);
  EXPECT_EQ(limiter.limit(), 5);
}

TEST_F(ConcurrencyLimiterTest, RepeatsStepWhenLatencyFell) {
  passInterval(4.0);
  passInterval(2.0);
  EXPECT_GT(limiter.limit(), 5);
}

TEST_F(ConcurrencyLimiterTest, ReversesStepWhenLatencyRose) {
  passInterval(2.0);
  passInterval(4.0);
  EXPECT_LT(limiter.limit(), 5);
}

TEST_F(ConcurrencyLimiterTest, FallsByMinimumStepWhenLatencyIsUnchanged) {
  passInterval(1.0);
  passInterval(1.0);
  EXPECT_EQ(limiter.limit(), 4.75);
}

TEST_F(ConcurrencyLimiterTest, ContinuesIntervalWhenResponsesAreTooFew) {
  limiter.recordLatency(1.0);
  limiter.recordLimitReached();
  limiter.update(60s);
  EXPECT_EQ(limiter.limit(), 4);
}

TEST_F(ConcurrencyLimiterTest, KeepsLimitWhenLimitWasNotReached) {
  for (int i = 0; i < 10 * cores; ++i) limiter.recordLatency(1.0);
  limiter.update(1s);
  EXPECT_EQ(limiter.limit(), 4);
}

TEST_F(ConcurrencyLimiterTest, StaysBetweenCoreCountAndCeilingWhenRaisedOrClamped) {
  limiter.raiseByOne(4.5);
  EXPECT_EQ(limiter.limit(), 4.5);
  limiter.clampTo(1);
  EXPECT_EQ(limiter.limit(), 4);
}

}  // namespace
}  // namespace rainhook
