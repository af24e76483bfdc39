#include "decision/overload_detector.h"

#include <algorithm>

#include "decision/time_conversion.h"

namespace rainhook {
namespace {

/// A wait up to this share of the tolerable wait does not count as overload.
constexpr double acceptableWaitShare = 0.5;
/// Change of the level per second: the rise for each unit of excess, and the fall without an excess.
constexpr double riseRate = 0.8;
constexpr double fallRate = 0.3;
constexpr double maxExcess = 2.0;
constexpr double minTolerableSeconds = 1e-3;
/// The share of shed requests is a moving average over about this many arrivals.
constexpr double averagedArrivals = 20;
constexpr double pressureShedShare = 0.1;
constexpr double overloadShedShare = 0.4;
constexpr double overloadLevel = 0.1;

}  // namespace

void OverloadDetector::update(Duration elapsed, double waitSeconds, double tolerableSeconds) {
  const double excess = waitSeconds / std::max(tolerableSeconds, minTolerableSeconds) - acceptableWaitShare;
  const double rate = excess > 0 ? std::min(excess, maxExcess) * riseRate : -fallRate;
  level_ = std::clamp(level_ + toSeconds(elapsed) * rate, 0.0, 1.0);
}

void OverloadDetector::recordArrival() { shedShare_ -= shedShare_ / averagedArrivals; }

void OverloadDetector::recordShed() { shedShare_ += 1 / averagedArrivals; }

bool OverloadDetector::isUnderPressure() const { return level_ > 0 || shedShare_ > pressureShedShare; }

bool OverloadDetector::isOverloaded() const {
  return level_ > overloadLevel || shedShare_ > overloadShedShare;
}

double OverloadDetector::severity() const { return std::max(level_, std::min(shedShare_, 1.0)); }

}  // namespace rainhook
