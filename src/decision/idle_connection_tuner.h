/// @file
/// After which time idle client connections are closed.
#pragma once

#include <chrono>
#include <optional>

#include "decision/ids.h"
#include "decision/settings.h"

namespace rainhook {

/// Adapts the idle timeout of client connections to the number that are open.
///
/// Open connections take from the cores, a full table turns clients away, and a new connection costs work;
/// none of these is reported. So idle connections are closed the sooner the more are open. While much wants a
/// core that is not an execution (reading, accepting) they stay open: opening them anew would add to it, and
/// a full table keeps load out at no cost. It does harm where a connection costs far more to open than to
/// keep.
class IdleConnectionTuner {
 public:
  /// Tunes for so many cores; the timeout is lengthened at most to the fleet's `maxIdleTime`.
  IdleConnectionTuner(int cores, const FleetProfile& fleet);

  /// Reports how many tasks want a core, and how many of these are executions.
  void recordRunnableTasks(double runnableTasks, int executing);

  /// Returns the new idle timeout where it changes.
  [[nodiscard]] std::optional<Duration> update(Duration now, double openConnections);

 private:
  [[nodiscard]] double timeoutFactor(double openConnections) const;

  const int cores_;
  const Duration maxIdleTime_;
  /// Moving average of the tasks that want a core and are no executions.
  double otherTasks_ = 0;
  Duration nextUpdate_{};
  Duration timeout_ = std::chrono::seconds(2);
};

}  // namespace rainhook
