/// @file
/// The failover planner on small simulated fleets. The tests guard against plans that exceed available
/// capacity, move traffic without need, move it in large steps or change while the fleet does not.
#include "failover/failover_planner.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <vector>

namespace rainhook::failover {
namespace {

using namespace std::chrono_literals;

const ZoneName north1{"north1"};
const ZoneName north2{"north2"};
const ZoneName north3{"north3"};
const ZoneName south{"south"};

constexpr double secondsPerRequest = 0.05;

FailoverSettings settingsOfTwoRegions() {
  FailoverSettings settings;
  settings.zones = {{north1, {"north"}}, {north2, {"north"}}, {north3, {"north"}}, {south, {"south"}}};
  return settings;
}

/// The observation of a zone that gets `arrivalRate` and can complete `capacity` requests per second.
ZoneObservation observeZone(double arrivalRate, double capacity) {
  ZoneObservation observation;
  observation.liveMembers = 3;
  observation.arrivalRate = arrivalRate;
  observation.completionRate = std::min(arrivalRate, capacity);
  observation.executing = observation.completionRate * secondsPerRequest;
  observation.concurrencyLimit = capacity * secondsPerRequest;
  observation.queueingRatio = arrivalRate > capacity ? 1 : 0;
  return observation;
}

/// A fleet that follows its plans: traffic that a zone hands over arrives at the target and uses its
/// capacity.
class SimulatedFleet {
 public:
  std::map<ZoneName, double> localLoads{{north1, 60}, {north2, 60}, {north3, 60}, {south, 60}};
  std::map<ZoneName, double> capacities{{north1, 100}, {north2, 100}, {north3, 100}, {south, 100}};
  std::set<ZoneName> unreachableZones;
  OperatorOverrides overrides;
  FailoverPlanner planner{settingsOfTwoRegions()};
  FailoverPlan plan;
  std::vector<FailoverPlan> plansInUse;  ///< the plan of the previous step
  Duration now{};
  /// The highest utilization of each zone while other zones handed traffic to it.
  std::map<ZoneName, double> peakUtilization;
  std::size_t versionChanges = 0;

  [[nodiscard]] double assignedLoad(const ZoneName& target) const {
    double assigned = 0;
    for (const auto& [origin, localLoad] : localLoads)
      if (origin != target && !unreachableZones.contains(origin))
        assigned += plan.share(origin, target) * localLoad;
    return assigned;
  }

  [[nodiscard]] FleetObservation observe() const {
    FleetObservation observation;
    for (const auto& [zone, localLoad] : localLoads)
      if (!unreachableZones.contains(zone))
        observation.zones[zone] = observeZone(localLoad + assignedLoad(zone), capacities.at(zone));
    return observation;
  }

  /// Computes one plan per second.
  void run(Duration duration) {
    for (const Duration end = now + duration; now < end; now += 1s) {
      const FailoverPlan previous = plan;
      plan = planner.nextPlan(now, observe(), overrides, plan, plansInUse);
      if (plan.version != previous.version) ++versionChanges;
      plansInUse = {previous};
      recordPeaks();
    }
  }

  /// Advances the time by one second and computes a plan from the given observation, without plans in use.
  void step(const FleetObservation& observation) {
    now += 1s;
    plan = planner.nextPlan(now, observation, overrides, plan, {});
  }

  [[nodiscard]] ZoneState stateOf(const ZoneName& zone) const { return plan.zones.at(zone).state; }

 private:
  void recordPeaks() {
    for (const auto& [zone, localLoad] : localLoads) {
      const double assigned = assignedLoad(zone);
      if (assigned <= 0) continue;
      const double load = localLoad * plan.share(zone, zone) + assigned;
      peakUtilization[zone] = std::max(peakUtilization[zone], load / capacities.at(zone));
    }
  }
};

class FailoverPlannerTest : public testing::Test {
 protected:
  FailoverPlannerTest() { fleet_.run(30s); }

  void expectNoZoneExceededItsCapacity() {
    for (const auto& [zone, utilization] : fleet_.peakUtilization) EXPECT_LE(utilization, 1.0) << zone.text;
  }

  SimulatedFleet fleet_;
};

TEST_F(FailoverPlannerTest, KeepsItsPlanAndAllTrafficLocalWhenTheFleetIsSteady) {
  fleet_.run(30s);
  EXPECT_TRUE(fleet_.plan.shares.empty());
  const std::size_t versionChanges = fleet_.versionChanges;
  fleet_.run(600s);
  EXPECT_EQ(fleet_.versionChanges, versionChanges);
  for (const auto& [zone, zonePlan] : fleet_.plan.zones) EXPECT_EQ(zonePlan.state, ZoneState::serving);
}

TEST_F(FailoverPlannerTest, MovesTrafficWithinTheRegionWhenAZoneIsDrainedAndReturnsItInSteps) {
  fleet_.overrides.drainedZones = {north1};
  fleet_.run(60s);
  const FailoverPlan drained = fleet_.plan;
  EXPECT_EQ(fleet_.stateOf(north1), ZoneState::draining);
  EXPECT_NEAR(drained.share(north1, north1), 0, 0.05);
  // 60 requests per second fit into the 35 per second that each of the two other zones of its region has
  // available.
  EXPECT_GT(drained.share(north1, north2) + drained.share(north1, north3), 0.9);
  EXPECT_LT(drained.share(north1, south), 0.05);
  expectNoZoneExceededItsCapacity();

  fleet_.overrides.drainedZones.clear();
  const double longestStep = 2 * fleet_.planner.settings().maxStep + 0.05;
  double previousShare = 0;
  while (fleet_.stateOf(north1) != ZoneState::serving && fleet_.now < 600s) {
    fleet_.run(1s);
    const double share = fleet_.plan.share(north1, north1);
    EXPECT_LE(share, previousShare + longestStep);
    previousShare = share;
  }
  fleet_.run(10s);
  EXPECT_TRUE(fleet_.plan.shares.empty());
}

TEST(FailoverPlanner, KeepsTrafficLocalWhenNoZoneHasCapacity) {
  SimulatedFleet fleet;
  for (auto& [zone, localLoad] : fleet.localLoads) localLoad = 98;
  fleet.run(30s);
  fleet.overrides.drainedZones = {north1};
  fleet.run(60s);
  EXPECT_GT(fleet.plan.share(north1, north1), 0.9);  // it sheds requests instead of overloading another zone
  for (const auto& [zone, utilization] : fleet.peakUtilization) EXPECT_LE(utilization, 1.0) << zone.text;
}

TEST_F(FailoverPlannerTest, MovesOnlyTheExcessWhenAZoneIsOverloaded) {
  fleet_.localLoads[north1] = 130;
  fleet_.run(60s);
  EXPECT_EQ(fleet_.stateOf(north1), ZoneState::overloaded);
  EXPECT_GT(fleet_.plan.share(north1, north1), 0.7);
  EXPECT_GT(fleet_.plan.share(north1, north2) + fleet_.plan.share(north1, north3), 0.15);
  for (const ZoneName& zone : {north2, north3, south})
    EXPECT_LE(fleet_.peakUtilization[zone], 1.0) << zone.text;
}

// An observation can overstate a zone's capacity. The completion rate shows the real capacity once the zone
// gets more traffic, and the planner must then take the excess back.
TEST_F(FailoverPlannerTest, TakesBackTrafficWhenAnObservationOverstatedTheCapacity) {
  fleet_.capacities[north2] = 62;
  const FleetObservation overstated = fleet_.observe();
  fleet_.overrides.drainedZones = {north1};
  const auto loadOfNorth2 = [this] { return fleet_.assignedLoad(north2) + fleet_.localLoads[north2]; };
  for (int step = 0; step < 40; ++step) {
    FleetObservation observation = fleet_.observe();
    if (loadOfNorth2() <= fleet_.capacities[north2])
      observation.zones[north2] = overstated.zones.at(north2);  // until its load exceeds its capacity
    const FailoverPlan previous = fleet_.plan;
    fleet_.now += 1s;
    fleet_.plan =
        fleet_.planner.nextPlan(fleet_.now, observation, fleet_.overrides, fleet_.plan, fleet_.plansInUse);
    fleet_.plansInUse = {previous};
  }
  EXPECT_LE(loadOfNorth2(), fleet_.capacities[north2] * 1.05);
}

TEST_F(FailoverPlannerTest, DoublesTheRecoveryDelayWhenAZoneBecomesUnreachableAgain) {
  std::vector<double> delays;
  for (int loss = 0; loss < 5; ++loss) {
    fleet_.unreachableZones = {north1};
    fleet_.run(3s);
    EXPECT_EQ(fleet_.stateOf(north1), ZoneState::outOfService);
    fleet_.unreachableZones.clear();
    const Duration reachableSince = fleet_.now;
    while (fleet_.stateOf(north1) == ZoneState::outOfService && fleet_.now < reachableSince + 1000s)
      fleet_.run(1s);
    delays.push_back(toSeconds(fleet_.now - reachableSince));
  }
  for (std::size_t i = 1; i < delays.size(); ++i) EXPECT_GE(delays[i], 1.5 * delays[i - 1]) << i;
}

TEST_F(FailoverPlannerTest, DrainsAZoneWhenItsRequestsTakeFiveTimesAsLong) {
  for (int step = 0; step < 60; ++step) {
    FleetObservation observation = fleet_.observe();
    observation.zones[north3].executing *= 5;
    fleet_.step(observation);
  }
  EXPECT_EQ(fleet_.stateOf(north3), ZoneState::draining) << describe(fleet_.plan.zones.at(north3).reason);
}

TEST_F(FailoverPlannerTest, ReportsAnOverloadInsteadOfAGrayFailureWhenAZoneIsOverloaded) {
  fleet_.localLoads[north3] = 140;
  fleet_.run(60s);
  EXPECT_EQ(fleet_.stateOf(north3), ZoneState::overloaded);
}

TEST_F(FailoverPlannerTest, KeepsThePlanWhenItIsFrozen) {
  fleet_.overrides = {{north1}, true};
  const FailoverPlan frozen = fleet_.plan;
  fleet_.run(10s);
  EXPECT_EQ(fleet_.plan, frozen);
}

TEST_F(FailoverPlannerTest, AvoidsATargetWhenTheOriginCannotReachIt) {
  fleet_.overrides.drainedZones = {north1};
  for (int step = 0; step < 30; ++step) {
    FleetObservation observation = fleet_.observe();
    observation.unreachablePairs = {{north1, north2}};
    fleet_.step(observation);
  }
  EXPECT_EQ(fleet_.plan.share(north1, north2), 0);
  EXPECT_GT(fleet_.plan.share(north1, north3), 0);
}

// Some instance may still follow an older plan. The capacity that such a plan grants is not available for new
// grants; otherwise both together overload the target.
TEST_F(FailoverPlannerTest, GrantsLessCapacityWhenAPlanInUseGrantsSomeOfIt) {
  FailoverPlan planInUse = fleet_.plan;
  planInUse.shares[north1][north2] = 0.5;  // 30 of the 35 requests per second that north2 has available
  fleet_.overrides.drainedZones = {north3};
  fleet_.now += 1s;
  const auto planWith = [this](const std::vector<FailoverPlan>& plansInUse) {
    FailoverPlanner planner = fleet_.planner;
    return planner.nextPlan(fleet_.now, fleet_.observe(), fleet_.overrides, fleet_.plan, plansInUse);
  };
  const FailoverPlan withPlanInUse = planWith({planInUse});
  const FailoverPlan without = planWith({});
  EXPECT_LE(withPlanInUse.share(north3, north2) * fleet_.localLoads[north3], 5 + 1);
  EXPECT_GT(withPlanInUse.share(north3, north1), 0.4);
  EXPECT_GT(without.share(north3, north1) + without.share(north3, north2), 0.8);
  EXPECT_LT(withPlanInUse.share(north3, north1) + withPlanInUse.share(north3, north2), 0.8);
}

/// Generates random observations and overrides with RapidCheck.
class GeneratedFleet {
 public:
  FleetObservation generateObservation() {
    FleetObservation observation;
    for (const ZoneName& zone : zones_) {
      if (*rc::gen::inRange(0, 10) == 0) continue;
      ZoneObservation& observed = observation.zones[zone];
      observed = observeZone(*rc::gen::inRange(0, 200), *rc::gen::inRange(1, 150));
      observed.dataAge = std::chrono::milliseconds(*rc::gen::inRange(0, 12000));
      observed.isUnreachable = *rc::gen::inRange(0, 20) == 0;
    }
    return observation;
  }

  void generateOverrides(OperatorOverrides& overrides) {
    if (*rc::gen::inRange(0, 4) == 0)
      overrides.drainedZones = {zones_[*rc::gen::inRange<std::size_t>(0, zones_.size())]};
  }

 private:
  const std::vector<ZoneName> zones_{north1, north2, north3, south};
};

void assertVersionFollows(const FailoverPlan& next, const FailoverPlan& previous) {
  const PlanVersion successor{static_cast<std::uint64_t>(previous.version) + 1};
  RC_ASSERT(next.version == previous.version || next.version == successor);
  RC_ASSERT(next.version != previous.version || next == previous);
}

void assertSharesAreValid(const FailoverPlan& plan) {
  for (const auto& [origin, targets] : plan.shares) {
    double sum = 0;
    for (const auto& [target, share] : targets) {
      RC_ASSERT(share >= 0 && origin != target);
      const ZoneState state = plan.zones.at(target).state;
      RC_ASSERT(state != ZoneState::outOfService && state != ZoneState::draining);
      sum += share;
    }
    RC_ASSERT(sum <= 1 + 1e-9);
    RC_ASSERT(plan.zones.at(origin).state != ZoneState::serving);
  }
}

/// The upper bound of the target's capacity that follows from the rates it was observed to complete.
double provenCapacity(const ZoneName& target, const ZoneObservation& observed, const FailoverPlan& next,
                      const FailoverPlan& previous) {
  if (observed.queueingRatio > 0) return 0;
  const auto before = previous.zones.find(target);
  const double provenBefore = before == previous.zones.end() ? 0.0 : before->second.provenRate;
  return std::max({observed.completionRate, next.zones.at(target).provenRate, provenBefore}) * 1.5;
}

/// Asserts that the new grants of each target are within its proven capacity. Grants that a plan in use
/// contains already are not new.
void assertNewGrantsFit(const FleetObservation& observation, const FailoverPlan& next,
                        const FailoverPlan& previous, const std::vector<FailoverPlan>& plansInUse) {
  for (const auto& [target, observedTarget] : observation.zones) {
    double granted = 0;
    for (const auto& [origin, observedOrigin] : observation.zones) {
      if (origin == target) continue;
      double shareInUse = previous.share(origin, target);
      for (const FailoverPlan& plan : plansInUse)
        shareInUse = std::max(shareInUse, plan.share(origin, target));
      granted += std::max(0.0, next.share(origin, target) - shareInUse) * observedOrigin.arrivalRate;
    }
    RC_ASSERT(granted <= provenCapacity(target, observedTarget, next, previous) + 1);
  }
}

RC_GTEST_PROP(FailoverPlanner, KeepsItsInvariantsWhenObservationsAreArbitrary, ()) {
  GeneratedFleet fleet;
  FailoverPlanner planner(settingsOfTwoRegions());
  FailoverPlan plan;
  std::vector<FailoverPlan> plansInUse;
  OperatorOverrides overrides;
  Duration now{};
  for (int step = 0; step < 12; ++step) {
    const FleetObservation observation = fleet.generateObservation();
    fleet.generateOverrides(overrides);
    const FailoverPlan next = planner.nextPlan(now, observation, overrides, plan, plansInUse);
    assertVersionFollows(next, plan);
    assertSharesAreValid(next);
    assertNewGrantsFit(observation, next, plan, plansInUse);
    plansInUse = {plan};
    plan = next;
    now += 3s;
  }
}

}  // namespace
}  // namespace rainhook::failover
