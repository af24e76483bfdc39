/// @file
/// A mean time per completion in which the past fades.
#pragma once

#include <cmath>

#include "decision/ids.h"
#include "decision/time_conversion.h"

namespace rainhook {

/// Measures the time spent for each unit completed, from the time that work has been active and the units
/// that it completed, both decaying exponentially. It shows a stall while nothing has completed yet.
class DecayingRate {
 public:
  /// Starts with no past; what was seen counts half after each `halfLife`.
  explicit DecayingRate(Duration halfLife) : halfLifeSeconds_(toSeconds(halfLife)) {}

  /// Time passes while `active` units are being worked on.
  void advance(Duration elapsed, double active) {
    const double seconds = toSeconds(elapsed);
    const double retained = std::exp2(-seconds / halfLifeSeconds_);
    activeSeconds_ = activeSeconds_ * retained + active * seconds;
    completedUnits_ *= retained;
  }

  /// Reports that so many units were completed.
  void recordCompletion(double units) { completedUnits_ += units; }

  /// Seconds per unit, where `priorUnits` units of the expected time are added to what was seen.
  [[nodiscard]] double secondsPerUnit(double expectedSeconds, double priorUnits) const {
    return (activeSeconds_ + expectedSeconds * priorUnits) / (completedUnits_ + priorUnits);
  }

 private:
  const double halfLifeSeconds_;
  double activeSeconds_ = 0;
  double completedUnits_ = 0;
};

}  // namespace rainhook
