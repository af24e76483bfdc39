#include "membership/death_declaration.h"

#include <algorithm>
#include <set>

namespace rainhook::membership {

using namespace std::chrono_literals;

void DeathDeclaration::removeExpired(Duration now) {
  std::erase_if(declaredAt_, [&](Duration at) { return now - at >= window(); });
}

PostponeReason DeathDeclaration::reasonToPostpone(Duration now, const Member& suspected,
                                                  const LocalView& view, const MemberTable& members,
                                                  const ZoneHealth& zones) const {
  if (!settings_.requireCorroboration) return PostponeReason::none;
  if (view.isIsolated) return PostponeReason::isolated;
  if (view.isInGracePeriod) return PostponeReason::recentPause;
  if (const auto reason = checkAccusers(now, *suspected.suspicion, view, members);
      reason != PostponeReason::none)
    return reason;
  const auto unreachableSince = zones.unreachableSince(suspected.record.zone);
  if (unreachableSince && now - *unreachableSince < 2 * view.minSuspicionTimeout)
    return PostponeReason::zoneUnreachable;
  if (zones.memberToProbe(suspected, members)) return PostponeReason::probesZoneMember;
  return checkBounds(now, members);
}

PostponeReason DeathDeclaration::checkAccusers(Duration now, const Suspicion& suspicion,
                                               const LocalView& view, const MemberTable& members) const {
  if (members.count(now, window()).alive < 2) return PostponeReason::noSecondAccuser;
  if (suspicion.accusers.size() < 2) return PostponeReason::awaitsSecondAccuser;
  std::set<ZoneName> possibleZones{view.zone};
  for (const auto& [name, member] : members.all())
    if (member.state == MemberState::alive) possibleZones.insert(member.record.zone);
  std::set<ZoneName> accusingZones;
  for (const auto& accuser : suspicion.accusers) accusingZones.insert(accuser.zone);
  if (possibleZones.size() >= 2 && accusingZones.size() < 2) return PostponeReason::awaitsSecondZone;
  return PostponeReason::none;
}

PostponeReason DeathDeclaration::checkBounds(Duration now, const MemberTable& members) const {
  const auto present = static_cast<double>(members.count(now, window()).present);
  const auto limit = std::max<std::size_t>(1, static_cast<std::size_t>(settings_.maxDeclaredShare * present));
  if (declaredAt_.size() >= limit) return PostponeReason::shareExceeded;
  const auto withinSecond =
      std::count_if(declaredAt_.begin(), declaredAt_.end(), [&](Duration at) { return now - at < 1s; });
  if (static_cast<std::size_t>(withinSecond) >= settings_.maxDeclarationsPerSecond)
    return PostponeReason::rateExceeded;
  return PostponeReason::none;
}

}  // namespace rainhook::membership
