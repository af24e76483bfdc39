/// @file
/// Computes the failover plan of a fleet of zones: which zone serves its own clients, and what ratio of each
/// zone's traffic goes to which other zone. docs/failover.md explains the method and the published practice
/// behind it (regional evacuation, capacity-aware spill).
#pragma once

#include <map>
#include <vector>

#include "failover/failover_types.h"
#include "failover/gray_failure_detector.h"
#include "failover/zone_load.h"
#include "failover/zone_state_machine.h"

namespace rainhook::failover {

/// Computes a sequence of plans. The planner is deterministic: it computes the next plan from observations,
/// operator overrides, the previous plan and the time, without I/O, a clock, threads or randomness.
///
/// Traffic stays in its own zone as long as that zone can serve it. Excess traffic moves to zones with
/// measured capacity, at the least cost. If no zone has capacity, the traffic stays local and is shed there.
///
/// Invariants:
/// - The load that all origins together hand to a zone, including the load that plans in use still grant, is
///   within its available capacity. A margin that grows with the age of its data is already deducted from it.
/// - A zone that is out of service or draining gets no traffic.
/// - An origin's shares, including its own, sum up to 1.
///
/// Stores a few timestamps for each zone of the settings. Not thread-safe.
class FailoverPlanner {
 public:
  /// Starts without history: the timestamps of each zone begin with the first plan.
  explicit FailoverPlanner(FailoverSettings settings) : settings_(std::move(settings)) {}

  /// Computes the plan that follows `previous`. Returns `previous` itself, with the same version, if nothing
  /// changes materially. `plansInUse` are older plans that some instance may still follow. `now` must not
  /// decrease from call to call.
  [[nodiscard]] FailoverPlan nextPlan(Duration now, const FleetObservation& observation,
                                      const OperatorOverrides& overrides, const FailoverPlan& previous,
                                      const std::vector<FailoverPlan>& plansInUse);

  /// The settings of all plans.
  [[nodiscard]] const FailoverSettings& settings() const { return settings_; }

 private:
  [[nodiscard]] std::map<ZoneName, ZonePlan> advanceStates(Duration now, const FleetObservation& observation,
                                                           const OperatorOverrides& overrides,
                                                           const FailoverPlan& previous,
                                                           const ZoneLoads& loads);
  void limitGrowth(FailoverPlan& plan, const FailoverPlan& previous) const;
  [[nodiscard]] bool differsMaterially(const FailoverPlan& plan, const FailoverPlan& previous) const;
  [[nodiscard]] bool exceedsCapacity(const FailoverPlan& previous, const FailoverPlan& plan,
                                     const FleetObservation& observation, const ZoneLoads& loads) const;

  FailoverSettings settings_;
  GrayFailureDetector grayFailureDetector_;
  std::map<ZoneName, ZoneStateMachine> stateMachines_;
};

}  // namespace rainhook::failover
