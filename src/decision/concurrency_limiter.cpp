#include "decision/concurrency_limiter.h"

#include <algorithm>
#include <cmath>

#include "decision/fuzzy_rules.h"

namespace rainhook {
namespace {

/// Normalizes steps: a step of two executions or more counts as 1.
constexpr double stepGain = 1.0 / 2;
/// Normalizes latency changes: a change by twice the minimum latency or more counts as 1.
constexpr double latencyGain = 1.0 / 2;
constexpr double firstStep = 1;
/// Keeps the limit moving: after a step of 0 the rules would only return further steps of 0.
constexpr double minStep = 0.25;
/// An interval continues until this many responses for each core were recorded.
constexpr double minResponsesPerCore = 10;

}  // namespace

ConcurrencyLimiter::ConcurrencyLimiter(int cores) : minLimit_(cores), limit_(cores) {}

void ConcurrencyLimiter::recordLatency(double relativeLatency) {
  latencySum_ += relativeLatency;
  ++responses_;
}

void ConcurrencyLimiter::update(Duration now) {
  if (now < intervalEnd_ || responses_ < minResponsesPerCore * minLimit_) return;
  intervalEnd_ = now + interval;
  const double meanLatency = latencySum_ / responses_;
  // A limit that was not reached did not cause the latency.
  if (isLimitReached_) {
    lastStep_ = nextStep(meanLatency);
    previousMeanLatency_ = meanLatency;
    limit_ += lastStep_;
  }
  latencySum_ = 0;
  responses_ = 0;
  isLimitReached_ = false;
}

double ConcurrencyLimiter::nextStep(double meanLatency) const {
  if (previousMeanLatency_ == 0) return firstStep;
  const double latencyChange = (meanLatency - previousMeanLatency_) * latencyGain;
  const double step = fuzzyStep(lastStep_ * stepGain, latencyChange) / stepGain;
  if (std::abs(step) >= minStep) return step;
  // If the rules favour neither direction, prefer fewer executions.
  return step > 0 ? minStep : -minStep;
}

void ConcurrencyLimiter::raiseByOne(double ceiling) { limit_ = std::min(ceiling, limit_ + 1); }

void ConcurrencyLimiter::clampTo(double ceiling) {
  limit_ = std::clamp(limit_, minLimit_, std::max(minLimit_, ceiling));
}

}  // namespace rainhook
