/// @file
/// The aggregated statuses of the members of each zone in the view of one member. The age of the oldest
/// status lets users of the sums assess how current they are.
#pragma once

#include <cstddef>
#include <vector>

#include "membership/membership.h"

namespace rainhook::membership {

/// The aggregate of the present members of a zone; dead and left members are not included.
struct ZoneAggregate {
  ZoneName zone;                       ///< the zone's name
  RegionName region;                   ///< the zone's region
  bool isUnreachable = false;          ///< whether the zone is unreachable as a whole
  std::size_t members = 0;             ///< members that are alive or suspect
  std::size_t suspected = 0;           ///< members that are suspect
  std::size_t unreachableMembers = 0;  ///< members that are alive but do not answer this one
  std::size_t withoutStatus = 0;       ///< members without a known status, which the sums lack
  std::size_t serving = 0;             ///< members in this phase
  std::size_t warmingUp = 0;           ///< members in this phase
  std::size_t draining = 0;            ///< members in this phase
  std::size_t unhealthy = 0;           ///< members in this phase
  std::size_t observers = 0;           ///< members in this phase
  double concurrencyLimit = 0;         ///< sum over members that are serving or warming up
  double running = 0;                  ///< sum of the executing requests
  double receivedPerSecond = 0;        ///< sum of the received requests per second
  double completedPerSecond = 0;       ///< sum of the completed requests per second
  double warmUpProgress = 0;           ///< mean over members that are serving or warming up
  double queueingRatio = 0;            ///< mean over members that are serving or warming up
  Duration oldestStatusAge{};          ///< the longest time since a member's status was received
};

/// Returns the zones in the order of their names; this member is part of its own zone.
[[nodiscard]] std::vector<ZoneAggregate> aggregateByZone(const Membership& membership, Duration now);

}  // namespace rainhook::membership
