/// @file
/// Tells a zone that is unreachable as a whole from members that fail one by one.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "membership/member_table.h"
#include "membership/membership_settings.h"

namespace rainhook::membership {

/// What is known about the present members of a zone.
struct ZoneObservation {
  std::size_t present = 0;    ///< members that are alive or suspect
  std::size_t suspected = 0;  ///< members that are suspect
  Duration lastEvidence{-1};  ///< the latest proof that one of them lives
  RegionName region;          ///< the region of the zone
};
/// What is known about each zone, by name.
using ZoneObservations = std::map<ZoneName, ZoneObservation>;
/// Sums up the present members by zone, without this member.
[[nodiscard]] ZoneObservations observeZones(const MemberTable& members);

/// A zone with its region.
struct ZoneInRegion {
  ZoneName zone;      ///< the zone's name
  RegionName region;  ///< the region it lies in
};

/// The zones that are unreachable, 64 at most.
class ZoneHealth {
 public:
  /// Keeps a reference to the settings.
  explicit ZoneHealth(const ProtocolSettings& settings) : settings_(settings) {}

  /// Whether every zone is reachable.
  [[nodiscard]] bool isEmpty() const { return unreachableSince_.empty(); }
  /// Whether this zone is unreachable as a whole.
  [[nodiscard]] bool isUnreachable(const ZoneName& zone) const { return unreachableSince_.contains(zone); }
  /// The moment from which on the zone is unreachable; nothing where it is reachable.
  [[nodiscard]] std::optional<Duration> unreachableSince(const ZoneName& zone) const;
  /// False where it was unreachable already.
  bool markUnreachable(const ZoneName& zone, Duration now) {
    return unreachableSince_.emplace(zone, now).second;
  }

  /// Zones of which several members are suspected and none gave a proof of life for a while.
  /// @param now the present moment
  /// @param zones what is known about each of them
  /// @param ownZone never found to be unreachable
  /// @param localHealthMultiplier by how much slower this member judges at present
  [[nodiscard]] std::vector<ZoneInRegion> findUnreachable(Duration now, const ZoneObservations& zones,
                                                          const ZoneName& ownZone,
                                                          int localHealthMultiplier) const;
  /// Forgets the zones that are reachable again, and returns them. Those that have lost all their members are
  /// forgotten in time too, and not returned.
  std::vector<ZoneInRegion> removeReachable(Duration now, const ZoneObservations& zones);

  /// Before a member is declared dead, another one of its zone has to give a proof of life, or to be probed a
  /// few times without an answer, which makes the zone unreachable. Returns whom to probe; null where there
  /// is no need.
  [[nodiscard]] const Member* memberToProbe(const Member& suspected, const MemberTable& members) const;

 private:
  [[nodiscard]] bool isLost(Duration now, const ZoneObservation& zone, int localHealthMultiplier) const;

  const ProtocolSettings& settings_;
  std::map<ZoneName, Duration> unreachableSince_;
};

}  // namespace rainhook::membership
