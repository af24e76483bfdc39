/// @file
/// How old the attempt of a client already is when it arrives.
#pragma once

#include <array>

#include "decision/ids.h"

namespace rainhook {

/// Tells retries from first attempts by the time that their clients still wait.
///
/// Clients wait for habitual shares of their timeout, which come again and again. Any other value is what a
/// retry has left of the timeout, and tells the time since the first attempt. Where most values are unusual,
/// as among servers that call servers, they tell nothing.
class AttemptAgeEstimator {
 public:
  /// The time since the first attempt, 0 where that is unknown; learns from the value.
  [[nodiscard]] Duration estimateAge(Duration timeRemaining, Duration clientTimeout);

 private:
  /// A share of the timeout and how often it was seen lately.
  struct Habit {
    double share = 0;
    double occurrences = 0;
  };

  /// Counts the share; returns whether it is a habit.
  bool recordShare(double share);

  static constexpr std::size_t maxHabits = 8;

  /// One row for each share; the rarest gives way to a new one.
  std::array<Habit, maxHabits> habits_;
  /// Moving average of the part of requests that wait for a habitual time.
  double habitualPart_ = 0;
};

}  // namespace rainhook
