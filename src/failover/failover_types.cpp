#include "failover/failover_types.h"

#include <algorithm>

namespace rainhook::failover {

const char* nameOf(ZoneState state) {
  switch (state) {
    case ZoneState::serving:
      return "serving";
    case ZoneState::overloaded:
      return "overloaded";
    case ZoneState::draining:
      return "draining";
    case ZoneState::outOfService:
      return "out of service";
    case ZoneState::recovering:
      return "recovering";
  }
  return "";
}

const char* describe(TransitionReason reason) {
  switch (reason) {
    case TransitionReason::none:
      return "";
    case TransitionReason::unreachable:
      return "no member can be reached";
    case TransitionReason::drainedByOperator:
      return "drained by an operator";
    case TransitionReason::slowerThanOtherZones:
      return "its requests take over three times as long as elsewhere";
    case TransitionReason::healthyAgain:
      return "healthy again";
    case TransitionReason::waitingToRecover:
      return "reachable again, recovery delay not over";
    case TransitionReason::reachableAgain:
      return "reachable again";
    case TransitionReason::recoveryStepFailed:
      return "requests queue there: one step back";
    case TransitionReason::recoveryCompleted:
      return "recovery completed";
    case TransitionReason::recoveryStepSucceeded:
      return "it completes what it gets";
    case TransitionReason::arrivalsExceedCapacity:
      return "more arrives than it can complete";
    case TransitionReason::overloadEnded:
      return "overload ended";
  }
  return "";
}

double FailoverSettings::costBetween(const ZoneName& origin, const ZoneName& target) const {
  for (const auto& pair : {std::pair(origin, target), std::pair(target, origin)})
    if (const auto cost = costs.find(pair); cost != costs.end()) return cost->second;
  return zones.at(origin) == zones.at(target) ? sameRegionCost : crossRegionCost;
}

double FailoverSettings::marginForAge(Duration dataAge) const {
  return std::clamp(capacityMargin + marginPerSecondOfAge * toSeconds(dataAge), 0.0, 1.0);
}

const ZoneObservation* FleetObservation::findReachable(const ZoneName& zone) const {
  const auto found = zones.find(zone);
  if (found == zones.end()) return nullptr;
  const ZoneObservation& observation = found->second;
  const bool isReachable = observation.liveMembers > 0 && !observation.isUnreachable;
  return isReachable ? &observation : nullptr;
}

double FailoverPlan::share(const ZoneName& origin, const ZoneName& target) const {
  const auto targets = shares.find(origin);
  if (targets != shares.end())
    if (const auto found = targets->second.find(target); found != targets->second.end()) return found->second;
  if (origin != target) return 0;
  double movedShare = 0;
  if (targets != shares.end())
    for (const auto& [zone, share] : targets->second) movedShare += share;
  return std::max(0.0, 1 - movedShare);
}

}  // namespace rainhook::failover
