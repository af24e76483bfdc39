#include "decision/fuzzy_rules.h"

#include <algorithm>

namespace rainhook {
namespace {

/// Membership in the fuzzy set "large and positive": rises linearly from 0 at -1 to 1 at 1.
double positiveLarge(double value) { return (1 + std::clamp(value, -1.0, 1.0)) / 2; }

}  // namespace

double fuzzyStep(double lastStep, double latencyChange) {
  const double steppedUp = positiveLarge(lastStep);
  const double steppedDown = 1 - steppedUp;
  const double latencyRose = positiveLarge(latencyChange);
  const double latencyFell = 1 - latencyRose;

  // Evaluate the four rules; the minimum is the fuzzy AND.
  const double stepUp = std::min(steppedDown, latencyRose) + std::min(steppedUp, latencyFell);
  const double stepDown = std::min(steppedDown, latencyFell) + std::min(steppedUp, latencyRose);

  // Return the center of gravity of the conclusions at 1 and -1.
  return (stepUp - stepDown) / (stepUp + stepDown);
}

}  // namespace rainhook
