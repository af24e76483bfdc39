/// @file
/// Estimates the time between a client's first attempt and the attempt that arrives.
#pragma once

#include <array>

#include "decision/ids.h"

namespace rainhook {

/// Distinguishes retries from first attempts by the time that the client will still wait.
///
/// For first attempts, this time is a frequent share of the client timeout; only a few shares are frequent.
/// Any other share is taken as what a retry has left of the timeout, so the rest of the timeout has passed
/// since the first attempt. If most requests have infrequent shares, as when the clients are servers that
/// pass on the time that they have left, no age is estimated.
class AttemptAgeEstimator {
 public:
  /// Returns the time since the first attempt, 0 if unknown, and counts the share in the statistics.
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
