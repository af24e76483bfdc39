#include "failover/zone_load.h"

#include <algorithm>

namespace rainhook::failover {
namespace {

/// Requests that queue for this ratio of the time show that the zone completes all it can.
constexpr double saturatedQueueingRatio = 0.5;
/// A zone is believed to be capable of this multiple, at most, of what it was observed to complete.
constexpr double maxCapacityGrowth = 1.5;
/// Rounds in which local load and assigned load of all zones are told apart.
constexpr int localLoadRounds = 4;

/// While requests queue, a zone's completion rate is its capacity. Otherwise its capacity is what it would
/// complete at its concurrency limit with today's service time (Little's law), bounded by
/// `maxCapacityGrowth`.
double estimateCapacity(const ZoneObservation& observation, bool isSaturated, double provenRate) {
  const double observedRate = std::max(observation.completionRate, isSaturated ? 0.0 : provenRate);
  if (isSaturated) return observedRate;
  double rateAtLimit = observation.completionRate;
  if (observation.executing > 0)
    rateAtLimit *= std::max(1.0, observation.concurrencyLimit / observation.executing);
  return std::max(observedRate, std::min(rateAtLimit, maxCapacityGrowth * observedRate));
}

double provenRate(const FailoverPlan& plan, const ZoneName& zone) {
  const auto found = plan.zones.find(zone);
  return found == plan.zones.end() ? 0 : found->second.provenRate;
}

/// A request that is handed on is counted as arrived at both ends; repeated substitution separates the zones'
/// own clients' requests.
void separateLocalLoads(ZoneLoads& loads, const FleetObservation& observation, const FailoverPlan& previous) {
  for (int round = 0; round < localLoadRounds; ++round)
    for (auto& [zone, load] : loads)
      if (const ZoneObservation* observed = observation.findReachable(zone))
        load.localLoad = std::max(0.0, observed->arrivalRate - assignedLoad(previous, loads, zone));
}

}  // namespace

ZoneLoads estimateLoads(const FailoverSettings& settings, const FleetObservation& observation,
                        const FailoverPlan& previous) {
  ZoneLoads loads;
  for (const auto& [zone, region] : settings.zones) {
    ZoneLoad& load = loads[zone];
    const ZoneObservation* observed = observation.findReachable(zone);
    if (!observed) continue;
    load.isSaturated = observed->queueingRatio >= saturatedQueueingRatio;
    load.capacity = estimateCapacity(*observed, load.isSaturated, provenRate(previous, zone));
    load.localLoad = observed->arrivalRate;
  }
  separateLocalLoads(loads, observation, previous);
  return loads;
}

double assignedLoad(const FailoverPlan& plan, const ZoneLoads& loads, const ZoneName& target) {
  double assigned = 0;
  for (const auto& [origin, load] : loads)
    if (origin != target) assigned += plan.share(origin, target) * load.localLoad;
  return assigned;
}

double availableCapacity(const FailoverSettings& settings, const FleetObservation& observation,
                         const ZoneName& zone, const ZoneLoad& load, const ZonePlan& plan) {
  const auto found = observation.zones.find(zone);
  if (isWithdrawn(plan.state) || found == observation.zones.end()) return 0;
  const Duration dataAge = found->second.dataAge;
  if (dataAge >= settings.maxDataAge) return 0;
  const double usable = load.capacity * plan.usableRatio * (1 - settings.marginForAge(dataAge));
  return std::max(0.0, usable - load.localLoad);
}

bool isWithdrawn(ZoneState state) { return state == ZoneState::draining || state == ZoneState::outOfService; }

}  // namespace rainhook::failover
