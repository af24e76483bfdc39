#include "decision/attempt_age_estimator.h"

#include <chrono>
#include <cmath>

#include "decision/time_conversion.h"

namespace rainhook {
namespace {

using namespace std::chrono_literals;

/// Shares that differ by less than this count as the same share.
constexpr double shareTolerance = 0.003;
/// Each request multiplies the earlier occurrences of every share by this factor.
constexpr double occurrenceRetention = 0.995;
/// A share with fewer occurrences than this may be replaced by a new one.
constexpr double replaceableOccurrences = 0.9;
/// A share with more occurrences than this is frequent.
constexpr double frequentOccurrences = 4;
constexpr double frequentFractionGain = 0.03;
/// If the fraction of requests with a frequent share is below this, no age is derived from infrequent shares.
constexpr double minFrequentFraction = 0.6;

}  // namespace

Duration AttemptAgeEstimator::estimateAge(Duration timeRemaining, Duration clientTimeout) {
  const double share = toSeconds(timeRemaining) / toSeconds(clientTimeout);
  const bool isFrequent = recordShare(share);
  frequentFraction_ += ((isFrequent ? 1.0 : 0.0) - frequentFraction_) * frequentFractionGain;
  if (isFrequent || frequentFraction_ < minFrequentFraction) return 0s;
  return fromSeconds((1 - share) * toSeconds(clientTimeout));
}

bool AttemptAgeEstimator::recordShare(double share) {
  TrackedShare* rarest = &trackedShares_.front();
  TrackedShare* known = nullptr;
  for (TrackedShare& tracked : trackedShares_) {
    tracked.occurrences *= occurrenceRetention;
    if (!known && std::abs(tracked.share - share) < shareTolerance) known = &tracked;
    if (tracked.occurrences < rarest->occurrences) rarest = &tracked;
  }
  if (!known) {
    if (rarest->occurrences < replaceableOccurrences) *rarest = {.share = share, .occurrences = 1};
    return false;
  }
  // Each share has only one entry, so a common share leaves entries for the others.
  ++known->occurrences;
  return known->occurrences > frequentOccurrences;
}

}  // namespace rainhook
