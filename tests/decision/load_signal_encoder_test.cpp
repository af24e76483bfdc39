#include "decision/load_signal_encoder.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace rainhook {
namespace {

using ::testing::DoubleEq;
using ::testing::Eq;
using ::testing::Optional;

constexpr double limit = 10;

LoadSignalEncoder encoderOf(LoadSignalKind kind) {
  return {SignalingProfile{.signalKind = kind}, FleetProfile{.clients = 4}};
}

TEST(LoadSignalEncoderTest, EncodesSeverityByKindOfSignal) {
  EXPECT_THAT(encoderOf(LoadSignalKind::none).update(false, 0.5, limit), Eq(std::nullopt));
  EXPECT_THAT(encoderOf(LoadSignalKind::weight).update(false, 0.5, limit), Optional(DoubleEq(0.525)));
  EXPECT_THAT(encoderOf(LoadSignalKind::level).update(false, 0.5, limit), Optional(DoubleEq(0.475)));
  EXPECT_THAT(encoderOf(LoadSignalKind::credit).update(false, 0.5, limit), Optional(DoubleEq(2.625)));
}

TEST(LoadSignalEncoderTest, PublishesNothingWhenChangeIsSmall) {
  LoadSignalEncoder encoder = encoderOf(LoadSignalKind::weight);
  EXPECT_THAT(encoder.update(false, 0, limit), Optional(1.0));
  EXPECT_THAT(encoder.update(false, 0.03, limit), Eq(std::nullopt));
  EXPECT_NE(encoder.update(false, 0.04, limit), std::nullopt);
}

TEST(LoadSignalEncoderTest, PublishesSmallChangeOnceWhenDraining) {
  LoadSignalEncoder encoder = encoderOf(LoadSignalKind::weight);
  EXPECT_NE(encoder.update(false, 1, limit), std::nullopt);
  EXPECT_THAT(encoder.update(true, 1, limit), Optional(0.0));
  EXPECT_THAT(encoder.update(true, 1, limit), Eq(std::nullopt));
}

}  // namespace
}  // namespace rainhook
