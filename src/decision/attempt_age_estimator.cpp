#include "decision/attempt_age_estimator.h"

#include <chrono>
#include <cmath>

#include "decision/time_conversion.h"

namespace rainhook {
namespace {

using namespace std::chrono_literals;

/// Shares closer than this are the same habit.
constexpr double shareTolerance = 0.003;
/// Each request lets what was seen before fade by this factor.
constexpr double occurrenceRetention = 0.995;
/// A habit seen less than this gives way to a new one.
constexpr double replaceableOccurrences = 0.9;
/// A share seen more often than this is a habit.
constexpr double habitOccurrences = 4;
constexpr double habitualPartGain = 0.03;
/// Below this part of habitual requests, an unusual share tells nothing.
constexpr double minHabitualPart = 0.6;

}  // namespace

Duration AttemptAgeEstimator::estimateAge(Duration timeRemaining, Duration clientTimeout) {
  const double share = toSeconds(timeRemaining) / toSeconds(clientTimeout);
  const bool isHabit = recordShare(share);
  habitualPart_ += ((isHabit ? 1.0 : 0.0) - habitualPart_) * habitualPartGain;
  if (isHabit || habitualPart_ < minHabitualPart) return 0s;
  return fromSeconds((1 - share) * toSeconds(clientTimeout));
}

bool AttemptAgeEstimator::recordShare(double share) {
  Habit* rarest = &habits_.front();
  Habit* known = nullptr;
  for (Habit& habit : habits_) {
    habit.occurrences *= occurrenceRetention;
    if (!known && std::abs(habit.share - share) < shareTolerance) known = &habit;
    if (habit.occurrences < rarest->occurrences) rarest = &habit;
  }
  if (!known) {
    if (rarest->occurrences < replaceableOccurrences) *rarest = {.share = share, .occurrences = 1};
    return false;
  }
  // One row for each habit: a common one leaves room for the others.
  ++known->occurrences;
  return known->occurrences > habitOccurrences;
}

}  // namespace rainhook
