/// @file
/// Estimates the input of the planner from observations: each zone's load, its capacity and the part of the
/// capacity that other zones may use. Functions without side effects.
#pragma once

#include <map>

#include "failover/failover_types.h"

namespace rainhook::failover {

/// Load and capacity of one zone; rates are per second.
struct ZoneLoad {
  double localLoad = 0;  ///< requests that its own clients send
  double capacity = 0;   ///< requests that it can complete, estimated from those it was observed to complete
  bool isSaturated = false;  ///< requests wait in its queues for at least half of the time
};

/// The load of each zone, by name.
using ZoneLoads = std::map<ZoneName, ZoneLoad>;

/// Estimates load and capacity of every zone in the settings; both are 0 for an unreachable zone. `previous`
/// is the plan that the zones followed while they were observed.
[[nodiscard]] ZoneLoads estimateLoads(const FailoverSettings& settings, const FleetObservation& observation,
                                      const FailoverPlan& previous);

/// Returns the load that the other zones together hand to the target under the plan, in requests per second.
[[nodiscard]] double assignedLoad(const FailoverPlan& plan, const ZoneLoads& loads, const ZoneName& target);

/// Returns the rate, in requests per second, that other zones may hand to this zone: its usable capacity,
/// less the margin for the age of its data, less its local load.
[[nodiscard]] double availableCapacity(const FailoverSettings& settings, const FleetObservation& observation,
                                       const ZoneName& zone, const ZoneLoad& load, const ZonePlan& plan);

/// Whether a zone in this state serves no requests, neither of its own clients nor of other zones.
[[nodiscard]] bool isWithdrawn(ZoneState state);

}  // namespace rainhook::failover
