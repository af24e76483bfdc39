/// @file
/// What one work pool's requests have been like of late.
#pragma once

#include "pools/pool_settings.h"

namespace rainhook::pools {

/// Arrival rate, service time and earned weight of one pool, all of them fading. Constant size; not
/// thread-safe.
class PoolStatistics {
 public:
  /// Begins with the weight and the service time of the settings, and without arrivals.
  explicit PoolStatistics(const PoolSettings& settings);

  /// Counts a request for the arrival rate.
  void onRequestArrived() { ++arrivals_; }
  /// Adds an execution to the service time and to the earned weight.
  void onExecutionEnded(const ExecutionReport& report);
  /// Lets what was counted fade by the time since the last call. No time at all changes nothing.
  void advance(double elapsedSeconds);

  /// Core seconds that one execution takes.
  [[nodiscard]] double serviceSeconds() const { return serviceSeconds_; }
  /// How many executions at a time the arriving requests ask for (Little's law).
  [[nodiscard]] double demand() const { return arrivalRate_ * serviceSeconds_; }
  /// Weight earned within the latency objective for each core second; near the settings' while little has
  /// run.
  [[nodiscard]] double weightPerCoreSecond() const;

 private:
  double priorityWeight_;
  double serviceSeconds_;
  double earnedWeight_ = 0;
  double spentCoreSeconds_ = 0;
  double arrivalRate_ = 0;  ///< requests per second
  int arrivals_ = 0;        ///< since the last call of advance
};

}  // namespace rainhook::pools
