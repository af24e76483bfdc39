/// @file
/// A mean time per completed unit of work that gives recent measurements more weight.
#pragma once

#include <cmath>

#include "decision/ids.h"
#include "decision/time_conversion.h"

namespace rainhook {

/// Measures the time spent for each completed unit as the quotient of active time and completed units, both
/// of which decay exponentially. Active time counts before a unit completes, so a stall is visible at once.
class DecayingRate {
 public:
  /// Starts without measurements; the weight of a measurement halves after each `halfLife`.
  explicit DecayingRate(Duration halfLife) : halfLifeSeconds_(toSeconds(halfLife)) {}

  /// Accounts for elapsed time during which `active` units were in progress.
  void advance(Duration elapsed, double active) {
    const double seconds = toSeconds(elapsed);
    const double retained = std::exp2(-seconds / halfLifeSeconds_);
    activeSeconds_ = activeSeconds_ * retained + active * seconds;
    completedUnits_ *= retained;
  }

  /// Records the completion of `units` units.
  void recordCompletion(double units) { completedUnits_ += units; }

  /// Returns the seconds per unit. The prior, `priorUnits` units that took `expectedSeconds` each, is added
  /// to the measurements.
  [[nodiscard]] double secondsPerUnit(double expectedSeconds, double priorUnits) const {
    return (activeSeconds_ + expectedSeconds * priorUnits) / (completedUnits_ + priorUnits);
  }

 private:
  const double halfLifeSeconds_;
  double activeSeconds_ = 0;
  double completedUnits_ = 0;
};

}  // namespace rainhook
