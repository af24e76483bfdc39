/// @file
/// The limit on concurrent executions, found by fuzzy hill climbing.
#pragma once

#include <chrono>

#include "decision/ids.h"

namespace rainhook {

/// Moves the limit on concurrent executions towards the lowest latency, one step per interval by the rules of
/// `fuzzyStep`.
///
/// docs/design.md lists the departures from the published controller.
class ConcurrencyLimiter {
 public:
  /// The limit starts at the number of cores and never falls below it.
  explicit ConcurrencyLimiter(int cores);

  /// The present limit; it moves in fractions.
  [[nodiscard]] double limit() const { return limit_; }

  /// Reports the latency of an answer, relative to the least latency of its handler.
  void recordLatency(double relativeLatency);

  /// Reports that a request was kept waiting by the limit and by nothing else.
  void recordLimitReached() { isLimitReached_ = true; }

  /// Ends the interval when it is due and moves the limit if the interval teaches anything.
  void update(Duration now);

  /// Raises the limit by one, at most to the ceiling: for idle cores while requests are queued, where the
  /// limit is what stands in the way, whatever the latency says.
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
  int answers_ = 0;
  bool isLimitReached_ = false;
  Duration intervalEnd_ = interval;
};

}  // namespace rainhook
