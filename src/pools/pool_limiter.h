/// @file
/// Adapts one work pool's concurrency limit to its latency.
#pragma once

namespace rainhook::pools {

/// Fuzzy hill climbing on the pool's own latency, by the four rules of Diao, Hellerstein and Parekh, as the
/// decision module's limiter for the whole server does. docs/pools.md states where this departs from the
/// paper. Constant size; not thread-safe.
class PoolLimiter {
 public:
  /// `latencyRatio`: an answer's latency over the least latency of its handler.
  void onAnswer(double latencyRatio);
  /// The limit has kept a request of the pool waiting in this interval.
  void onLimitReached() { isLimitReached_ = true; }
  /// Whether the limit has kept a request waiting in this interval.
  [[nodiscard]] bool isLimitReached() const { return isLimitReached_; }

  /// Ends an interval and returns the change of the limit, in executions. An interval with few answers goes
  /// on and changes nothing; one in which the limit was not reached says nothing about it and changes
  /// nothing.
  [[nodiscard]] double endInterval();

 private:
  [[nodiscard]] double nextStep(double meanLatencyRatio) const;

  double lastStep_ = 0;              ///< the last change of the limit, in executions
  double lastMeanLatencyRatio_ = 0;  ///< the mean that led to it; 0: there was none
  double latencyRatioSum_ = 0;       ///< of this interval
  int answers_ = 0;                  ///< of this interval
  bool isLimitReached_ = false;      ///< in this interval
};

}  // namespace rainhook::pools
