/// @file
/// The state of a graceful shutdown.
#pragma once

#include "decision/ids.h"

namespace rainhook {

/// Records the shutdown notice and decides which requests may still be executed after it.
class DrainState {
 public:
  /// @param grace the time after the notice during which arriving requests may still be executed
  explicit DrainState(Duration grace) : grace_(grace) {}

  /// Records the notice, received at `now`, that the server will be stopped after `timeRemaining`.
  void onShutdownNotice(Duration now, Duration timeRemaining) {
    notifiedAt_ = now;
    stopTime_ = now + timeRemaining;
  }

  /// Whether a shutdown notice was received.
  [[nodiscard]] bool isDraining() const { return stopTime_ < Duration::max(); }

  /// Whether a request that arrived at `arrivedAt` may be executed.
  [[nodiscard]] bool mayExecute(Duration arrivedAt) const {
    return !isDraining() || arrivedAt <= notifiedAt_ + grace_;
  }

  /// When the server will be stopped; the maximum duration before a shutdown notice.
  [[nodiscard]] Duration stopTime() const { return stopTime_; }

 private:
  const Duration grace_;
  Duration notifiedAt_{};
  Duration stopTime_ = Duration::max();
};

}  // namespace rainhook
