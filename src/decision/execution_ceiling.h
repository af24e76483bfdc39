/// @file
/// Bounds the number of concurrent executions by what the machine can sustain, also after a cold start.
#pragma once

#include "decision/ids.h"
#include "decision/settings.h"

namespace rainhook {

/// Calculates the ceiling on executions that have started and not ended. Executions that wait for downstream
/// calls count too, since the policy does not control when they return to the cores. The ceiling only bounds
/// the concurrency limit and never raises it.
class ExecutionCeiling {
 public:
  /// Assumes that the engine started at time 0, cold or warm as the profile states.
  explicit ExecutionCeiling(const MachineProfile& machine) : machine_(machine) {}

  /// Sets when the execution engine started, and whether that was a cold start.
  void setEngineStart(bool isCold, Duration startedAt);

  /// Returns the ceiling at `now`, at least 1. It rises linearly while the machine warms up after a cold
  /// start.
  [[nodiscard]] double maxExecutions(Duration now) const;

 private:
  [[nodiscard]] double warmUpProgress(Duration now) const;

  MachineProfile machine_;
  Duration startedAt_{};
};

}  // namespace rainhook
