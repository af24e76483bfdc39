#include "membership/zone_health.h"

#include <algorithm>

namespace rainhook::membership {
namespace {

constexpr std::size_t maxUnreachableZones = 64;
constexpr std::size_t minSuspectedMembers = 2;
constexpr int maxPeriodsWithoutEvidence = 3;
constexpr int maxZoneProbes = 4;

}  // namespace

ZoneObservations observeZones(const MemberTable& members) {
  ZoneObservations out;
  for (const auto& [name, member] : members.all()) {
    if (!member.isPresent()) continue;
    ZoneObservation& zone = out[member.record.zone];
    ++zone.present;
    if (member.state == MemberState::suspect) ++zone.suspected;
    zone.lastEvidence = std::max(zone.lastEvidence, member.lastEvidence);
    zone.region = member.record.region;
  }
  return out;
}

std::optional<Duration> ZoneHealth::unreachableSince(const ZoneName& zone) const {
  const auto it = unreachableSince_.find(zone);
  return it == unreachableSince_.end() ? std::nullopt : std::optional(it->second);
}

bool ZoneHealth::meetsUnreachableCriteria(Duration now, const ZoneObservation& zone,
                                          int localHealthMultiplier) const {
  // If all of its members are suspected, the local health is ignored: otherwise one of them might be declared
  // dead before the zone counts as unreachable.
  const bool areAllSuspected = zone.suspected == zone.present;
  const Duration period =
      areAllSuspected ? settings_.probeInterval : settings_.probeInterval * (1 + localHealthMultiplier);
  const std::size_t oneThird = (zone.present + 2) / 3;
  return now - zone.lastEvidence > period * maxPeriodsWithoutEvidence &&
         zone.suspected >= std::max(minSuspectedMembers, oneThird);
}

std::vector<ZoneInRegion> ZoneHealth::findUnreachable(Duration now, const ZoneObservations& zones,
                                                      const ZoneName& ownZone,
                                                      int localHealthMultiplier) const {
  std::vector<ZoneInRegion> out;
  for (const auto& [name, zone] : zones) {
    if (name == ownZone || isUnreachable(name) || !meetsUnreachableCriteria(now, zone, localHealthMultiplier))
      continue;
    if (unreachableSince_.size() + out.size() >= maxUnreachableZones) break;
    out.push_back({name, zone.region});
  }
  return out;
}

std::vector<ZoneInRegion> ZoneHealth::removeReachable(Duration now, const ZoneObservations& zones) {
  std::vector<ZoneInRegion> out;
  std::erase_if(unreachableSince_, [&](const auto& entry) {
    const auto& [name, since] = entry;
    if (since == now) return false;  // may have been marked after the observations
    const auto it = zones.find(name);
    if (it == zones.end()) return now - since > settings_.probeInterval * settings_.declarationWindowPeriods;
    const ZoneObservation& zone = it->second;
    const bool isReachable = zone.lastEvidence > since || zone.suspected < zone.present;
    if (isReachable) out.push_back({name, zone.region});
    return isReachable;
  });
  return out;
}

const Member* ZoneHealth::memberToProbe(const Member& suspected, const MemberTable& members) const {
  const Suspicion& suspicion = *suspected.suspicion;
  if (suspicion.zoneProbes >= maxZoneProbes || isUnreachable(suspected.record.zone)) return nullptr;
  const Member* out = nullptr;
  for (const auto& [name, other] : members.all()) {
    if (other.record.zone != suspected.record.zone || other.state != MemberState::alive) continue;
    if (other.lastEvidence > suspicion.since) return nullptr;
    if (!out || other.lastEvidence < out->lastEvidence) out = &other;
  }
  return out;
}

}  // namespace rainhook::membership
