/// @file
/// Another member and the suspicion against it, as this member sees them.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <vector>

#include "membership/types.h"

namespace rainhook::membership {

/// Why a suspected member is not declared dead although its time is over.
enum class PostponeReason : std::uint8_t {
  none,
  isolated,         ///< this member receives from nobody
  recentPause,      ///< this process did not run a moment ago
  noSecondAccuser,  ///< no other member is alive
  awaitsSecondAccuser,
  awaitsSecondZone,
  zoneUnreachable,   ///< it waits longer where the whole zone is unreachable
  probesZoneMember,  ///< another member of its zone is probed first
  shareExceeded,     ///< of the fleet
  rateExceeded
};
/// The reason in the words of `explain`; empty for `none`.
const char* describe(PostponeReason reason);

/// A suspicion against one member.
struct Suspicion {
  Duration since{};               ///< the moment at which it began
  Duration deadline{};            ///< when the member may be declared dead
  std::set<Reporter> accusers;    ///< those that confirm it, maxReporters at most
  Duration lastCorroborated{-1};  ///< when a member last reported that it receives from the suspect
  PostponeReason postponedBecause = PostponeReason::none;  ///< why the declaration waits
  int zoneProbes = 0;  ///< probes of others of its zone before the declaration
};

/// Another member, as this one sees it.
struct Member {
  /// Probes in a row without a direct answer, from which on a member counts as unreachable.
  static constexpr int unreachableAfterProbes = 3;

  MemberRecord record;                     ///< who it is
  MemberState state = MemberState::alive;  ///< in which state this member sees it
  Duration stateSince{};                   ///< the moment of the last change of state
  Duration lastReceived{-1};               ///< a message directly from it
  Duration lastEvidence{-1};               ///< any proof that it lives, also by way of others
  Duration lastCorroborated{-1};           ///< some member, or this one, received a message from it
  int missedProbes = 0;                    ///< in a row without a direct answer
  std::optional<Suspicion> suspicion;      ///< while it is suspect
  std::vector<Reporter> deathReporters;    ///< on whose word it was declared dead
  MemberStatus status;                     ///< the latest that it stated about itself
  Duration statusReceived{-1};             ///< the moment at which that was received
  std::vector<MemberName> cannotReach;     ///< members that it reports as unreachable from it

  /// Whether it missed fewer than unreachableAfterProbes probes in a row.
  [[nodiscard]] bool isReachable() const { return missedProbes < unreachableAfterProbes; }
  /// Alive or suspect.
  [[nodiscard]] bool isPresent() const {
    return state == MemberState::alive || state == MemberState::suspect;
  }
  /// Dead or left.
  [[nodiscard]] bool isGone() const { return !isPresent(); }
};

}  // namespace rainhook::membership
