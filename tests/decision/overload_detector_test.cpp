#include "decision/overload_detector.h"

#include <gtest/gtest.h>

namespace rainhook {
namespace {

using namespace std::chrono_literals;

TEST(OverloadDetectorTest, ReportsNoPressureWhenWaitIsHalfOfTolerable) {
  OverloadDetector detector;
  detector.update(10s, 0.5, 1.0);
  EXPECT_FALSE(detector.isUnderPressure());
  EXPECT_EQ(detector.severity(), 0);
}

TEST(OverloadDetectorTest, SeverityRisesWithWaitAndFallsWhenWaitEnds) {
  OverloadDetector detector;
  detector.update(1s, 1.0, 1.0);
  EXPECT_DOUBLE_EQ(detector.severity(), 0.4);
  EXPECT_TRUE(detector.isOverloaded());
  detector.update(1s, 0, 1.0);
  EXPECT_NEAR(detector.severity(), 0.1, 1e-9);
  detector.update(1s, 0, 1.0);
  EXPECT_FALSE(detector.isUnderPressure());
}

TEST(OverloadDetectorTest, DetectsOverloadFromShedShareWhenThereIsNoWait) {
  OverloadDetector detector;
  for (int i = 0; i < 4; ++i) {
    detector.recordArrival();
    detector.recordShed();
  }
  EXPECT_TRUE(detector.isUnderPressure());
  EXPECT_FALSE(detector.isOverloaded());
  for (int i = 0; i < 20; ++i) {
    detector.recordArrival();
    detector.recordShed();
  }
  EXPECT_TRUE(detector.isOverloaded());
  for (int i = 0; i < 60; ++i) detector.recordArrival();
  EXPECT_FALSE(detector.isUnderPressure());
}

}  // namespace
}  // namespace rainhook
