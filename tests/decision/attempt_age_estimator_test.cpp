#include "decision/attempt_age_estimator.h"

#include <gtest/gtest.h>

namespace rainhook {
namespace {

using namespace std::chrono_literals;

constexpr Duration timeout = 2s;

TEST(AttemptAgeEstimatorTest, ReturnsZeroWhenNoShareIsFrequent) {
  AttemptAgeEstimator estimator;
  EXPECT_EQ(estimator.estimateAge(500ms, timeout), 0s);
}

TEST(AttemptAgeEstimatorTest, DerivesAgeFromTimeRemainingWhenShareIsInfrequent) {
  AttemptAgeEstimator estimator;
  for (int i = 0; i < 100; ++i) EXPECT_EQ(estimator.estimateAge(1s, timeout), 0s);
  EXPECT_EQ(estimator.estimateAge(500ms, timeout), 1500ms);
}

TEST(AttemptAgeEstimatorTest, ReturnsZeroWhenASecondShareBecomesFrequent) {
  AttemptAgeEstimator estimator;
  for (int i = 0; i < 100; ++i) EXPECT_EQ(estimator.estimateAge(1s, timeout), 0s);
  EXPECT_GT(estimator.estimateAge(500ms, timeout), 0s);
  for (int i = 0; i < 5; ++i) (void)estimator.estimateAge(500ms, timeout);
  EXPECT_EQ(estimator.estimateAge(500ms, timeout), 0s);
}

}  // namespace
}  // namespace rainhook
