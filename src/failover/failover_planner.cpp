#include "failover/failover_planner.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <set>

#include "failover/minimum_cost_flow.h"
#include "failover/traffic_assignment.h"

namespace rainhook::failover {
namespace {

/// A share that changes by at most this ratio of the traffic does not justify a new plan.
constexpr double materialShareChange = 0.02;
/// A proven rate that changes by at most this ratio of itself does not justify a new plan.
constexpr double materialRateChange = 0.25;
/// A plan omits shares below this ratio.
constexpr double negligibleShare = 1e-6;

PlanVersion nextVersion(PlanVersion version) { return PlanVersion{static_cast<std::uint64_t>(version) + 1}; }

void dropNegligibleShares(TrafficShares& shares) {
  for (auto& [origin, targets] : shares)
    std::erase_if(targets, [](const auto& entry) { return entry.second < negligibleShare; });
  std::erase_if(shares, [](const auto& entry) { return entry.second.empty(); });
}

bool differsMaterially(const ZonePlan& plan, const ZonePlan& previous) {
  const double minRateChange = materialRateChange * std::max(previous.provenRate, 1.0);
  return plan.state != previous.state || plan.usableRatio != previous.usableRatio ||
         plan.failedRecoveries != previous.failedRecoveries ||
         std::abs(previous.provenRate - plan.provenRate) > minRateChange;
}

}  // namespace

FailoverPlan FailoverPlanner::nextPlan(Duration now, const FleetObservation& observation,
                                       const OperatorOverrides& overrides, const FailoverPlan& previous,
                                       const std::vector<FailoverPlan>& plansInUse) {
  if (overrides.isFrozen) return previous;
  const ZoneLoads loads = estimateLoads(settings_, observation, previous);
  FailoverPlan plan;
  plan.zones = advanceStates(now, observation, overrides, previous, loads);
  std::vector<FailoverPlan> allPlansInUse = plansInUse;
  allPlansInUse.push_back(previous);
  plan.shares = assignTraffic({settings_, observation, loads, plan.zones, allPlansInUse});
  limitGrowth(plan, previous);
  dropNegligibleShares(plan.shares);
  if (!differsMaterially(plan, previous) && !exceedsCapacity(previous, plan, observation, loads))
    return previous;
  plan.version = nextVersion(previous.version);
  return plan;
}

std::map<ZoneName, ZonePlan> FailoverPlanner::advanceStates(Duration now, const FleetObservation& observation,
                                                            const OperatorOverrides& overrides,
                                                            const FailoverPlan& previous,
                                                            const ZoneLoads& loads) {
  const std::set<ZoneName> grayFailures = grayFailureDetector_.update(now, settings_, observation);
  std::map<ZoneName, ZonePlan> zonePlans;
  for (const auto& [zone, region] : settings_.zones) {
    const ZoneInputs inputs{
        .observation = observation.findReachable(zone),
        .load = loads.at(zone),
        .isGrayFailure = grayFailures.contains(zone),
        .healthySince = grayFailureDetector_.healthySince(zone),
        .isDrained = overrides.drainedZones.contains(zone),
    };
    const auto found = previous.zones.find(zone);
    const ZonePlan before = found == previous.zones.end() ? ZonePlan{} : found->second;
    zonePlans[zone] = stateMachines_[zone].advance(now, settings_, inputs, before);
  }
  return zonePlans;
}

/// Limits the growth of each share to one step, except for origins that serve no requests. Shares may shrink
/// without limit.
void FailoverPlanner::limitGrowth(FailoverPlan& plan, const FailoverPlan& previous) const {
  for (auto& [origin, targets] : plan.shares) {
    if (isWithdrawn(plan.zones.at(origin).state)) continue;
    for (auto& [target, share] : targets)
      share = std::min(share, previous.share(origin, target) + settings_.maxStep);
  }
}

bool FailoverPlanner::differsMaterially(const FailoverPlan& plan, const FailoverPlan& previous) const {
  if (plan.zones.size() != previous.zones.size()) return true;
  for (const auto& [zone, zonePlan] : plan.zones) {
    const auto before = previous.zones.find(zone);
    if (before == previous.zones.end()) return true;
    if (failover::differsMaterially(zonePlan, before->second)) return true;
    for (const auto& [target, region] : settings_.zones) {
      const double change = std::abs(plan.share(zone, target) - previous.share(zone, target));
      if (zone != target && change > materialShareChange) return true;
    }
  }
  return false;
}

/// Whether the previous plan hands some zone more load than its available capacity now.
bool FailoverPlanner::exceedsCapacity(const FailoverPlan& previous, const FailoverPlan& plan,
                                      const FleetObservation& observation, const ZoneLoads& loads) const {
  return std::any_of(loads.begin(), loads.end(), [&](const auto& entry) {
    const auto& [target, load] = entry;
    const double available = availableCapacity(settings_, observation, target, load, plan.zones.at(target));
    return assignedLoad(previous, loads, target) > available + flowResolution;
  });
}

}  // namespace rainhook::failover
