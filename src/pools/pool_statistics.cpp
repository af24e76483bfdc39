#include "pools/pool_statistics.h"

#include <algorithm>
#include <cmath>

namespace rainhook::pools {
namespace {

/// Short, so that a jump of the arrival rate is noticed quickly.
constexpr double arrivalHalfLifeSeconds = 0.1;
/// Long enough that a few executions hardly change the weight per core second.
constexpr double weightHalfLifeSeconds = 4;
/// The share of the difference between the measured and the estimated service time by which each execution
/// changes the estimate.
constexpr double serviceTimeGain = 0.05;
/// In the weight per core second, the settings count like this many executions.
constexpr double priorExecutions = 4;
/// Keeps the weight per core second finite.
constexpr double minServiceSeconds = 1e-6;

double retainedAfter(double elapsedSeconds, double halfLifeSeconds) {
  return std::exp2(-elapsedSeconds / halfLifeSeconds);
}

}  // namespace

PoolStatistics::PoolStatistics(const PoolSettings& settings)
    : priorityWeight_(settings.priorityWeight), serviceSeconds_(settings.initialServiceSeconds) {}

void PoolStatistics::onExecutionEnded(const ExecutionReport& report) {
  serviceSeconds_ += (report.coreSeconds - serviceSeconds_) * serviceTimeGain;
  earnedWeight_ += report.earnedWeight;
  spentCoreSeconds_ += report.coreSeconds;
}

void PoolStatistics::advance(double elapsedSeconds) {
  if (elapsedSeconds <= 0) return;
  const double retainedRate = retainedAfter(elapsedSeconds, arrivalHalfLifeSeconds);
  const double retainedWeight = retainedAfter(elapsedSeconds, weightHalfLifeSeconds);
  arrivalRate_ = arrivalRate_ * retainedRate + arrivals_ / elapsedSeconds * (1 - retainedRate);
  arrivals_ = 0;
  earnedWeight_ *= retainedWeight;
  spentCoreSeconds_ *= retainedWeight;
}

double PoolStatistics::weightPerCoreSecond() const {
  const double weight = earnedWeight_ + priorExecutions * priorityWeight_;
  const double coreSeconds =
      spentCoreSeconds_ + priorExecutions * std::max(serviceSeconds_, minServiceSeconds);
  return weight / coreSeconds;
}

}  // namespace rainhook::pools
