/// @file
/// The graceful shutdown of a server.
#pragma once

#include "decision/ids.h"

namespace rainhook {

/// Knows whether a shutdown notice has come, and what may still be executed after it.
class DrainState {
 public:
  /// @param grace requests that arrive so long after the notice may still be executed
  explicit DrainState(Duration grace) : grace_(grace) {}

  /// Takes the notice, at `now`, that the server will be stopped after `timeRemaining`.
  void onShutdownNotice(Duration now, Duration timeRemaining) {
    notifiedAt_ = now;
    stopTime_ = now + timeRemaining;
  }

  /// Whether a shutdown notice has come.
  [[nodiscard]] bool isDraining() const { return stopTime_ < Duration::max(); }

  /// Whether a request that arrived at that time may be executed.
  [[nodiscard]] bool mayExecute(Duration arrivedAt) const {
    return !isDraining() || arrivedAt <= notifiedAt_ + grace_;
  }

  /// When the server is stopped; the largest duration where that is not known.
  [[nodiscard]] Duration stopTime() const { return stopTime_; }

 private:
  const Duration grace_;
  Duration notifiedAt_{};
  Duration stopTime_ = Duration::max();
};

}  // namespace rainhook
