#include "failover/zone_load.h"

#include <algorithm>

namespace rainhook::failover {
namespace {

/// A zone whose requests queue for at least this ratio of the time completes requests at its capacity.
constexpr double saturatedQueueingRatio = 0.5;
/// Upper bound of a zone's estimated capacity, as a multiple of its observed completion rate.
constexpr double maxCapacityGrowth = 1.5;
/// Number of rounds that separate the local load of all zones from their assigned load.
constexpr int localLoadRounds = 4;

/// While requests queue, the capacity of a zone is its completion rate. Otherwise it is the rate that the
/// zone would complete at its concurrency limit with the observed service time (Little's law), bounded by
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

/// The origin and the target both count a request that is handed over as arrived. Repeated substitution
/// separates the requests of each zone's own clients.
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
