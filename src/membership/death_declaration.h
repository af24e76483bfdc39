/// @file
/// Whether a suspected member may be declared dead. A declaration needs two accusers, of two zones where two
/// zones can accuse; none is made while the own view is in doubt, nor beyond a bounded rate and share of the
/// fleet. docs/membership.md gives the reasons.
#pragma once

#include <vector>

#include "membership/member_table.h"
#include "membership/membership_settings.h"
#include "membership/zone_health.h"

namespace rainhook::membership {

/// What the deciding member knows about itself.
struct LocalView {
  ZoneName zone;                   ///< its own zone
  bool isIsolated = false;         ///< no message was received for several probe intervals
  bool isInGracePeriod = false;    ///< the process was paused a moment ago
  Duration minSuspicionTimeout{};  ///< the shortest time from a suspicion to its deadline
};

/// Remembers the declarations of the declaration window.
class DeathDeclaration {
 public:
  /// Keeps a reference to the settings.
  explicit DeathDeclaration(const ProtocolSettings& settings) : settings_(settings) {}

  /// Remembers one declaration, made at `now`.
  void record(Duration now) { declaredAt_.push_back(now); }
  /// Forgets the declarations that are older than the window.
  void removeExpired(Duration now);
  /// Why the declaration has to wait; `none` where the member may be declared dead.
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
