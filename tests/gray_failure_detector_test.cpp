/// @file
/// When the detector reports a zone as a gray failure, and since when a zone counts as healthy.
#include "failover/gray_failure_detector.h"

#include <gtest/gtest.h>

#include <optional>
#include <set>

namespace rainhook::failover {
namespace {

using namespace std::chrono_literals;

const ZoneName first{"first"};
const ZoneName second{"second"};
const ZoneName slow{"slow"};
const std::set<ZoneName> nothing;

class GrayFailureDetectorTest : public testing::Test {
 protected:
  GrayFailureDetectorTest() {
    settings_.zones = {{first, {"region"}}, {second, {"region"}}, {slow, {"region"}}};
    settings_.stepInterval = 5s;
    setServiceTime(first, 0.05);
    setServiceTime(second, 0.05);
  }

  void setServiceTime(const ZoneName& zone, double serviceSeconds) {
    ZoneObservation& observed = observation_.zones[zone];
    observed.liveMembers = 3;
    observed.completionRate = 100;
    observed.executing = 100 * serviceSeconds;
  }

  std::set<ZoneName> updateAt(Duration now) { return detector_.update(now, settings_, observation_); }

  FailoverSettings settings_;
  FleetObservation observation_;
  GrayFailureDetector detector_;
};

TEST_F(GrayFailureDetectorTest, FindsAZoneWhenItHasBeenSlowForThreeSteps) {
  setServiceTime(slow, 0.16);
  EXPECT_EQ(updateAt(0s), nothing);
  EXPECT_EQ(updateAt(14s), nothing);
  EXPECT_EQ(updateAt(15s), std::set{slow});
}

TEST_F(GrayFailureDetectorTest, FindsNothingWhenAZoneTakesExactlyThreeTimesAsLong) {
  setServiceTime(slow, 0.15);
  updateAt(0s);
  EXPECT_EQ(updateAt(60s), nothing);
}

TEST_F(GrayFailureDetectorTest, RestartsTheWaitWhenAZoneWasFastInBetween) {
  setServiceTime(slow, 0.16);
  updateAt(0s);
  setServiceTime(slow, 0.05);
  updateAt(5s);
  setServiceTime(slow, 0.16);
  updateAt(10s);
  EXPECT_EQ(updateAt(24s), nothing);
  EXPECT_EQ(updateAt(25s), std::set{slow});
}

TEST_F(GrayFailureDetectorTest, FindsNothingWhenNoOtherZoneHasWork) {
  observation_.zones.clear();
  setServiceTime(slow, 10);
  updateAt(0s);
  EXPECT_EQ(updateAt(60s), nothing);
  EXPECT_EQ(detector_.healthySince(slow), Duration{0s});
}

TEST_F(GrayFailureDetectorTest, IgnoresAZoneWhenItsDataIsTooOld) {
  setServiceTime(slow, 0.5);
  observation_.zones[slow].dataAge = settings_.maxDataAge;
  updateAt(0s);
  EXPECT_EQ(updateAt(60s), nothing);
}

TEST_F(GrayFailureDetectorTest, CountsAZoneAsHealthyWhenItTakesLessThanOneAndAHalfTimesAsLong) {
  EXPECT_EQ(detector_.healthySince(slow), std::nullopt);
  setServiceTime(slow, 0.08);
  updateAt(10s);
  EXPECT_EQ(detector_.healthySince(slow), std::nullopt) << "neither slow nor healthy";
  setServiceTime(slow, 0.07);
  updateAt(20s);
  updateAt(30s);
  EXPECT_EQ(detector_.healthySince(slow), Duration{20s});
}

}  // namespace
}  // namespace rainhook::failover
