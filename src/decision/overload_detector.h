/// @file
/// Measures the severity of an overload of this server.
#pragma once

#include "decision/ids.h"

namespace rainhook {

/// Derives the severity of an overload from two signs: a level that rises while a request that arrives now
/// would wait too long, and the share of recent requests that were shed. The second sign is needed if the
/// queue holds only one or two requests, when the wait does not show the overload.
class OverloadDetector {
 public:
  /// Accounts for elapsed time during which a new request would have waited `waitSeconds`. The level rises in
  /// proportion to the excess of the wait over half of `tolerableSeconds`, up to a maximum rate; without an
  /// excess it falls at a constant rate.
  void update(Duration elapsed, double waitSeconds, double tolerableSeconds);

  /// Records a request that was read, which lowers the share of shed requests.
  void recordArrival();

  /// Records a request that was shed because of this server's own load.
  void recordShed();

  /// Whether there is any sign of overload.
  [[nodiscard]] bool isUnderPressure() const;

  /// Whether the signs are clear enough to ask clients not to retry.
  [[nodiscard]] bool isOverloaded() const;

  /// The severity, from 0 (no overload) to 1 (the highest severity).
  [[nodiscard]] double severity() const;

 private:
  double level_ = 0;
  double shedShare_ = 0;
};

}  // namespace rainhook
