/// @file
/// How overloaded this server is.
#pragma once

#include "decision/ids.h"

namespace rainhook {

/// Forms the severity of the overload from two signs: the wait that a request arriving now would have, and
/// the share of recent requests that were shed. The second one tells where the queue holds only one or two
/// requests and its wait shows nothing.
class OverloadDetector {
 public:
  /// Time passes while a new request would wait that long, against what is tolerable. The level rises with
  /// the excess and falls at a constant rate.
  void update(Duration elapsed, double waitSeconds, double tolerableSeconds);

  /// Reports a request that was read: the share of shed requests falls.
  void recordArrival();

  /// Reports a request that was shed because of this server's own load.
  void recordShed();

  /// Whether there is any sign of overload.
  [[nodiscard]] bool isUnderPressure() const;

  /// Whether the signs are clear enough to ask clients not to retry.
  [[nodiscard]] bool isOverloaded() const;

  /// 0 for none to 1 for an overload that can't get worse.
  [[nodiscard]] double severity() const;

 private:
  double level_ = 0;
  double shedShare_ = 0;
};

}  // namespace rainhook
