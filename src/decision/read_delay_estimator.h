/// @file
/// Estimates how long requests wait before the server reads them.
#pragma once

#include "decision/ids.h"

namespace rainhook {

/// Averages the time between the arrival of a request and its reading, and reports by how much the average
/// exceeds the usual delay, which is up to twice the minimum. The excess matters because unread requests
/// can't be shed and reading shares the cores with executions.
class ReadDelayEstimator {
 public:
  /// Records the delay of one request. In the average, the delay counts as at most `clientTimeout`.
  void recordArrival(Duration readDelay, Duration clientTimeout);

  /// Accounts for elapsed time: the minimum delay rises slowly, so that an outdated minimum is replaced.
  void advance(Duration elapsed);

  /// The seconds by which the mean delay exceeds twice the minimum delay.
  [[nodiscard]] double excessSeconds() const;

 private:
  double meanSeconds_ = 0;
  double minSeconds_ = 1;
};

}  // namespace rainhook
