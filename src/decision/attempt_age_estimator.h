/// @file
/// Estimates the time between a client's first attempt and the attempt that arrives.
#pragma once

#include <array>

#include "decision/ids.h"

namespace rainhook {

/// Distinguishes retries from first attempts by the time that the client will still wait.
///
/// In first attempts this time is one of a few shares of the client timeout that occur frequently. Any other
/// value is taken as the rest of the timeout that a retry has left, which gives the time since the first
/// attempt. If most values are infrequent, as with servers that call other servers, no age is estimated.
class AttemptAgeEstimator {
 public:
  /// Returns the time since the first attempt, 0 if unknown, and adds the value to the statistics.
  [[nodiscard]] Duration estimateAge(Duration timeRemaining, Duration clientTimeout);

 private:
  /// A share of the timeout and its decaying number of occurrences.
  struct TrackedShare {
    double share = 0;
    double occurrences = 0;
  };

  /// Counts an occurrence of the share; returns whether the share is frequent.
  bool recordShare(double share);

  static constexpr std::size_t maxTrackedShares = 8;

  /// One entry for each share; a new share replaces the rarest.
  std::array<TrackedShare, maxTrackedShares> trackedShares_;
  /// Moving average of the fraction of requests that have a frequent share.
  double frequentFraction_ = 0;
};

}  // namespace rainhook
