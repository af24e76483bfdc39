/// @file
/// Tunes the time after which idle client connections are closed.
#pragma once

#include <chrono>
#include <optional>

#include "decision/ids.h"
#include "decision/settings.h"

namespace rainhook {

/// Adapts the idle timeout of client connections to the number that are open.
///
/// Open connections use core time, a full connection table rejects clients, and a new connection costs work,
/// but the host reports none of these. So the more connections are open, the sooner idle ones are closed.
/// While many tasks other than executions (reading, accepting) compete for the cores, idle connections stay
/// open: reopening them would add to that load, and a full connection table rejects load at no cost. The
/// method is harmful if a connection costs far more to open than to keep.
class IdleConnectionTuner {
 public:
  /// Tunes for a machine with `cores` cores; the timeout never exceeds the fleet's `maxIdleTime`, unless that
  /// is below the minimum timeout of 100 ms.
  IdleConnectionTuner(int cores, const FleetProfile& fleet);

  /// Records how many tasks are running or ready to run, and how many of these are executions.
  void recordRunnableTasks(double runnableTasks, int executing);

  /// Returns the new idle timeout if it changes.
  [[nodiscard]] std::optional<Duration> update(Duration now, double openConnections);

 private:
  [[nodiscard]] double timeoutFactor(double openConnections) const;

  const int cores_;
  const Duration maxIdleTime_;
  /// Moving average of the tasks, other than executions, that are running or ready to run.
  double otherTasks_ = 0;
  Duration nextUpdate_{};
  Duration timeout_ = std::chrono::seconds(2);
};

}  // namespace rainhook
