#include "decision/concurrency_limiter.h"

#include <algorithm>
#include <cmath>

#include "decision/fuzzy_rules.h"

namespace rainhook {
namespace {

/// Normalization of steps: one of two requests counts fully.
constexpr double stepGain = 1.0 / 2;
/// Normalization of latency changes: one by twice the least latency counts fully.
constexpr double latencyGain = 1.0 / 2;
constexpr double firstStep = 1;
/// A step of 0 would be the last one.
constexpr double minStep = 0.25;
/// An interval lasts until this many answers, for each core, tell of it.
constexpr double answersPerCore = 10;

}  // namespace

ConcurrencyLimiter::ConcurrencyLimiter(int cores) : minLimit_(cores), limit_(cores) {}

void ConcurrencyLimiter::recordLatency(double relativeLatency) {
  latencySum_ += relativeLatency;
  ++answers_;
}

void ConcurrencyLimiter::update(Duration now) {
  if (now < intervalEnd_ || answers_ < answersPerCore * minLimit_) return;
  intervalEnd_ = now + interval;
  const double meanLatency = latencySum_ / answers_;
  // A limit that held nothing back did not cause the latency.
  if (isLimitReached_) {
    lastStep_ = nextStep(meanLatency);
    previousMeanLatency_ = meanLatency;
    limit_ += lastStep_;
  }
  latencySum_ = 0;
  answers_ = 0;
  isLimitReached_ = false;
}

double ConcurrencyLimiter::nextStep(double meanLatency) const {
  if (previousMeanLatency_ == 0) return firstStep;
  const double latencyChange = (meanLatency - previousMeanLatency_) * latencyGain;
  const double step = fuzzyStep(lastStep_ * stepGain, latencyChange) / stepGain;
  if (std::abs(step) >= minStep) return step;
  // Without an opinion, lean to fewer executions.
  return step > 0 ? minStep : -minStep;
}

void ConcurrencyLimiter::raiseByOne(double ceiling) { limit_ = std::min(ceiling, limit_ + 1); }

void ConcurrencyLimiter::clampTo(double ceiling) {
  limit_ = std::clamp(limit_, minLimit_, std::max(minLimit_, ceiling));
}

}  // namespace rainhook
