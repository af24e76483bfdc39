/// @file
/// Makes the plan of a fleet of zones: which zone serves its own clients, and what ratio of whose traffic
/// goes to which other zone. docs/failover.md explains the method and the published practice behind it
/// (regional evacuation, capacity-aware spill).
#pragma once

#include <map>
#include <vector>

#include "failover/failover_types.h"
#include "failover/gray_failure_detector.h"
#include "failover/zone_load.h"
#include "failover/zone_state_machine.h"

namespace rainhook::failover {

/// Makes one plan after the other. Deterministic: observations, operator overrides, the plan before and the
/// time go in, the next plan comes out; no I/O, clock, threads or randomness.
///
/// Traffic stays local while its own zone can serve it. What must move goes where there is measured capacity,
/// at the least cost; where there is none, it stays local and is shed there.
///
/// Invariants:
/// - What all origins together hand to a zone, including what plans in use still grant, is within its
/// available
///   capacity, less a margin that grows with the age of its data.
/// - A zone that is out of service or draining gets nothing.
/// - An origin's shares, its own included, sum up to 1.
///
/// Holds some times for each zone of the settings. Not thread-safe.
class FailoverPlanner {
 public:
  /// Starts without history: the times it holds for each zone begin with the first plan.
  explicit FailoverPlanner(FailoverSettings settings) : settings_(std::move(settings)) {}

  /// The plan that follows `previous`; equal to it, version included, where nothing is to change.
  /// `plansInUse`: older plans that some instance may still follow. `now` must not go back.
  [[nodiscard]] FailoverPlan nextPlan(Duration now, const FleetObservation& observation,
                                      const OperatorOverrides& overrides, const FailoverPlan& previous,
                                      const std::vector<FailoverPlan>& plansInUse);

  /// The settings that every plan is made by.
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
