#include "decision/execution_ceiling.h"

#include <algorithm>
#include <chrono>

#include "decision/time_conversion.h"

namespace rainhook {
namespace {

using namespace std::chrono_literals;

/// The ceiling is this share of what the machine can sustain, less one execution.
constexpr double usableShare = 0.9;

}  // namespace

void ExecutionCeiling::setEngineStart(bool isCold, Duration startedAt) {
  machine_.coldStart = isCold;
  startedAt_ = startedAt;
}

double ExecutionCeiling::maxExecutions(Duration now) const {
  const double progress = warmUpProgress(now);
  const double speed =
      machine_.coldStart ? machine_.initialSpeed + (1 - machine_.initialSpeed) * progress : 1.0;
  const double sustainable = machine_.cores * (1 + (machine_.maxExecutionsPerCore - 1) * speed);
  return std::max(1.0, sustainable * usableShare - 1);
}

double ExecutionCeiling::warmUpProgress(Duration now) const {
  if (machine_.warmUpDuration <= 0s) return 1.0;
  return std::min(1.0, toSeconds(now - startedAt_) / toSeconds(machine_.warmUpDuration));
}

}  // namespace rainhook
