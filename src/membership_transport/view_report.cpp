#include "membership_transport/view_report.h"

#include <chrono>

#include "membership/zone_aggregate.h"

namespace rainhook::membershipTransport {

using membership::Membership;
using membership::MemberState;
using nlohmann::json;

namespace {

struct MemberRow {
  const membership::MemberRecord& record;
  MemberState state;
  bool isReachable;
  const membership::MemberStatus& status;
};

json toJson(const MemberRow& row) {
  const membership::MemberStatus& status = row.status;
  return {{"name", row.record.name.text},
          {"address", row.record.address.text},
          {"zone", row.record.zone.text},
          {"region", row.record.region.text},
          {"state", membership::nameOf(row.state)},
          {"incarnation", static_cast<std::uint64_t>(row.record.incarnation)},
          {"reachable", row.isReachable},
          {"phase", status.version == 0 ? "unknown" : membership::nameOf(status.phase)},
          {"warmth", status.warmUpProgress},
          {"limit", status.concurrencyLimit},
          {"running", status.running},
          {"read_a_second", status.receivedPerSecond},
          {"done_a_second", status.completedPerSecond},
          {"held_back", status.queueingRatio}};
}

json toJson(const membership::ZoneAggregate& zone) {
  const auto oldest = std::chrono::duration_cast<std::chrono::milliseconds>(zone.oldestStatusAge);
  return {{"zone", zone.zone.text},
          {"region", zone.region.text},
          {"silent", zone.isUnreachable},
          {"members", zone.members},
          {"suspected", zone.suspected},
          {"unreachable", zone.unreachableMembers},
          {"unsaid", zone.withoutStatus},
          {"serving", zone.serving},
          {"cold", zone.warmingUp},
          {"draining", zone.draining},
          {"unfit", zone.unhealthy},
          {"observers", zone.observers},
          {"limit", zone.concurrencyLimit},
          {"running", zone.running},
          {"read_a_second", zone.receivedPerSecond},
          {"done_a_second", zone.completedPerSecond},
          {"warmth", zone.warmUpProgress},
          {"held_back", zone.queueingRatio},
          {"oldest_ms", oldest.count()}};
}

}  // namespace

json memberRows(const Membership& membership) {
  json out = json::array();
  const auto ownState = membership.hasLeft() ? MemberState::left : MemberState::alive;
  out.push_back(toJson(MemberRow{membership.self(), ownState, true, membership.status()}));
  for (const auto& [name, member] : membership.members()) {
    const bool isReachable = member.isReachable() && member.state == MemberState::alive;
    out.push_back(toJson(MemberRow{member.record, member.state, isReachable, member.status}));
  }
  return out;
}

json zoneRows(const Membership& membership, membership::Duration now) {
  json out = json::array();
  for (const auto& zone : membership::aggregateByZone(membership, now)) out.push_back(toJson(zone));
  return out;
}

}  // namespace rainhook::membershipTransport
