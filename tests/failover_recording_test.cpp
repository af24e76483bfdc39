/// @file
/// Compares the failover planner with its recorded behaviour; see recording.h. Simulated fleets of two to six
/// zones follow their plans while zones fail, slow down, become overloaded and are drained.
#include <gtest/gtest.h>

#include <array>
#include <iterator>
#include <map>
#include <string>
#include <vector>

#include "failover/failover_planner.h"
#include "recording.h"

namespace rainhook::failover {
namespace {

using namespace std::chrono_literals;
using recording::Fnv1aHash;
using recording::RecordedRun;
using recording::SplitMix64;

constexpr int runCount = 160;
constexpr int stepsPerHash = 10;

/// The numbers in the recording. They must not change, even if the enumeration does.
std::uint64_t stableNumber(ZoneState state) {
  switch (state) {
    case ZoneState::serving:
      return 1;
    case ZoneState::overloaded:
      return 2;
    case ZoneState::draining:
      return 3;
    case ZoneState::outOfService:
      return 4;
    case ZoneState::recovering:
      return 5;
  }
  return 0;
}

std::uint64_t stableNumber(TransitionReason reason) {
  switch (reason) {
    case TransitionReason::none:
      return 1;
    case TransitionReason::unreachable:
      return 2;
    case TransitionReason::drainedByOperator:
      return 3;
    case TransitionReason::slowerThanOtherZones:
      return 4;
    case TransitionReason::healthyAgain:
      return 5;
    case TransitionReason::waitingToRecover:
      return 6;
    case TransitionReason::reachableAgain:
      return 7;
    case TransitionReason::recoveryStepFailed:
      return 8;
    case TransitionReason::recoveryCompleted:
      return 9;
    case TransitionReason::recoveryStepSucceeded:
      return 10;
    case TransitionReason::arrivalsExceedCapacity:
      return 11;
    case TransitionReason::overloadEnded:
      return 12;
  }
  return 0;
}

constexpr std::size_t stateNumbers = 6;
constexpr std::size_t reasonNumbers = 13;

/// Counts how often each situation occurred, so that the test fails if the recording no longer covers it.
struct Coverage {
  int steps = 0;
  int unchangedPlans = 0;
  int plansWithShares = 0;
  std::array<int, stateNumbers> states{};
  std::array<int, reasonNumbers> reasons{};
};

void addPlan(Fnv1aHash& hash, const FailoverPlan& plan) {
  hash.add(static_cast<std::uint64_t>(plan.version));
  hash.add(std::uint64_t{plan.zones.size()});
  for (const auto& [zone, zonePlan] : plan.zones) {
    hash.add(zone.text);
    hash.add(stableNumber(zonePlan.state));
    hash.add(zonePlan.usableRatio);
    hash.add(zonePlan.provenRate);
    hash.add(std::uint64_t{zonePlan.failedRecoveries});
    hash.add(stableNumber(zonePlan.reason));
  }
  hash.add(std::uint64_t{plan.shares.size()});
  for (const auto& [origin, targets] : plan.shares) {
    hash.add(origin.text);
    hash.add(std::uint64_t{targets.size()});
    for (const auto& [target, share] : targets) {
      hash.add(target.text);
      hash.add(share);
    }
  }
}

void count(Coverage& coverage, const FailoverPlan& plan) {
  if (!plan.shares.empty()) ++coverage.plansWithShares;
  for (const auto& [zone, zonePlan] : plan.zones) {
    ++coverage.states.at(stableNumber(zonePlan.state));
    ++coverage.reasons.at(stableNumber(zonePlan.reason));
  }
}

enum class Fault : std::uint8_t { none, missing, memberless, unreachable, slow, verySlow, noWork, stale };

struct SimulatedZone {
  double localRate = 0;  ///< requests per second of its own clients
  double capacity = 0;   ///< requests per second
  double secondsPerRequest = 0.05;
  Fault fault = Fault::none;
  double slowdown = 1;  ///< factor on the service time while the zone is slow
  int faultStepsLeft = 0;
};

/// A fleet of zones that follows the plans of a planner.
class SimulatedFleet {
 public:
  explicit SimulatedFleet(int seed)
      : random_(static_cast<std::uint64_t>(seed)),
        planner_(drawSettings()),
        faultPercent_(random_.oneOf(std::array{0, 2, 5, 12})),
        overloadPercent_(random_.oneOf(std::array{0, 20, 60})) {
    for (const auto& [zone, region] : planner_.settings().zones) drawLoad(zones_[zone]);
  }

  RecordedRun run(const std::string& name, Coverage& coverage) {
    RecordedRun recorded{name, {}};
    Fnv1aHash hash;
    const auto steps = random_.between(60, 140);
    for (std::int64_t step = 1; step <= steps; ++step) {
      changeConditions();
      const FailoverPlan previous = plan_;
      plan_ = planner_.nextPlan(now_, observe(), overrides_, plan_, plansInUse_);
      addPlan(hash, plan_);
      count(coverage, plan_);
      ++coverage.steps;
      if (plan_.version == previous.version) ++coverage.unchangedPlans;
      updatePlansInUse(previous);
      advanceTime();
      if (step % stepsPerHash == 0 || step == steps) recorded.hashes.push_back(hash.value());
    }
    return recorded;
  }

 private:
  FailoverSettings drawSettings() {
    FailoverSettings settings;
    const auto zoneCount = random_.between(2, 6);
    const auto regionCount = random_.between(1, 3);
    std::vector<ZoneName> names;
    for (std::int64_t zone = 0; zone < zoneCount; ++zone) {
      names.push_back({"zone" + std::to_string(zone)});
      settings.zones[names.back()] = {"region" + std::to_string(random_.between(1, regionCount))};
    }
    for (std::size_t i = 0; i + 1 < names.size(); ++i)
      if (random_.percent(25)) settings.costs[{names[i + 1], names[i]}] = drawCost();
    if (random_.percent(40)) settings.capacityMargin = random_.thousandths(0, 300);
    if (random_.percent(40)) settings.maxStep = random_.thousandths(50, 1000);
    if (random_.percent(40)) settings.stepInterval = std::chrono::milliseconds(random_.between(500, 8000));
    return settings;
  }

  // Costs are multiples of a quarter, whose sums are exact. With other fractions rounding can make a reduced
  // cost negative, and Boost's solver then throws.
  double drawCost() { return static_cast<double>(random_.between(0, 60)) / 4; }

  void drawLoad(SimulatedZone& zone) {
    zone.capacity = random_.thousandths(20'000, 200'000);
    const bool overloaded = random_.percent(overloadPercent_);
    const double utilization = overloaded ? random_.thousandths(900, 1600) : random_.thousandths(100, 900);
    zone.localRate = zone.capacity * utilization;
    zone.secondsPerRequest = random_.thousandths(40, 60);
  }

  void changeConditions() {
    for (auto& [name, zone] : zones_) {
      if (random_.percent(4)) drawLoad(zone);
      if (random_.percent(30)) zone.localRate *= random_.thousandths(950, 1050);
      if (zone.faultStepsLeft > 0 && --zone.faultStepsLeft == 0) zone.fault = Fault::none;
      if (random_.percent(faultPercent_)) drawFault(zone);
    }
    if (random_.percent(5)) toggleDrain();
    if (random_.percent(overrides_.isFrozen ? 40 : 2)) overrides_.isFrozen = !overrides_.isFrozen;
    if (random_.percent(5)) drawUnreachablePair();
  }

  void drawFault(SimulatedZone& zone) {
    zone.fault =
        random_.oneOf(std::array{Fault::missing, Fault::memberless, Fault::unreachable, Fault::slow,
                                 Fault::slow, Fault::verySlow, Fault::verySlow, Fault::noWork, Fault::stale});
    zone.slowdown = random_.thousandths(1400, 4000);
    zone.faultStepsLeft = static_cast<int>(random_.between(1, 30));
  }

  const ZoneName& drawZone() { return std::next(zones_.begin(), random_.between(0, lastZone()))->first; }
  [[nodiscard]] std::int64_t lastZone() const { return static_cast<std::int64_t>(zones_.size()) - 1; }

  void toggleDrain() {
    const ZoneName& zone = drawZone();
    if (overrides_.drainedZones.erase(zone) == 0) overrides_.drainedZones.insert(zone);
  }

  void drawUnreachablePair() {
    unreachablePairs_.clear();
    if (random_.percent(60)) {
      const ZoneName& from = drawZone();
      const ZoneName& to = drawZone();
      unreachablePairs_.insert({from, to});
    }
  }

  double assignedRate(const ZoneName& target) const {
    double rate = 0;
    for (const auto& [origin, zone] : zones_)
      if (origin != target) rate += plan_.share(origin, target) * zone.localRate;
    return rate;
  }

  FleetObservation observe() {
    FleetObservation observation;
    observation.unreachablePairs = unreachablePairs_;
    for (const auto& [name, zone] : zones_)
      if (zone.fault != Fault::missing) observation.zones[name] = observeZone(name, zone);
    return observation;
  }

  ZoneObservation observeZone(const ZoneName& name, const SimulatedZone& zone) {
    ZoneObservation observed;
    observed.liveMembers = zone.fault == Fault::memberless ? 0 : 3;
    observed.isUnreachable = zone.fault == Fault::unreachable;
    observed.arrivalRate = zone.localRate * plan_.share(name, name) + assignedRate(name);
    observed.completionRate = std::min(observed.arrivalRate, zone.capacity);
    if (zone.fault == Fault::noWork) observed.completionRate = 0;
    double slowdown = 1;
    if (zone.fault == Fault::slow) slowdown = zone.slowdown;
    if (zone.fault == Fault::verySlow) slowdown = 5;
    observed.executing = observed.completionRate * zone.secondsPerRequest * slowdown;
    observed.concurrencyLimit = zone.capacity * zone.secondsPerRequest * random_.thousandths(900, 1500);
    observed.queueingRatio = observed.arrivalRate > zone.capacity ? random_.thousandths(400, 1000) : 0;
    observed.dataAge =
        std::chrono::milliseconds(random_.between(0, zone.fault == Fault::stale ? 15'000 : 3000));
    return observed;
  }

  void updatePlansInUse(const FailoverPlan& previous) {
    if (random_.percent(60)) plansInUse_.push_back(previous);
    while (plansInUse_.size() > 3) plansInUse_.erase(plansInUse_.begin());
    if (random_.percent(30)) plansInUse_.clear();
  }

  void advanceTime() {
    const Duration interval = planner_.settings().stepInterval;
    if (random_.percent(3))
      now_ += interval * random_.between(20, 300);
    else if (random_.percent(50))
      now_ += interval;  // exactly one interval, which tests comparisons at their boundary
    else
      now_ += std::chrono::milliseconds(random_.between(200, 6000));
  }

  SplitMix64 random_;
  FailoverPlanner planner_;
  const int faultPercent_;
  const int overloadPercent_;
  std::map<ZoneName, SimulatedZone> zones_;
  OperatorOverrides overrides_;
  std::set<std::pair<ZoneName, ZoneName>> unreachablePairs_;
  FailoverPlan plan_;
  std::vector<FailoverPlan> plansInUse_;
  Duration now_{};
};

/// The bounds are about two thirds of the counts of the first recording. Runs with lower counts would cover
/// less behaviour.
void expectEnoughCoverage(const Coverage& coverage) {
  EXPECT_GE(coverage.steps, 10'700);
  EXPECT_GE(coverage.unchangedPlans, 3600);
  EXPECT_GE(coverage.plansWithShares, 5000);
  constexpr std::array<int, stateNumbers> minStateCounts{0, 15'000, 3800, 12'600, 6400, 3300};
  for (std::size_t number = 0; number < stateNumbers; ++number)
    EXPECT_GE(coverage.states[number], minStateCounts[number]) << "state " << number;
  constexpr std::array<int, reasonNumbers> minReasonCounts{0,   6200, 5700, 11'500, 1100, 280, 670,
                                                           400, 1200, 3600, 1400,   3800, 5100};
  for (std::size_t number = 0; number < reasonNumbers; ++number)
    EXPECT_GE(coverage.reasons[number], minReasonCounts[number]) << "reason " << number;
}

TEST(FailoverRecording, EveryPlanIsAsRecordedWhenFleetsMeetFaults) {
  Coverage coverage;
  std::vector<RecordedRun> runs;
  for (int seed = 1; seed <= runCount; ++seed)
    runs.push_back(SimulatedFleet(seed).run("fleet" + std::to_string(seed), coverage));
  expectEnoughCoverage(coverage);
  recording::expectMatchesRecording("failover_recording.txt", runs);
}

}  // namespace
}  // namespace rainhook::failover
