/// @file
/// Decides whether a suspected member may be declared dead. A declaration needs two accusers, from two zones
/// if two zones have members that can accuse. This member declares no member dead while its own view is
/// uncertain, nor above a limited rate and a limited share of the fleet. docs/membership.md gives the
/// reasons.
#pragma once

#include <vector>

#include "membership/member_table.h"
#include "membership/membership_settings.h"
#include "membership/zone_health.h"

namespace rainhook::membership {

/// The condition of the member that decides.
struct LocalView {
  ZoneName zone;                   ///< the zone of the deciding member
  bool isIsolated = false;         ///< whether it received no message for several probe intervals
  bool isInGracePeriod = false;    ///< whether its process was paused recently
  Duration minSuspicionTimeout{};  ///< the shortest time from a suspicion to its deadline
};

/// Keeps the times of the declarations within the declaration window.
class DeathDeclaration {
 public:
  /// Keeps a reference to the settings.
  explicit DeathDeclaration(const ProtocolSettings& settings) : settings_(settings) {}

  /// Records one declaration, made at `now`.
  void record(Duration now) { declaredAt_.push_back(now); }
  /// Removes the declarations that are older than the window.
  void removeExpired(Duration now);
  /// Returns why the declaration has to be postponed, or `none` if the member may be declared dead.
  [[nodiscard]] PostponeReason reasonToPostpone(Duration now, const Member& suspected, const LocalView& view,
                                                const MemberTable& members, const ZoneHealth& zones) const;

 private:
  [[nodiscard]] PostponeReason checkAccusers(Duration now, const Suspicion& suspicion, const LocalView& view,
                                             const MemberTable& members) const;
  [[nodiscard]] PostponeReason checkBounds(Duration now, const MemberTable& members) const;
  [[nodiscard]] Duration window() const {
    return settings_.probeInterval * settings_.declarationWindowPeriods;
  }

  const ProtocolSettings& settings_;
  std::vector<Duration> declaredAt_;
};

}  // namespace rainhook::membership
