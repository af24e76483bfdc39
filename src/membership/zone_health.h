/// @file
/// Distinguishes a zone that is unreachable as a whole from individual member failures.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "membership/member_table.h"
#include "membership/membership_settings.h"

namespace rainhook::membership {

/// Observations of the present members of a zone.
struct ZoneObservation {
  std::size_t present = 0;    ///< members that are alive or suspect
  std::size_t suspected = 0;  ///< members that are suspect
  Duration lastEvidence{-1};  ///< the latest evidence that one of them is alive
  RegionName region;          ///< the region of the zone
};
/// The observations of each zone, by name.
using ZoneObservations = std::map<ZoneName, ZoneObservation>;
/// Summarizes the present members by zone, except this member.
[[nodiscard]] ZoneObservations observeZones(const MemberTable& members);

/// A zone with its region.
struct ZoneInRegion {
  ZoneName zone;      ///< the zone's name
  RegionName region;  ///< the zone's region
};

/// The unreachable zones, at most 64.
class ZoneHealth {
 public:
  /// Keeps a reference to the settings.
  explicit ZoneHealth(const ProtocolSettings& settings) : settings_(settings) {}

  /// Returns whether every zone is reachable.
  [[nodiscard]] bool areAllReachable() const { return unreachableSince_.empty(); }
  /// Returns whether this zone is unreachable as a whole.
  [[nodiscard]] bool isUnreachable(const ZoneName& zone) const { return unreachableSince_.contains(zone); }
  /// Returns since when the zone is unreachable; nothing if it is reachable.
  [[nodiscard]] std::optional<Duration> unreachableSince(const ZoneName& zone) const;
  /// Marks a zone as unreachable; returns false if it was unreachable already.
  bool markUnreachable(const ZoneName& zone, Duration now) {
    return unreachableSince_.emplace(zone, now).second;
  }

  /// Finds the zones with several suspected members and no recent evidence that any member is alive.
  /// @param now the current time
  /// @param zones the observations of each zone
  /// @param ownZone the zone of this member, which is never unreachable
  /// @param localHealthMultiplier Lifeguard's multiplier, which extends the required time without evidence
  [[nodiscard]] std::vector<ZoneInRegion> findUnreachable(Duration now, const ZoneObservations& zones,
                                                          const ZoneName& ownZone,
                                                          int localHealthMultiplier) const;
  /// Removes the zones that are reachable again and returns them. Also removes zones without present members
  /// after the declaration window, but does not return them.
  std::vector<ZoneInRegion> removeReachable(Duration now, const ZoneObservations& zones);

  /// Returns another member of the suspected member's zone that has to be probed; null if none has to be.
  /// A declaration of death waits until another member of the zone has given evidence of life since the
  /// suspicion began, the zone is unreachable, or four probes of other members of the zone were sent.
  [[nodiscard]] const Member* memberToProbe(const Member& suspected, const MemberTable& members) const;

 private:
  [[nodiscard]] bool meetsUnreachableCriteria(Duration now, const ZoneObservation& zone,
                                              int localHealthMultiplier) const;

  const ProtocolSettings& settings_;
  std::map<ZoneName, Duration> unreachableSince_;
};

}  // namespace rainhook::membership
