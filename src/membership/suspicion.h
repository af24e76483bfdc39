/// @file
/// The deadlines of suspicions: the time before a member may be declared dead, and the suspicions that are
/// due.
#pragma once

#include <cstddef>
#include <optional>
#include <set>
#include <utility>

#include "membership/member.h"
#include "membership/membership_settings.h"

namespace rainhook::membership {

/// Orders the suspicions by their deadlines. The members own the suspicions themselves.
class SuspicionTracker {
 public:
  /// Keeps a reference to the settings.
  explicit SuspicionTracker(const ProtocolSettings& settings) : settings_(settings) {}

  /// Starts a suspicion; the caller sets its deadline next.
  void begin(Member& member, Duration now);
  /// Ends the suspicion against a member, if there is one.
  void end(Member& member);
  /// Changes the deadline of a suspicion.
  void setDeadline(Member& member, Duration deadline);
  /// Returns the member with the earliest deadline, if that deadline has passed.
  [[nodiscard]] std::optional<MemberName> nextDue(Duration now) const;
  /// Returns whether no member is suspected.
  [[nodiscard]] bool isEmpty() const { return byDeadline_.empty(); }

  /// Returns the time from the start of a suspicion to its deadline. It lies between a minimum and six times
  /// the minimum, and each confirmation shortens it (Lifeguard, Dadgar, Phillips and Currey, DSN-W 2018,
  /// section IV.B). The minimum grows with the logarithm of the fleet size, like the time that an update
  /// needs to reach all members (SWIM, section 4.2).
  /// @param confirmations number of accusers
  /// @param candidates number of members that could be accusers
  /// @param fleetSize number of members including this one
  [[nodiscard]] Duration timeout(std::size_t confirmations, std::size_t candidates,
                                 std::size_t fleetSize) const;
  /// Returns the minimum of that time.
  [[nodiscard]] Duration minTimeout(std::size_t fleetSize) const;
  /// Returns how long a member is not declared dead after any member received a message from it.
  [[nodiscard]] Duration receivedFromHold(const Member& member, std::size_t fleetSize) const;

 private:
  const ProtocolSettings& settings_;
  std::set<std::pair<Duration, MemberName>> byDeadline_;
};

}  // namespace rainhook::membership
