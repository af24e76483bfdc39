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

/// Times of the steady clock and spans between them.
using Duration = std::chrono::nanoseconds;

/// A span as the number of seconds that rates are multiplied with.
[[nodiscard]] inline double toSeconds(Duration span) { return std::chrono::duration<double>(span).count(); }

/// Grows by one with each plan that is agreed.
enum class PlanVersion : std::uint64_t {};

/// What a zone does with its own clients' requests and with those of others.
enum class ZoneState : std::uint8_t {
  serving,       ///< serves its own clients; takes over from others where it has capacity
  overloaded,    ///< hands on what exceeds its capacity
  draining,      ///< hands on everything and takes over nothing
  outOfService,  ///< no member can be reached
  recovering,    ///< returns step by step
};

/// Why a zone is in its state.
enum class TransitionReason : std::uint8_t {
  none,
  unreachable,
  drainedByOperator,
  slowerThanOtherZones,  ///< a gray failure
  healthyAgain,
  waitingToRecover,  ///< reachable again, until its recovery delay is over
  reachableAgain,
  recoveryStepFailed,
  recoveryCompleted,
  recoveryStepSucceeded,
  arrivalsExceedCapacity,
  overloadEnded,
};

/// The state in words, for people.
[[nodiscard]] const char* nameOf(ZoneState state);

/// The reason in words, for people; empty for `none`.
[[nodiscard]] const char* describe(TransitionReason reason);

/// What operators state in the settings file.
struct FailoverSettings {
  std::map<ZoneName, RegionName> zones;  ///< all zones of the fleet, with the region of each
  /// Cost of handing a request from one zone to another; holds for both directions. Pairs that are absent
  /// cost `sameRegionCost` or `crossRegionCost`.
  std::map<std::pair<ZoneName, ZoneName>, double> costs;
  double sameRegionCost = 1;    ///< of one request to another zone of the same region
  double crossRegionCost = 10;  ///< of one request to a zone of another region
  /// Ratio of a zone's capacity that is kept free, and how much more for each second of its data's age.
  double capacityMargin = 0.05;
  double marginPerSecondOfAge = 0.02;  ///< ratio of capacity per second, added to `capacityMargin`
  /// Data that is as old as this says nothing about available capacity.
  Duration maxDataAge = std::chrono::seconds(10);
  /// Time between two steps of one zone.
  Duration stepInterval = std::chrono::seconds(5);
  /// Ratio of a zone's traffic that one step moves at most.
  double maxStep = 0.2;

  bool operator==(const FailoverSettings&) const = default;  ///< compares all values

  /// Cost of handing one request from the origin to the target; both must be among `zones`.
  [[nodiscard]] double costBetween(const ZoneName& origin, const ZoneName& target) const;
  /// The margin for data of this age, 0 to 1.
  [[nodiscard]] double marginForAge(Duration dataAge) const;
};

/// What a zone does, summed up over the status messages of its members.
struct ZoneObservation {
  std::size_t liveMembers = 0;  ///< 0: the zone can't be reached
  bool isUnreachable = false;   ///< as a whole, whatever `liveMembers` is
  double arrivalRate = 0;       ///< requests that arrive, its own clients' and those handed on by others
  double completionRate = 0;    ///< requests that are completed
  double executing = 0;         ///< requests that execute at a time
  double concurrencyLimit = 0;  ///< requests that may execute at a time
  double queueingRatio = 0;     ///< ratio of the time in which requests wait in its queues
  Duration dataAge{};           ///< of the oldest message that is counted
};

/// What is known about all zones at one moment.
struct FleetObservation {
  std::map<ZoneName, ZoneObservation> zones;  ///< a zone that is absent can't be reached
  /// Pairs of zones of which the first can't reach the second.
  std::set<std::pair<ZoneName, ZoneName>> unreachablePairs;

  /// The observation of a zone of which some member can be reached; else null.
  [[nodiscard]] const ZoneObservation* findReachable(const ZoneName& zone) const;
};

/// What operators have ordered; holds until they take it back.
struct OperatorOverrides {
  std::set<ZoneName> drainedZones;  ///< hand on everything and take over nothing
  bool isFrozen = false;            ///< the plan stays as it is

  bool operator==(const OperatorOverrides&) const = default;  ///< compares all orders
};

/// One zone's part of a plan.
struct ZonePlan {
  ZoneState state = ZoneState::serving;  ///< by the latest step of its state machine
  double usableRatio = 1;                ///< of its capacity; grows step by step while it recovers
  double provenRate = 0;                 ///< requests per second that it was observed to complete
  std::uint32_t failedRecoveries = 0;    ///< of late; each doubles the delay before the next attempt
  TransitionReason reason = TransitionReason::none;  ///< why it is in `state`

  bool operator==(const ZonePlan&) const = default;  ///< compares all values
};

/// Ratios of an origin's traffic, by origin and target; the rest stays at the origin.
using TrafficShares = std::map<ZoneName, std::map<ZoneName, double>>;

/// Which zone is in which state, and what ratio of whose traffic goes where.
struct FailoverPlan {
  PlanVersion version{};               ///< one more than that of the plan before
  std::map<ZoneName, ZonePlan> zones;  ///< each zone of the settings; none before the first plan
  TrafficShares shares;                ///< what moves; what is absent stays at its origin

  bool operator==(const FailoverPlan&) const = default;  ///< compares the version too

  /// The ratio of the origin's traffic that the target gets; for the origin itself, what stays.
  [[nodiscard]] double share(const ZoneName& origin, const ZoneName& target) const;
};

}  // namespace rainhook::failover
