/// @file
/// Conversions between `Duration` and seconds as floating-point numbers, in which estimates are calculated.
#pragma once

#include <algorithm>
#include <chrono>

#include "decision/ids.h"

namespace rainhook {

/// The duration in seconds.
[[nodiscard]] inline double toSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

/// Limited to the range from 0 to a million seconds, so that no estimate can overflow a `Duration`.
[[nodiscard]] inline Duration fromSeconds(double seconds) {
  constexpr double maxSeconds = 1e6;
  constexpr double nanosecondsPerSecond = 1e9;
  return Duration(static_cast<Duration::rep>(std::clamp(seconds, 0.0, maxSeconds) * nanosecondsPerSecond));
}

}  // namespace rainhook
