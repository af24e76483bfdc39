/// @file
/// How long requests stand unread before the server reads them.
#pragma once

#include "decision/ids.h"

namespace rainhook {

/// Averages the time between arrival and reading, and tells how much of it is more than usual. Requests that
/// stand unread can't be shed; they wait for the cores that executions share with reading.
class ReadDelayEstimator {
 public:
  /// Reports the delay of one request; what is beyond its client's timeout is not averaged.
  void recordArrival(Duration readDelay, Duration clientTimeout);

  /// Time passes; the least delay ages upward, so that it can be forgotten.
  void advance(Duration elapsed);

  /// Seconds of the mean delay above twice the least one.
  [[nodiscard]] double excessSeconds() const;

 private:
  double meanSeconds_ = 0;
  double minSeconds_ = 1;
};

}  // namespace rainhook
