#include "decision/idle_connection_tuner.h"

#include <algorithm>

#include "decision/time_conversion.h"

namespace rainhook {
namespace {

using namespace std::chrono_literals;

constexpr Duration updateInterval = 1s;
constexpr Duration minIdleTimeout = 100ms;
constexpr double otherTasksGain = 0.02;
/// More other tasks per core than this are a storm of reading and accepting.
constexpr double stormTasksPerCore = 1;
/// More open connections per core than this are too many.
constexpr double manyConnectionsPerCore = 6;
/// Changes of the timeout at each update.
constexpr double stormFactor = 2;
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
  const Duration wanted = fromSeconds(toSeconds(timeout_) * timeoutFactor(openConnections));
  const Duration maxTimeout = std::max(minIdleTimeout, maxIdleTime_);
  const Duration timeout = std::clamp(wanted, minIdleTimeout, maxTimeout);
  if (timeout == timeout_) return std::nullopt;
  timeout_ = timeout;
  return timeout;
}

double IdleConnectionTuner::timeoutFactor(double openConnections) const {
  if (otherTasks_ > stormTasksPerCore * cores_) return stormFactor;
  return openConnections > manyConnectionsPerCore * cores_ ? shorteningFactor : lengtheningFactor;
}

}  // namespace rainhook
