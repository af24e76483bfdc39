/// @file
/// What each zone does as a whole, as one member sees it: the statuses of its members added up, with the age
/// of the oldest, so that whoever decides by a sum can tell what it is worth.
#pragma once

#include <cstddef>
#include <vector>

#include "membership/membership.h"

namespace rainhook::membership {

/// The present members of a zone; the dead and the left count nowhere.
struct ZoneAggregate {
  ZoneName zone;                       ///< the zone's name
  RegionName region;                   ///< the region it lies in
  bool isUnreachable = false;          ///< as a whole
  std::size_t members = 0;             ///< alive or suspect
  std::size_t suspected = 0;           ///< suspect
  std::size_t unreachableMembers = 0;  ///< alive, but do not answer this member
  std::size_t withoutStatus = 0;       ///< nothing was received from them yet: the figures lack them
  std::size_t serving = 0;             ///< members in this phase
  std::size_t warmingUp = 0;           ///< members in this phase
  std::size_t draining = 0;            ///< members in this phase
  std::size_t unhealthy = 0;           ///< members in this phase
  std::size_t observers = 0;           ///< members in this phase
  double concurrencyLimit = 0;         ///< sum over those that are serving or warming up
  double running = 0;                  ///< sum
  double receivedPerSecond = 0;        ///< sum
  double completedPerSecond = 0;       ///< sum
  double warmUpProgress = 0;           ///< mean over those that are serving or warming up
  double queueingRatio = 0;            ///< mean over those that are serving or warming up
  Duration oldestStatusAge{};          ///< since a status was received, the longest
};

/// In the order of the zones' names, this member with its own.
[[nodiscard]] std::vector<ZoneAggregate> aggregateByZone(const Membership& membership, Duration now);

}  // namespace rainhook::membership
