/// @file
/// Adapts the concurrency limit of one work pool to its latency.
#pragma once

namespace rainhook::pools {

/// Moves the limit of one pool by fuzzy hill climbing on the latency of that pool. It uses the four rules of
/// Diao, Hellerstein and Parekh, as `ConcurrencyLimiter` does for the whole server. docs/pools.md states the
/// differences from the paper. The object has a constant size and is not thread-safe.
class PoolLimiter {
 public:
  /// Records the latency of a response relative to the minimum latency of its handler.
  void recordLatency(double relativeLatency);
  /// Records that the limit made a request of the pool wait in this interval.
  void recordLimitReached() { isLimitReached_ = true; }
  /// Whether the limit made a request of the pool wait in this interval.
  [[nodiscard]] bool isLimitReached() const { return isLimitReached_; }

  /// Ends the interval and returns the change of the limit, in executions. If the interval has fewer than ten
  /// responses it continues and the change is 0. If the limit was not reached, the latency does not depend on
  /// the limit and the change is 0.
  [[nodiscard]] double endInterval();

 private:
  [[nodiscard]] double nextStep(double meanLatency) const;

  double lastStep_ = 0;             ///< the previous change of the limit, in executions
  double previousMeanLatency_ = 0;  ///< the mean that led to that change; 0 before the first change
  double latencySum_ = 0;           ///< sum over the responses of this interval
  int responses_ = 0;               ///< number of responses in this interval
  bool isLimitReached_ = false;     ///< whether the limit was reached in this interval
};

}  // namespace rainhook::pools
