/// @file
/// Finds the concurrency limit by fuzzy hill climbing.
#pragma once

#include <chrono>

#include "decision/ids.h"

namespace rainhook {

/// Moves the concurrency limit towards the lowest latency, one step per interval by the rules of `fuzzyStep`.
///
/// docs/design.md lists the differences from the controller in the paper that fuzzy_rules.h cites.
class ConcurrencyLimiter {
 public:
  /// Starts with a limit equal to the number of cores; the limit never falls below that number.
  explicit ConcurrencyLimiter(int cores);

  /// The current limit; it changes in fractions of an execution.
  [[nodiscard]] double limit() const { return limit_; }

  /// Records the latency of a response relative to the minimum latency of its handler.
  void recordLatency(double relativeLatency);

  /// Records that a request had to wait only because of the limit.
  void recordLimitReached() { isLimitReached_ = true; }

  /// Ends the interval if it is due and has enough responses; then moves the limit if it was reached in the
  /// interval.
  void update(Duration now);

  /// Raises the limit by one, at most to the ceiling, regardless of the latency. For use when cores are idle
  /// while the limit keeps requests in the queue.
  void raiseByOne(double ceiling);

  /// Lowers the limit to the ceiling, but not below the number of cores.
  void clampTo(double ceiling);

 private:
  [[nodiscard]] double nextStep(double meanLatency) const;

  static constexpr Duration interval = std::chrono::seconds(1);

  const double minLimit_;
  double limit_;
  double lastStep_ = 0;
  double previousMeanLatency_ = 0;
  double latencySum_ = 0;
  int responses_ = 0;
  bool isLimitReached_ = false;
  Duration intervalEnd_ = interval;
};

}  // namespace rainhook
