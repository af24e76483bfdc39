/// @file
/// Determines the ratio of each zone's local load that goes to each other zone.
#pragma once

#include <map>
#include <vector>

#include "failover/failover_types.h"
#include "failover/zone_load.h"

namespace rainhook::failover {

/// The input of assignTraffic(); the referenced values must outlive the call.
struct AssignmentInputs {
  const FailoverSettings& settings;               ///< zones, costs and margins
  const FleetObservation& observation;            ///< the age of the data and the reachability between zones
  const ZoneLoads& loads;                         ///< estimated from `observation`
  const std::map<ZoneName, ZonePlan>& zonePlans;  ///< zones of the new plan
  const std::vector<FailoverPlan>& plansInUse;    ///< plans that some instance may still follow
};

/// Moves as much as possible of the load that zones cannot serve themselves to the available capacity of
/// other zones, at the least cost. The rest stays in its zone and is shed there. An origin may continue to
/// use the capacity that a plan in use granted to it. New grants use only capacity that no plan in use has
/// granted.
[[nodiscard]] TrafficShares assignTraffic(const AssignmentInputs& inputs);

}  // namespace rainhook::failover
