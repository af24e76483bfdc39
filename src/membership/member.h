/// @file
/// The state that this member keeps about another member, including a suspicion against it.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <vector>

#include "membership/types.h"

namespace rainhook::membership {

/// Why this member does not declare a suspected member dead although its deadline has passed.
enum class PostponeReason : std::uint8_t {
  none,
  isolated,         ///< this member receives no messages
  recentPause,      ///< this process was paused recently
  noSecondAccuser,  ///< no other member is alive
  awaitsSecondAccuser,
  awaitsSecondZone,
  zoneUnreachable,   ///< its whole zone is unreachable, which doubles the waiting time
  probesZoneMember,  ///< another member of its zone has to be probed first
  shareExceeded,     ///< too large a share of the fleet would be declared dead
  rateExceeded       ///< too many members were declared dead within a second
};
/// Returns the text that `explain` prints for the reason; empty for `none`.
const char* describe(PostponeReason reason);

/// A suspicion against one member.
struct Suspicion {
  Duration since{};                ///< when the suspicion began
  Duration deadline{};             ///< when the member may be declared dead at the earliest
  std::set<Reporter> accusers;     ///< the members that suspect it, at most maxReporters
  Duration lastReceivedByAny{-1};  ///< when any member last received a message from the suspect
  PostponeReason postponedBecause = PostponeReason::none;  ///< why the declaration is postponed
  int zoneProbes = 0;  ///< probes of other members of its zone before the declaration
};

/// Another member in the view of this one.
struct Member {
  /// Number of consecutive probes without a direct answer after which a member counts as unreachable.
  static constexpr int unreachableAfterProbes = 3;

  MemberRecord record;                     ///< the identity of the member
  MemberState state = MemberState::alive;  ///< its state in the view of this member
  Duration stateSince{};                   ///< when the state last changed
  Duration lastReceived{-1};               ///< when the latest message arrived directly from it
  /// When this member last had evidence, directly or through others, that the member is alive.
  Duration lastEvidence{-1};
  Duration lastReceivedByAny{-1};  ///< when any member, including this one, last received a message from it
  int missedProbes = 0;            ///< consecutive probes without a direct answer
  std::optional<Suspicion> suspicion;    ///< set while the state is `suspect`
  std::vector<Reporter> deathReporters;  ///< the members on whose reports it was declared dead
  MemberStatus status;                   ///< the latest status that it published
  Duration statusReceived{-1};           ///< when that status was received
  std::vector<MemberName> cannotReach;   ///< the members that it reports as not answering it

  /// Returns whether fewer than unreachableAfterProbes consecutive probes had no direct answer.
  [[nodiscard]] bool isReachable() const { return missedProbes < unreachableAfterProbes; }
  /// Returns whether the state is `alive` or `suspect`.
  [[nodiscard]] bool isPresent() const {
    return state == MemberState::alive || state == MemberState::suspect;
  }
  /// Returns whether the state is `dead` or `left`.
  [[nodiscard]] bool isDeadOrLeft() const { return !isPresent(); }
};

}  // namespace rainhook::membership
