/// @file
/// How many executions the machine survives, with its slow start.
#pragma once

#include "decision/ids.h"
#include "decision/settings.h"

namespace rainhook {

/// The ceiling on executions that have started and not ended. Those at downstream calls count too, since they
/// come back to the cores unasked. It only bounds the concurrency limit and never raises it.
class ExecutionCeiling {
 public:
  /// Takes the engine to have started at time 0, cold or warm as the profile says.
  explicit ExecutionCeiling(const MachineProfile& machine) : machine_(machine) {}

  /// Corrects whether and when the execution engine started cold.
  void setEngineStart(bool isCold, Duration startedAt);

  /// The ceiling now, at least 1. After a cold start it rises linearly as the machine warms up.
  [[nodiscard]] double maxExecutions(Duration now) const;

 private:
  [[nodiscard]] double warmUpProgress(Duration now) const;

  MachineProfile machine_;
  Duration startedAt_{};
};

}  // namespace rainhook
