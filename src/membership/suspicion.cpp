#include "membership/suspicion.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace rainhook::membership {

const char* describe(PostponeReason reason) {
  switch (reason) {
    case PostponeReason::none:
      return "";
    case PostponeReason::isolated:
      return "this member receives no messages and may be disconnected itself";
    case PostponeReason::recentPause:
      return "this process was paused recently";
    case PostponeReason::noSecondAccuser:
      return "no other member is alive to confirm the suspicion";
    case PostponeReason::awaitsSecondAccuser:
      return "a second accuser is required";
    case PostponeReason::awaitsSecondZone:
      return "an accuser from a second zone is required";
    case PostponeReason::zoneUnreachable:
      return "its whole zone is unreachable";
    case PostponeReason::probesZoneMember:
      return "another member of its zone has to be probed first";
    case PostponeReason::shareExceeded:
      return "too large a share of the fleet would be declared dead";
    case PostponeReason::rateExceeded:
      return "too many members were declared dead within a second";
  }
  return "";
}

void SuspicionTracker::begin(Member& member, Duration now) {
  member.suspicion = Suspicion{};
  member.suspicion->since = now;
}

void SuspicionTracker::end(Member& member) {
  if (!member.suspicion) return;
  byDeadline_.erase({member.suspicion->deadline, member.record.name});
  member.suspicion.reset();
}

void SuspicionTracker::setDeadline(Member& member, Duration deadline) {
  byDeadline_.erase({member.suspicion->deadline, member.record.name});
  member.suspicion->deadline = deadline;
  byDeadline_.insert({deadline, member.record.name});
}

std::optional<MemberName> SuspicionTracker::nextDue(Duration now) const {
  if (byDeadline_.empty() || byDeadline_.begin()->first > now) return std::nullopt;
  return byDeadline_.begin()->second;
}

Duration SuspicionTracker::timeout(std::size_t confirmations, std::size_t candidates,
                                   std::size_t fleetSize) const {
  constexpr double minPeriods = 4;
  constexpr double maxToMin = 6;
  constexpr double fullConfirmations = 3;  // this many confirmations shorten the timeout to the minimum
  const double minimum = minPeriods * std::max(1.0, std::log10(static_cast<double>(fleetSize)));
  const double expected = std::min(fullConfirmations, static_cast<double>(candidates) - 1);
  double periods = minimum;
  if (settings_.shortenByConfirmations && expected > 0) {
    const double share =
        std::log(static_cast<double>(std::max<std::size_t>(confirmations, 1))) / std::log(expected + 1);
    periods = std::max(minimum, maxToMin * minimum - (maxToMin - 1) * minimum * std::min(1.0, share));
  }
  return std::chrono::duration_cast<Duration>(settings_.probeInterval * periods);
}

Duration SuspicionTracker::minTimeout(std::size_t fleetSize) const {
  return timeout(maxReporters, maxReporters, fleetSize);
}

Duration SuspicionTracker::receivedFromHold(const Member& member, std::size_t fleetSize) const {
  const Duration hold = minTimeout(fleetSize);
  // A dead member sends nothing after the suspicion starts, so a message received later is stronger evidence
  // of life.
  const bool isSinceSuspicion = member.suspicion && member.lastReceivedByAny > member.suspicion->since;
  return isSinceSuspicion ? 3 * hold : hold;
}

}  // namespace rainhook::membership
