/// @file
/// Decides what ratio of each zone's local load goes to which other zone.
#pragma once

#include <map>
#include <vector>

#include "failover/failover_types.h"
#include "failover/zone_load.h"

namespace rainhook::failover {

/// What traffic is assigned by; the referenced values must outlive the call.
struct AssignmentInputs {
  const FailoverSettings& settings;               ///< zones, costs and margins
  const FleetObservation& observation;            ///< age of the data, and which zones can reach which
  const ZoneLoads& loads;                         ///< estimated from `observation`
  const std::map<ZoneName, ZonePlan>& zonePlans;  ///< of the plan that is being made
  const std::vector<FailoverPlan>& plansInUse;    ///< that some instance may still follow
};

/// Moves as much as possible of what zones can't serve themselves into the available capacity of others, at
/// the least cost; the rest stays where it is and is shed there. An origin may go on using what a plan in use
/// gave it; only capacity that no plan in use has given away is given anew.
[[nodiscard]] TrafficShares assignTraffic(const AssignmentInputs& inputs);

}  // namespace rainhook::failover
