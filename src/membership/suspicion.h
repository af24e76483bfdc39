/// @file
/// How long a suspicion lasts before its member may be declared dead, and which suspicion is due.
#pragma once

#include <cstddef>
#include <optional>
#include <set>
#include <utility>

#include "membership/member.h"
#include "membership/membership_settings.h"

namespace rainhook::membership {

/// Keeps the suspicions by their deadlines. The suspicions themselves belong to the members.
class SuspicionTracker {
 public:
  /// Keeps a reference to the settings.
  explicit SuspicionTracker(const ProtocolSettings& settings) : settings_(settings) {}

  /// Starts a suspicion; its deadline is to be set next.
  void begin(Member& member, Duration now);
  /// Ends the suspicion against a member, where there is one.
  void end(Member& member);
  /// Moves the deadline of a suspicion to this moment.
  void setDeadline(Member& member, Duration deadline);
  /// The member whose deadline is over, the earliest one.
  [[nodiscard]] std::optional<MemberName> nextDue(Duration now) const;
  /// Whether nobody is suspected.
  [[nodiscard]] bool isEmpty() const { return byDeadline_.empty(); }

  /// The time from a suspicion to its deadline: between a minimum and six times that, shorter with each
  /// confirmation out of those that `candidates` could give (Lifeguard, Dadgar, Phillips and Currey, DSN-W
  /// 2018, section IV.B). The minimum grows with the logarithm of the fleet, as the time for an update to
  /// reach everyone does (SWIM, section 4.2).
  [[nodiscard]] Duration timeout(std::size_t confirmations, std::size_t candidates,
                                 std::size_t fleetSize) const;
  /// The shortest such time.
  [[nodiscard]] Duration minTimeout(std::size_t fleetSize) const;
  /// How long after a proof of life its member is not declared dead.
  [[nodiscard]] Duration corroborationHold(const Member& member, std::size_t fleetSize) const;

 private:
  const ProtocolSettings& settings_;
  std::set<std::pair<Duration, MemberName>> byDeadline_;
};

}  // namespace rainhook::membership
