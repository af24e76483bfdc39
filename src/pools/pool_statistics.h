/// @file
/// Recent statistics of the requests of one work pool.
#pragma once

#include "pools/pool_settings.h"

namespace rainhook::pools {

/// Measures the arrival rate, service time and earned weight of one pool. The arrival rate and the earned
/// weight decay with time; the service time is a moving average over executions. The object has a constant
/// size and is not thread-safe.
class PoolStatistics {
 public:
  /// Starts with the weight and the service time of the settings and without arrivals.
  explicit PoolStatistics(const PoolSettings& settings);

  /// Counts a request in the arrival rate.
  void onRequestArrived() { ++arrivals_; }
  /// Adds an execution to the service time and to the earned weight.
  void onExecutionEnded(const ExecutionReport& report);
  /// Updates the arrival rate, and lets older measurements decay by the time since the last call. Has no
  /// effect if no time elapsed.
  void advance(double elapsedSeconds);

  /// Estimated core seconds of one execution.
  [[nodiscard]] double serviceSeconds() const { return serviceSeconds_; }
  /// The number of concurrent executions that the arriving requests need (Little's law).
  [[nodiscard]] double demand() const { return arrivalRate_ * serviceSeconds_; }
  /// Weight earned within the latency objective for each core second; close to the value that the
  /// settings imply while few executions have been recorded.
  [[nodiscard]] double weightPerCoreSecond() const;

 private:
  double priorityWeight_;
  double serviceSeconds_;
  double earnedWeight_ = 0;
  double spentCoreSeconds_ = 0;
  double arrivalRate_ = 0;  ///< requests per second
  int arrivals_ = 0;        ///< requests since the last call of `advance`
};

}  // namespace rainhook::pools
