#include "decision/idle_connection_tuner.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace rainhook {
namespace {

using namespace std::chrono_literals;
using ::testing::Eq;
using ::testing::Optional;

constexpr int cores = 2;
constexpr double fewConnections = 12;
constexpr double manyConnections = 13;

TEST(IdleConnectionTunerTest, ShortensTimeoutOncePerSecondWhenManyConnectionsAreOpen) {
  IdleConnectionTuner tuner{cores, {.maxIdleTime = 30s}};
  EXPECT_THAT(tuner.update(0s, manyConnections), Optional(Duration(1s)));
  EXPECT_THAT(tuner.update(999ms, manyConnections), Eq(std::nullopt));
  EXPECT_THAT(tuner.update(1s, manyConnections), Optional(Duration(500ms)));
}

TEST(IdleConnectionTunerTest, LengthensTimeoutUpToClientIdleTimeWhenFewConnectionsAreOpen) {
  IdleConnectionTuner tuner{cores, {.maxIdleTime = 3s}};
  EXPECT_THAT(tuner.update(0s, fewConnections), Optional(Duration(2500ms)));
  EXPECT_THAT(tuner.update(1s, fewConnections), Optional(Duration(3s)));
  EXPECT_THAT(tuner.update(2s, fewConnections), Eq(std::nullopt));
}

TEST(IdleConnectionTunerTest, LengthensTimeoutWhenReadingOverloadsCoresDespiteManyConnections) {
  IdleConnectionTuner tuner{cores, {.maxIdleTime = 30s}};
  for (int i = 0; i < 200; ++i) tuner.recordRunnableTasks(20, 2);
  EXPECT_THAT(tuner.update(0s, manyConnections), Optional(Duration(4s)));
}

}  // namespace
}  // namespace rainhook
