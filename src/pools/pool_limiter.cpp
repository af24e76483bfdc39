#include "pools/pool_limiter.h"

#include <cmath>

#include "decision/fuzzy_rules.h"

namespace rainhook::pools {
namespace {

/// The same number of responses as `ConcurrencyLimiter` requires for each core.
constexpr int minResponses = 10;
/// The first step, in executions.
constexpr double firstStep = 1;
/// The gains of `ConcurrencyLimiter`: a step of two executions, or a change of the latency by twice the
/// minimum latency, counts as 1.
constexpr double stepGain = 0.5;
constexpr double latencyGain = 0.5;
/// A smaller step would have no measurable effect on the latency.
constexpr double minStep = 0.25;

}  // namespace

void PoolLimiter::recordLatency(double relativeLatency) {
  latencySum_ += relativeLatency;
  ++responses_;
}

double PoolLimiter::endInterval() {
  if (responses_ < minResponses) return 0;
  const double mean = latencySum_ / responses_;
  double change = 0;
  if (isLimitReached_) {
    change = nextStep(mean);
    lastStep_ = change;
    previousMeanLatency_ = mean;
  }
  latencySum_ = 0;
  responses_ = 0;
  isLimitReached_ = false;
  return change;
}

double PoolLimiter::nextStep(double meanLatency) const {
  if (previousMeanLatency_ == 0) return firstStep;
  const double latencyChange = meanLatency - previousMeanLatency_;
  const double step = fuzzyStep(lastStep_ * stepGain, latencyChange * latencyGain) / stepGain;
  if (std::abs(step) >= minStep) return step;
  return step > 0 ? minStep : -minStep;
}

}  // namespace rainhook::pools
