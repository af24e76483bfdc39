#include "decision/read_delay_estimator.h"

#include <algorithm>

#include "decision/time_conversion.h"

namespace rainhook {
namespace {

constexpr double meanGain = 0.1;
/// Relative growth of the minimum delay per second.
constexpr double minDelayGrowth = 0.02;
/// Delays up to this many times the minimum delay are usual.
constexpr double usualFactor = 2;

}  // namespace

void ReadDelayEstimator::recordArrival(Duration readDelay, Duration clientTimeout) {
  meanSeconds_ += (toSeconds(std::min(readDelay, clientTimeout)) - meanSeconds_) * meanGain;
  minSeconds_ = std::min(minSeconds_, toSeconds(readDelay));
}

void ReadDelayEstimator::advance(Duration elapsed) { minSeconds_ *= 1 + minDelayGrowth * toSeconds(elapsed); }

double ReadDelayEstimator::excessSeconds() const {
  return std::max(0.0, meanSeconds_ - usualFactor * minSeconds_);
}

}  // namespace rainhook
