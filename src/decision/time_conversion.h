/// @file
/// Conversions between `Duration` and floating-point seconds, which the estimates use.
#pragma once

#include <algorithm>
#include <chrono>

#include "decision/ids.h"

namespace rainhook {

/// Returns the duration in seconds.
[[nodiscard]] inline double toSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

/// Converts seconds to a duration, clamped to between 0 and a million seconds so that no estimate can
/// overflow a `Duration`.
[[nodiscard]] inline Duration fromSeconds(double seconds) {
  constexpr double maxSeconds = 1e6;
  constexpr double nanosecondsPerSecond = 1e9;
  return Duration(static_cast<Duration::rep>(std::clamp(seconds, 0.0, maxSeconds) * nanosecondsPerSecond));
}

}  // namespace rainhook
