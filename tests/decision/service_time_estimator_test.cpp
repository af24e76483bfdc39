#include "decision/service_time_estimator.h"

#include <gtest/gtest.h>

#include "decision/read_delay_estimator.h"

namespace rainhook {
namespace {

using namespace std::chrono_literals;

class ServiceTimeEstimatorTest : public ::testing::Test {
 protected:
  /// Records 100 consecutive executions of 200 ms, each with `calls` downstream calls.
  void executeMany(int calls = 0) {
    for (int i = 0; i < 100; ++i) {
      estimator.advance(200ms, 1, 0);
      estimator.recordExecution(arrival, 200ms, calls);
    }
  }

  static constexpr HandlerId handler{0};
  RequestArrived arrival;  // HandlerId 0 is the only handler.
  ServiceTimeEstimator estimator{{HandlerPolicy{.latencyObjective = 1s}}};
};

TEST_F(ServiceTimeEstimatorTest, EstimatesATenthOfObjectiveWhenNothingWasRecorded) {
  EXPECT_DOUBLE_EQ(estimator.executionSeconds(handler), 0.1);
}

TEST_F(ServiceTimeEstimatorTest, ConvergesToMeasuredExecutionTime) {
  executeMany();
  EXPECT_NEAR(estimator.executionSeconds(handler), 0.2, 0.02);
}

TEST_F(ServiceTimeEstimatorTest, EstimateRisesWhenExecutionsStallBeforeAnyEnds) {
  executeMany();
  const double before = estimator.executionSeconds(handler);
  estimator.advance(3s, 4, 0);
  EXPECT_GT(estimator.executionSeconds(handler), 3 * before);
}

TEST_F(ServiceTimeEstimatorTest, ScalesEstimateWhenRequestStatesItsWork) {
  arrival.estimatedWork = 100ms;
  executeMany();
  const double usual = estimator.executionSeconds(arrival);
  arrival.estimatedWork = 300ms;
  EXPECT_NEAR(estimator.executionSeconds(arrival), 3 * usual, 1e-6);
}

TEST_F(ServiceTimeEstimatorTest, EstimatesDownstreamTimeWhenHandlerMakesCalls) {
  EXPECT_FALSE(estimator.usuallyCallsDownstream(handler));
  EXPECT_EQ(estimator.callOutlierTimeout(), Duration::max());
  for (int i = 0; i < 50; ++i) {
    estimator.advance(50ms, 0, 1);
    estimator.recordCall(50ms);
  }
  executeMany(2);
  EXPECT_TRUE(estimator.usuallyCallsDownstream(handler));
  EXPECT_NEAR(estimator.downstreamSeconds(handler), 0.1, 0.01);
  EXPECT_NEAR(estimator.callSlowdown(), 1, 0.1);
  EXPECT_LT(estimator.callOutlierTimeout(), 500ms);
}

TEST_F(ServiceTimeEstimatorTest, NormalizesLatencyByMinimumThatRisesOverTime) {
  EXPECT_DOUBLE_EQ(estimator.normalizeLatency(handler, 0.2), 1);
  EXPECT_DOUBLE_EQ(estimator.normalizeLatency(handler, 0.5), 2.5);
  estimator.advance(10s, 0, 0);
  EXPECT_DOUBLE_EQ(estimator.normalizeLatency(handler, 0.48), 2);
}

TEST(ReadDelayEstimatorTest, ReportsExcessWhenMeanExceedsTwiceTheMinimumDelay) {
  ReadDelayEstimator delays;
  for (int i = 0; i < 100; ++i) delays.recordArrival(100ms, 3s);
  EXPECT_EQ(delays.excessSeconds(), 0);
  for (int i = 0; i < 100; ++i) delays.recordArrival(600ms, 3s);
  EXPECT_NEAR(delays.excessSeconds(), 0.4, 0.001);
}

}  // namespace
}  // namespace rainhook
