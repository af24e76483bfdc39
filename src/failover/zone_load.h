/// @file
/// Turns observations into what the planner decides by: each zone's load, its capacity and how much of that
/// others may use. Pure functions.
#pragma once

#include <map>

#include "failover/failover_types.h"

namespace rainhook::failover {

/// Load and capacity of one zone; rates are per second.
struct ZoneLoad {
  double localLoad = 0;      ///< what its own clients send
  double capacity = 0;       ///< what it can complete, judged by what it was observed to complete
  bool isSaturated = false;  ///< its requests wait in queues for much of the time
};

/// The load of each zone, by name.
using ZoneLoads = std::map<ZoneName, ZoneLoad>;

/// Load and capacity of every zone in the settings. A zone that can't be reached has neither. `previous` is
/// the plan that the zones followed while they were observed.
[[nodiscard]] ZoneLoads estimateLoads(const FailoverSettings& settings, const FleetObservation& observation,
                                      const FailoverPlan& previous);

/// What the other zones together hand to the target, by the plan; requests per second.
[[nodiscard]] double assignedLoad(const FailoverPlan& plan, const ZoneLoads& loads, const ZoneName& target);

/// How many requests per second other zones may hand to this one: its usable capacity, less the margin for
/// the age of its data, less its local load.
[[nodiscard]] double availableCapacity(const FailoverSettings& settings, const FleetObservation& observation,
                                       const ZoneName& zone, const ZoneLoad& load, const ZonePlan& plan);

/// Whether the zone serves nobody: neither its own clients nor those of others.
[[nodiscard]] bool isWithdrawn(ZoneState state);

}  // namespace rainhook::failover
