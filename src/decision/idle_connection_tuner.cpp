#include "decision/idle_connection_tuner.h"

#include <algorithm>

#include "decision/time_conversion.h"

namespace rainhook {
namespace {

using namespace std::chrono_literals;

constexpr Duration updateInterval = 1s;
constexpr Duration minIdleTimeout = 100ms;
constexpr double otherTasksGain = 0.02;
/// With more tasks other than executions per core than this, reading and accepting overload the cores.
constexpr double overloadTasksPerCore = 1;
/// With more open connections per core than this, the timeout is shortened.
constexpr double manyConnectionsPerCore = 6;
/// The factors that an update applies to the timeout.
constexpr double overloadFactor = 2;
constexpr double shorteningFactor = 0.5;
constexpr double lengtheningFactor = 1.25;

}  // namespace

IdleConnectionTuner::IdleConnectionTuner(int cores, const FleetProfile& fleet)
    : cores_(cores), maxIdleTime_(fleet.maxIdleTime) {}

void IdleConnectionTuner::recordRunnableTasks(double runnableTasks, int executing) {
  otherTasks_ += (runnableTasks - executing - otherTasks_) * otherTasksGain;
}

std::optional<Duration> IdleConnectionTuner::update(Duration now, double openConnections) {
  if (now < nextUpdate_) return std::nullopt;
  nextUpdate_ = now + updateInterval;
  const Duration unclamped = fromSeconds(toSeconds(timeout_) * timeoutFactor(openConnections));
  const Duration maxTimeout = std::max(minIdleTimeout, maxIdleTime_);
  const Duration timeout = std::clamp(unclamped, minIdleTimeout, maxTimeout);
  if (timeout == timeout_) return std::nullopt;
  timeout_ = timeout;
  return timeout;
}

double IdleConnectionTuner::timeoutFactor(double openConnections) const {
  if (otherTasks_ > overloadTasksPerCore * cores_) return overloadFactor;
  return openConnections > manyConnectionsPerCore * cores_ ? shorteningFactor : lengtheningFactor;
}

}  // namespace rainhook
