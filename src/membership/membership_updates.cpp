// The part of Membership that applies gossip updates and declares members and zones dead.
#include <algorithm>
#include <chrono>
#include <utility>

#include "membership/membership.h"

namespace rainhook::membership {

using EventType = MembershipEvent::Type;
using Kind = GossipUpdate::Kind;

namespace {

MemberRecord zoneAsSubject(const ZoneName& zone, const RegionName& region) {
  return {{}, {}, zone, region, {}, {}};
}

}  // namespace

void Membership::apply(Duration now, const GossipUpdate& update, Effects& effects) {
  const MemberRecord& subject = update.subject;
  if (update.kind == Kind::zoneUnreachable || update.kind == Kind::zoneDead)
    return applyAboutZone(now, update, effects);
  if (subject.name == self_.name) return applyAboutSelf(now, update, effects);
  if (update.kind == Kind::alive) return applyAlive(now, subject, effects);
  Member* member = members_.find(subject.name);
  if (!member) {
    // Except for `alive`, only suspicions are applied to unknown members, because they show that the member
    // exists.
    if (update.kind != Kind::suspect || members_.size() >= settings_.maxMembers) return;
    applyAlive(now, subject, effects);
    member = members_.find(subject.name);
    if (!member) return;
  }
  if (subject.incarnation < member->record.incarnation) return;
  switch (update.kind) {
    case Kind::suspect:
      if (member->isPresent()) applySuspect(now, *member, subject.incarnation, update.reporters, effects);
      break;
    case Kind::dead:
    case Kind::left:
      applyDeadOrLeft(now, *member, update, effects);
      break;
    case Kind::receivedFrom:
      if (subject.incarnation == member->record.incarnation && update.reporters.size() == 1)
        recordReceivedFrom(*member, update.reporters.front(), now - update.observed);
      break;
    default:
      break;
  }
}

void Membership::raiseIncarnation(Incarnation wanted) {
  self_.incarnation = reservation_.raise(self_.incarnation, wanted);
}

/// Refutes wrong updates about this member by raising its incarnation, which only the member itself may do.
void Membership::applyAboutSelf(Duration now, const GossipUpdate& update, Effects& effects) {
  const MemberRecord& subject = update.subject;
  if (hasLeft_ || subject.incarnation < self_.incarnation || update.kind == Kind::receivedFrom) return;
  const bool isOtherProcess = subject.processId != self_.processId;
  if (update.kind == Kind::alive && !isOtherProcess) return;
  // An update with this member's address concerns an earlier process of this member, because two processes
  // cannot be bound to one address. A process that is dead or has left does not use the name anymore.
  const bool hasEnded = update.kind == Kind::dead || update.kind == Kind::left;
  if (isOtherProcess && subject.address != self_.address && !hasEnded)
    return challengeName(now, subject, effects);
  raiseIncarnation(nextIncarnation(subject.incarnation));
  // The incarnation has to be reserved first. The other members repeat the update until it is refuted.
  if (self_.incarnation <= subject.incarnation) {
    ++counters_.postponedRefutations;
    return;
  }
  dissemination_.announce(Kind::alive, self_);
  if (isOtherProcess) return;
  ++counters_.refutations;
  detector_.adjustLocalHealth(1);
  const std::string reason =
      update.reporters.empty() ? "" : "reported by " + update.reporters.front().name.text;
  effects.events.push_back({EventType::refuted, self_, MemberState::alive, reason});
}

void Membership::applyAlive(Duration now, const MemberRecord& subject, Effects& effects) {
  if (subject.name == self_.name || subject.name.text.empty()) return;
  Member* const member = members_.find(subject.name);
  if (!member) return addMember(now, subject, effects);
  if (subject.incarnation <= member->record.incarnation) return;
  const bool isReplaced =
      subject.processId != member->record.processId || subject.address != member->record.address;
  if (isReplaced) {
    members_.markReachable(subject.name);
    member->missedProbes = 0;
    member->status = {};
    member->statusReceived = Duration{-1};
  }
  member->record = subject;
  dissemination_.announce(Kind::alive, subject);
  if (isReplaced)
    effects.events.push_back({EventType::addressChanged, subject, MemberState::alive,
                              "the process or the address of the member changed"});
  if (member->state != MemberState::alive)
    setState(now, *member, MemberState::alive, "announced by the member itself", effects);
}

void Membership::addMember(Duration now, const MemberRecord& subject, Effects& effects) {
  if (members_.size() >= settings_.maxMembers) {
    ++counters_.rejectedMembers;
    return;
  }
  members_.add(subject, now);
  round_.insert(subject.name, random_);
  dissemination_.announce(Kind::alive, subject);
  effects.events.push_back({EventType::stateChanged, subject, MemberState::alive, "new member"});
}

void Membership::applySuspect(Duration now, Member& member, Incarnation incarnation,
                              const std::vector<Reporter>& accusers, Effects& effects) {
  const bool isNew = !member.suspicion;
  if (isNew) {
    member.record.incarnation = std::max(member.record.incarnation, incarnation);
    const std::string by = accusers.empty() ? "an unnamed member" : accusers.front().name.text;
    setState(now, member, MemberState::suspect, "suspected by " + by, effects);
    suspicions_.begin(member, now);
  } else if (incarnation > member.record.incarnation) {
    member.record.incarnation = incarnation;
    member.suspicion->accusers.clear();
  }
  if (!addAccusers(member, accusers) && !isNew) return;
  scheduleDeclaration(now, member, isNew);
  const std::set<Reporter>& known = member.suspicion->accusers;
  if (!zones_.isUnreachable(member.record.zone))
    dissemination_.announce(Kind::suspect, member.record, {known.begin(), known.end()});
  if (isNew && !known.contains(selfAsReporter())) confirmOrRefute(now, member, effects);
}

/// Returns whether the suspicion has a new accuser.
bool Membership::addAccusers(Member& member, const std::vector<Reporter>& accusers) {
  std::set<Reporter>& known = member.suspicion->accusers;
  const std::size_t before = known.size();
  for (const auto& accuser : accusers)
    if (known.size() < maxReporters && accuser.name != member.record.name) known.insert(accuser);
  return known.size() > before;
}

/// Sets the deadline of a suspicion. Each further accuser may make the deadline earlier.
void Membership::scheduleDeclaration(Duration now, Member& member, bool isNew) {
  const std::size_t admitted = members_.admittedCount();
  const Suspicion& suspicion = *member.suspicion;
  const Duration byTimeout =
      suspicion.since + suspicions_.timeout(suspicion.accusers.size(), admitted - 1, admitted);
  const Duration byEvidence = member.lastReceivedByAny < Duration{}
                                  ? now
                                  : member.lastReceivedByAny + suspicions_.receivedFromHold(member, admitted);
  const Duration deadline = isNew ? byTimeout : std::min(suspicion.deadline, byTimeout);
  suspicions_.setDeadline(member, std::max({now, byEvidence, deadline}));
}

/// Contributes evidence or a probe of this member to a suspicion that others raised.
void Membership::confirmOrRefute(Duration now, Member& member, Effects& effects) {
  const bool hasRecentMessage =
      member.lastReceived >= Duration{} && now - member.lastReceived < settings_.probeInterval;
  if (hasRecentMessage && !isIsolated(now))
    return recordReceivedFrom(member, selfAsReporter(), member.lastReceived);
  if (!settings_.shortenByConfirmations) return;
  // Some of the members that learn of a suspicion probe the suspect immediately, so that a declaration need
  // not wait for the regular probe rounds. More of them probe in a zone that has no accuser yet.
  std::size_t aliveInZone = 1;
  for (const auto& [name, other] : members_.all())
    if (other.state == MemberState::alive && other.record.zone == self_.zone) ++aliveInZone;
  const std::set<Reporter>& accusers = member.suspicion->accusers;
  const bool hasAccuserInZone = std::any_of(
      accusers.begin(), accusers.end(), [&](const Reporter& accuser) { return accuser.zone == self_.zone; });
  const std::size_t expectedProbes = hasAccuserInZone ? 1 : 3;
  if (random_.below(aliveInZone) < expectedProbes)
    probe(now, member.record, ProbePurpose::failureDetection, effects);
}

/// Records and announces that a member received a message from this one. Accusers may have lost only their
/// own connection to it, so a declaration is postponed.
void Membership::recordReceivedFrom(Member& member, const Reporter& reporter, Duration observedAt) {
  if (!settings_.requireCorroboration) return;
  const bool isCovered = member.lastReceivedByAny >= Duration{} &&
                         observedAt - member.lastReceivedByAny < settings_.probeInterval / 2;
  if (isCovered) return;
  member.lastReceivedByAny = observedAt;
  dissemination_.announceReceivedFrom(member.record, reporter, observedAt);
  if (!member.suspicion) return;
  member.suspicion->lastReceivedByAny = observedAt;
  const Duration hold = observedAt + suspicions_.receivedFromHold(member, members_.admittedCount());
  suspicions_.setDeadline(member, std::max(member.suspicion->deadline, hold));
}

void Membership::applyDeadOrLeft(Duration now, Member& member, const GossipUpdate& update, Effects& effects) {
  const bool isDeath = update.kind == Kind::dead;
  if (member.state == MemberState::left || (member.state == MemberState::dead && isDeath)) return;
  // A member that sends messages to this one is not dead, even if others declared it dead. This member
  // suspects it instead and announces the message, which gives it time to refute the declaration.
  const bool hasRecentMessage = isRecent(now, member.lastReceived);
  const bool isReceivedByAny = hasRecentMessage || isRecent(now, member.lastReceivedByAny);
  if (isDeath && settings_.requireCorroboration && !isIsolated(now) && isReceivedByAny) {
    if (!member.suspicion) applySuspect(now, member, update.subject.incarnation, update.reporters, effects);
    if (hasRecentMessage) recordReceivedFrom(member, selfAsReporter(), member.lastReceived);
    return;
  }
  member.record.incarnation = std::max(member.record.incarnation, update.subject.incarnation);
  member.deathReporters = update.reporters;
  if (isDeath)
    setState(now, member, MemberState::dead, "declared dead by other members", effects);
  else
    setState(now, member, MemberState::left, "announced by the member itself", effects);
  dissemination_.announce(update.kind, member.record, update.reporters);
}

void Membership::setState(Duration now, Member& member, MemberState state, std::string reason,
                          Effects& effects) {
  suspicions_.end(member);
  members_.setState(member, state, now);
  if (state == MemberState::dead) {
    ++counters_.declaredDead;
    declaration_.record(now);
  }
  if (state == MemberState::alive) {
    member.deathReporters.clear();
    member.missedProbes = 0;
    round_.append(member.record.name);
  }
  effects.events.push_back({EventType::stateChanged, member.record, state, std::move(reason)});
}

// --- Declarations ---

void Membership::declareDueMembers(Duration now, Effects& effects) {
  declaration_.removeExpired(now);
  if (settings_.requireCorroboration && (!suspicions_.isEmpty() || !zones_.areAllReachable()))
    checkZones(now, effects);
  while (const auto name = suspicions_.nextDue(now)) {
    Member& member = members_.at(*name);
    const auto reason = declaration_.reasonToPostpone(now, member, localView(now), members_, zones_);
    if (reason == PostponeReason::none)
      declareDead(now, member, effects);
    else
      postponeDeclaration(now, member, reason, effects);
  }
}

/// Postpones the declaration by one probe interval. Meanwhile this member probes the suspect again and
/// repeats the suspicion, because updates may not have reached it or the others yet.
void Membership::postponeDeclaration(Duration now, Member& member, PostponeReason reason, Effects& effects) {
  Suspicion& suspicion = *member.suspicion;
  if (suspicion.postponedBecause != reason) ++counters_.postponedDeclarations;
  suspicion.postponedBecause = reason;
  suspicions_.setDeadline(member, now + settings_.probeInterval);
  probe(now, member.record, ProbePurpose::failureDetection, effects);
  if (const Member* const other = zones_.memberToProbe(member, members_)) {
    ++suspicion.zoneProbes;
    probe(now, other->record, ProbePurpose::failureDetection, effects);
  }
  if (!zones_.isUnreachable(member.record.zone))
    dissemination_.announce(Kind::suspect, member.record,
                            {suspicion.accusers.begin(), suspicion.accusers.end()});
}

void Membership::declareDead(Duration now, Member& member, Effects& effects) {
  const std::set<Reporter>& accusers = member.suspicion->accusers;
  member.deathReporters.assign(accusers.begin(), accusers.end());
  const MemberRecord& record = member.record;
  setState(now, member, MemberState::dead, "no member receives an answer from it", effects);
  if (zones_.isUnreachable(record.zone))  // one update for the whole zone
    dissemination_.announce(Kind::zoneDead, zoneAsSubject(record.zone, record.region), member.deathReporters);
  else
    dissemination_.announce(Kind::dead, record, member.deathReporters);
}

// --- Zones ---

void Membership::checkZones(Duration now, Effects& effects) {
  const auto observed = observeZones(members_);
  if (!isIsolated(now))
    for (const auto& zone :
         zones_.findUnreachable(now, observed, self_.zone, detector_.localHealthMultiplier()))
      suspectZone(now, zone, {selfAsReporter()}, effects);
  for (const auto& [zone, region] : zones_.removeReachable(now, observed))
    effects.events.push_back({EventType::zoneReachable, zoneAsSubject(zone, region), MemberState::alive, {}});
}

/// Suspects all members of a zone at once, with one event and one update instead of one for each member.
void Membership::suspectZone(Duration now, const ZoneInRegion& zone, const std::vector<Reporter>& accusers,
                             Effects& effects) {
  if (!zones_.markUnreachable(zone.zone, now)) return;
  std::size_t suspected = 0;
  for (auto& [name, member] : members_.all()) {
    if (member.record.zone != zone.zone || !member.isPresent()) continue;
    ++suspected;
    dissemination_.removeUpdatesAbout(name);
    applySuspect(now, member, member.record.incarnation, accusers, effects);
  }
  const MemberRecord subject = zoneAsSubject(zone.zone, zone.region);
  effects.events.push_back({EventType::zoneUnreachable, subject, MemberState::suspect,
                            std::to_string(suspected) + " members suspected"});
  dissemination_.announce(Kind::zoneUnreachable, subject, accusers);
}

/// Applies an update about a zone, unless this member itself receives messages from a member of the zone.
void Membership::applyAboutZone(Duration now, const GossipUpdate& update, Effects& effects) {
  const ZoneName& zone = update.subject.zone;
  if (zone == self_.zone || update.reporters.empty()) return;
  std::vector<Member*> members;
  bool isAccusedBySelf = false;
  for (auto& [name, member] : members_.all()) {
    if (member.record.zone != zone) continue;
    if (isRecent(now, member.lastReceived) && !isIsolated(now))
      return recordReceivedFrom(member, selfAsReporter(), member.lastReceived);
    if (member.suspicion && member.suspicion->accusers.contains(selfAsReporter())) isAccusedBySelf = true;
    members.push_back(&member);
  }
  bool isNews = false;
  if (update.kind == Kind::zoneDead)
    isNews = declareZoneDead(now, members, update.reporters, effects);
  else if (!zones_.isUnreachable(zone))
    return suspectZone(now, {zone, update.subject.region}, update.reporters, effects);
  else
    isNews = addZoneAccusers(now, members, update.reporters, effects);
  if (!isNews) return;
  auto reporters = update.reporters;
  const bool isNamed = std::find(reporters.begin(), reporters.end(), selfAsReporter()) != reporters.end();
  if (isAccusedBySelf && !isNamed && reporters.size() < maxReporters) reporters.push_back(selfAsReporter());
  dissemination_.announce(update.kind, update.subject, std::move(reporters));
}

/// Returns whether one of the members was suspected.
bool Membership::declareZoneDead(Duration now, const std::vector<Member*>& members,
                                 const std::vector<Reporter>& reporters, Effects& effects) {
  bool hasChanged = false;
  for (Member* const member : members) {
    if (member->state != MemberState::suspect) continue;
    setState(now, *member, MemberState::dead, "declared dead by other members together with its zone",
             effects);
    member->deathReporters = reporters;
    hasChanged = true;
  }
  return hasChanged;
}

/// Returns whether one of the suspicions has a new accuser.
bool Membership::addZoneAccusers(Duration now, const std::vector<Member*>& members,
                                 const std::vector<Reporter>& accusers, Effects& effects) {
  bool hasChanged = false;
  for (Member* const member : members) {
    if (!member->suspicion) continue;
    const std::size_t before = member->suspicion->accusers.size();
    applySuspect(now, *member, member->record.incarnation, accusers, effects);
    if (member->suspicion->accusers.size() > before) hasChanged = true;
  }
  return hasChanged;
}

}  // namespace rainhook::membership
