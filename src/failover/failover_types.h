/// @file
/// The values that the failover planner reads and writes: settings, observations, operator overrides and
/// plans. Plain values without invariants of their own; rates are per second, ratios from 0 to 1.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "membership/types.h"

namespace rainhook::failover {

using membership::RegionName;
using membership::ZoneName;

/// Times of the steady clock and differences between them.
using Duration = std::chrono::nanoseconds;

/// Converts a duration to seconds, the time unit of rates.
[[nodiscard]] inline double toSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

/// Version of a plan; increases by one with each new plan.
enum class PlanVersion : std::uint64_t {};

/// How a zone handles the requests of its own clients and of other zones.
enum class ZoneState : std::uint8_t {
  serving,       ///< serves its own clients, and other zones' traffic if it has capacity
  overloaded,    ///< hands the load that exceeds its capacity to other zones
  draining,      ///< hands all traffic to other zones and gets none from them
  outOfService,  ///< none of its members is reachable
  recovering,    ///< returns to service step by step
};

/// Why a zone is in its state.
enum class TransitionReason : std::uint8_t {
  none,
  unreachable,
  drainedByOperator,
  slowerThanOtherZones,  ///< a gray failure
  healthyAgain,
  waitingToRecover,  ///< reachable again, but its recovery delay has not passed
  reachableAgain,
  recoveryStepFailed,
  recoveryCompleted,
  recoveryStepSucceeded,
  arrivalsExceedCapacity,
  overloadEnded,
};

/// The state in words, for output to operators.
[[nodiscard]] const char* nameOf(ZoneState state);

/// The reason in words, for output to operators; empty for `none`.
[[nodiscard]] const char* describe(TransitionReason reason);

/// The settings of failover in the operators' file.
struct FailoverSettings {
  std::map<ZoneName, RegionName> zones;  ///< all zones of the fleet and their regions
  /// Cost of handing a request from one zone to another, in either direction. The cost of an absent pair is
  /// `sameRegionCost` or `crossRegionCost`.
  std::map<std::pair<ZoneName, ZoneName>, double> costs;
  double sameRegionCost = 1;    ///< of handing one request to another zone of the same region
  double crossRegionCost = 10;  ///< of handing one request to a zone of another region
  /// Ratio of a zone's capacity that is kept free.
  double capacityMargin = 0.05;
  /// Added to `capacityMargin` for each second of the age of a zone's data.
  double marginPerSecondOfAge = 0.02;
  /// A zone whose data is at least this old has no available capacity.
  Duration maxDataAge = std::chrono::seconds(10);
  /// Time between two recovery steps of one zone; recovery delays are multiples of it.
  Duration stepInterval = std::chrono::seconds(5);
  /// The largest ratio of a zone's traffic that one step may move.
  double maxStep = 0.2;

  bool operator==(const FailoverSettings&) const = default;  ///< compares all values

  /// Cost of handing one request from the origin to the target; both must be among `zones`.
  [[nodiscard]] double costBetween(const ZoneName& origin, const ZoneName& target) const;
  /// The margin for data of this age, 0 to 1.
  [[nodiscard]] double marginForAge(Duration dataAge) const;
};

/// The load of a zone, aggregated from the status messages of its members.
struct ZoneObservation {
  std::size_t liveMembers = 0;  ///< 0 means that the zone is unreachable
  bool isUnreachable = false;   ///< the whole zone is unreachable, regardless of `liveMembers`
  double arrivalRate = 0;       ///< requests that arrive per second, from its own clients and other zones
  double completionRate = 0;    ///< requests that are completed per second
  double executing = 0;         ///< number of requests that execute concurrently
  double concurrencyLimit = 0;  ///< number of requests that may execute concurrently
  double queueingRatio = 0;     ///< ratio of the time during which requests wait in its queues
  Duration dataAge{};           ///< age of the oldest aggregated message
};

/// The observations of all zones at one moment.
struct FleetObservation {
  std::map<ZoneName, ZoneObservation> zones;  ///< an absent zone is unreachable
  /// Pairs of zones in which the first cannot reach the second.
  std::set<std::pair<ZoneName, ZoneName>> unreachablePairs;

  /// Returns the observation of a zone, or null if none of its members is reachable.
  [[nodiscard]] const ZoneObservation* findReachable(const ZoneName& zone) const;
};

/// Orders of operators, in effect until an operator revokes them.
struct OperatorOverrides {
  std::set<ZoneName> drainedZones;  ///< zones that hand all traffic to others and get none
  bool isFrozen = false;            ///< the plan does not change

  bool operator==(const OperatorOverrides&) const = default;  ///< compares all orders
};

/// One zone's part of a plan.
struct ZonePlan {
  ZoneState state = ZoneState::serving;  ///< after the latest step of its state machine
  double usableRatio = 1;  ///< usable part of its capacity; grows in steps while the zone recovers
  double provenRate = 0;   ///< requests per second that it has been observed to complete
  std::uint32_t failedRecoveries = 0;  ///< recent failures; each doubles the delay before the next recovery
  TransitionReason reason = TransitionReason::none;  ///< why the zone is in `state`

  bool operator==(const ZonePlan&) const = default;  ///< compares all values
};

/// Ratios of each origin's traffic that go to other zones, by origin and target. The rest stays at the
/// origin.
using TrafficShares = std::map<ZoneName, std::map<ZoneName, double>>;

/// The state of each zone, and the shares of traffic that zones hand to each other.
struct FailoverPlan {
  PlanVersion version{};               ///< one more than the version of the previous plan
  std::map<ZoneName, ZonePlan> zones;  ///< all zones of the settings; empty before the first plan
  TrafficShares shares;  ///< the traffic that moves; traffic without a share stays at its origin

  bool operator==(const FailoverPlan&) const = default;  ///< compares all values, including the version

  /// Returns the ratio of the origin's traffic that the target gets. For the origin itself, returns the ratio
  /// that stays there.
  [[nodiscard]] double share(const ZoneName& origin, const ZoneName& target) const;
};

}  // namespace rainhook::failover
