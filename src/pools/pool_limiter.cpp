#include "pools/pool_limiter.h"

#include <cmath>

#include "decision/fuzzy_rules.h"

namespace rainhook::pools {
namespace {

/// As many answers as the decision module's limiter asks for.
constexpr int leastAnswers = 10;
/// The first step, in executions.
constexpr double firstStep = 1;
/// The gains of the decision module's limiter: a step of two executions counts fully, and so does a change of
/// latency by twice the least latency.
constexpr double stepGain = 0.5;
constexpr double latencyGain = 0.5;
/// A smaller step would show nothing.
constexpr double leastStep = 0.25;

}  // namespace

void PoolLimiter::onAnswer(double latencyRatio) {
  latencyRatioSum_ += latencyRatio;
  ++answers_;
}

double PoolLimiter::endInterval() {
  if (answers_ < leastAnswers) return 0;
  const double mean = latencyRatioSum_ / answers_;
  double change = 0;
  if (isLimitReached_) {
    change = nextStep(mean);
    lastStep_ = change;
    lastMeanLatencyRatio_ = mean;
  }
  latencyRatioSum_ = 0;
  answers_ = 0;
  isLimitReached_ = false;
  return change;
}

double PoolLimiter::nextStep(double meanLatencyRatio) const {
  if (lastMeanLatencyRatio_ == 0) return firstStep;
  const double latencyChange = meanLatencyRatio - lastMeanLatencyRatio_;
  const double step = fuzzyStep(lastStep_ * stepGain, latencyChange * latencyGain) / stepGain;
  if (std::abs(step) >= leastStep) return step;
  return step > 0 ? leastStep : -leastStep;
}

}  // namespace rainhook::pools
