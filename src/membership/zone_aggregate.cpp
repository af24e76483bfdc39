#include "membership/zone_aggregate.h"

#include <algorithm>
#include <map>
#include <utility>

namespace rainhook::membership {
namespace {

std::size_t& countOf(ZoneAggregate& zone, Phase phase) {
  switch (phase) {
    case Phase::observer:
      return zone.observers;
    case Phase::warmingUp:
      return zone.warmingUp;
    case Phase::serving:
      return zone.serving;
    case Phase::draining:
      return zone.draining;
    case Phase::unhealthy:
      return zone.unhealthy;
  }
  return zone.observers;
}

void addStatus(ZoneAggregate& zone, const MemberStatus& status, Duration age) {
  if (status.version == 0) {
    ++zone.withoutStatus;
    return;
  }
  ++countOf(zone, status.phase);
  zone.oldestStatusAge = std::max(zone.oldestStatusAge, age);
  zone.running += status.running;
  zone.receivedPerSecond += status.receivedPerSecond;
  zone.completedPerSecond += status.completedPerSecond;
  // A member that is draining, unhealthy or an observer has no capacity for further requests.
  if (status.phase != Phase::serving && status.phase != Phase::warmingUp) return;
  zone.concurrencyLimit += status.concurrencyLimit;
  zone.warmUpProgress += status.warmUpProgress;
  zone.queueingRatio += status.queueingRatio;
}

void addMember(ZoneAggregate& zone, const Member& member, Duration now) {
  zone.region = member.record.region;
  ++zone.members;
  if (member.state == MemberState::suspect) ++zone.suspected;
  if (member.state == MemberState::alive && !member.isReachable()) ++zone.unreachableMembers;
  addStatus(zone, member.status, now - member.statusReceived);
}

void convertSumsToMeans(ZoneAggregate& zone) {
  const auto working = static_cast<double>(zone.serving + zone.warmingUp);
  if (working <= 0) return;
  zone.warmUpProgress /= working;
  zone.queueingRatio /= working;
}

}  // namespace

std::vector<ZoneAggregate> aggregateByZone(const Membership& membership, Duration now) {
  std::map<ZoneName, ZoneAggregate> zones;
  ZoneAggregate& own = zones[membership.self().zone];
  own.region = membership.self().region;
  ++own.members;
  addStatus(own, membership.status(), Duration{});
  for (const auto& [name, member] : membership.members())
    if (member.isPresent()) addMember(zones[member.record.zone], member, now);
  std::vector<ZoneAggregate> out;
  for (auto& [name, zone] : zones) {
    zone.zone = name;
    zone.isUnreachable = membership.zones().isUnreachable(name);
    convertSumsToMeans(zone);
    out.push_back(std::move(zone));
  }
  return out;
}

}  // namespace rainhook::membership
