#include "membership/membership.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <set>
#include <utility>

namespace rainhook::membership {

using Channel = OutgoingMessage::Channel;
using EventType = MembershipEvent::Type;
using Kind = Message::Kind;

Membership::Membership(MemberRecord self, const std::vector<Address>& seeds, const ProtocolSettings& settings,
                       std::uint64_t randomSeed, const PersistedIdentity& identity)
    : settings_(settings),
      random_(randomSeed),
      self_(std::move(self)),
      detector_(settings_),
      suspicions_(settings_),
      declaration_(settings_),
      zones_(settings_),
      join_(seeds, identity.knownMembers),
      reservation_(identity.reservedIncarnation) {
  self_.incarnation = identity.firstIncarnation;
}

void Membership::open(Duration now, Effects& effects) {
  isOpen_ = true;
  detector_.open(now, random_);
  nextStateSyncAt_ = now + settings_.probeInterval * settings_.stateSyncPeriods;
  join_.scheduleContact(now);
  if (!join_.hasContacts()) admitSelf(now, effects);
  onTimer(now, effects);
}

Incarnation Membership::requiredIncarnation() const {
  return std::max(reservation_.required(), self_.incarnation);
}

bool Membership::isViewUncertain(Duration now) const {
  if (!join_.hasJoined() || isIsolated(now) || detector_.isInGracePeriod(now)) return true;
  return hasLostMajority(now);
}

/// If fewer than half of the recently present members are alive, this member itself may be disconnected.
bool Membership::hasLostMajority(Duration now) const {
  if (suspicions_.isEmpty() && members_.tombstones().empty()) return false;
  const auto count = members_.count(now, settings_.probeInterval * settings_.declarationWindowPeriods);
  return count.alive * 2 < count.present;
}

LocalView Membership::localView(Duration now) const {
  return {self_.zone, isIsolated(now), detector_.isInGracePeriod(now),
          suspicions_.minTimeout(members_.admittedCount())};
}

// --- Timer ---

void Membership::onTimer(Duration now, Effects& effects) {
  if (!isOpen_ || join_.isRejected()) return;
  handlePause(now, effects);
  handleExpiredProbes(now, effects);
  handleExpiredIndirectProbes(now, effects);
  if (!join_.hasJoined())
    continueJoin(now, effects);
  else if (!hasLeft_)
    continueMembership(now, effects);
  else
    continueLeave(now, effects);
  removeExpiredTombstones(now);
  detector_.updateNextDeadline(now, join_.hasJoined() && !hasLeft_);
}

/// A process that did not run received no messages and fired no timers. Therefore the deadlines are extended
/// by the pause, and this member raises no suspicions before the grace period ends.
void Membership::handlePause(Duration now, Effects& effects) {
  const auto pause = detector_.detectPause(now);
  if (!pause) return;
  ++counters_.pauses;
  detector_.onPause(now, *pause);
  const Duration minDeadline = now + suspicions_.timeout(0, 2, members_.admittedCount());
  for (auto& [name, member] : members_.all()) {
    for (Duration* at : {&member.lastReceived, &member.lastEvidence, &member.lastReceivedByAny})
      if (*at >= Duration{}) *at += *pause;
    if (!member.suspicion) continue;
    member.suspicion->since += *pause;
    suspicions_.setDeadline(member, std::max(member.suspicion->deadline + *pause, minDeadline));
  }
  const auto pauseMs = std::chrono::duration_cast<std::chrono::milliseconds>(*pause).count();
  effects.events.push_back(
      {EventType::pauseDetected, self_, MemberState::alive, std::to_string(pauseMs) + " ms"});
}

void Membership::handleExpiredProbes(Duration now, Effects& effects) {
  const auto expired = detector_.takeExpiredProbes(now);
  for (const auto nonce : detector_.probesToAskHelpersFor(now)) askHelpers(now, nonce, effects);
  for (const auto& probe : expired) onProbeFailed(now, probe, effects);
}

/// Sends Lifeguard's nacks: this helper is alive, but the target did not answer it.
void Membership::handleExpiredIndirectProbes(Duration now, Effects& effects) {
  for (const auto& probe : detector_.takeExpiredIndirectProbes(now))
    if (const Member* const requester = members_.find(probe.requester))
      sendDatagram(now, requester->record.address,
                   newMessage(Kind::nack, probe.requester, probe.requesterNonce), effects);
}

void Membership::continueJoin(Duration now, Effects& effects) {
  if (!join_.isContactDue(now) || join_.isNameChallenged()) return;
  if (join_.hasAskedAll())
    admitSelf(now, effects);
  else
    askNextContact(now, effects);
}

void Membership::continueMembership(Duration now, Effects& effects) {
  declareDueMembers(now, effects);
  if (detector_.isProbeDue(now)) probeNext(now, effects);
  if (now >= nextStateSyncAt_) requestState(now, effects);
  reportCertainty(now, effects);
}

void Membership::continueLeave(Duration now, Effects& effects) {
  constexpr std::size_t noticesAtOnce = 4;
  if (now < nextLeaveNoticeAt_) return;
  nextLeaveNoticeAt_ = now + settings_.probeInterval / 4;
  for (const auto& name : members_.sampleAlive(noticesAtOnce, {}, random_))
    sendDatagram(now, members_.at(name).record.address, newMessage(Kind::ping, name), effects);
}

void Membership::removeExpiredTombstones(Duration now) {
  while (const auto name = members_.removeExpired(now, settings_.tombstoneRetention))
    dissemination_.removeUpdatesAbout(*name);
}

void Membership::reportCertainty(Duration now, Effects& effects) {
  const bool isUncertain = isViewUncertain(now);
  if (isUncertain == wasViewUncertain_) return;
  wasViewUncertain_ = isUncertain;
  if (!isUncertain) {
    effects.events.push_back({EventType::viewCertain, self_, MemberState::alive, {}});
    return;
  }
  const char* reason = "more than half of the fleet is not alive";
  if (detector_.isInGracePeriod(now)) reason = "this process was paused";
  if (isIsolated(now)) reason = "no message was received for several probe intervals";
  effects.events.push_back({EventType::viewUncertain, self_, MemberState::alive, reason});
}

void Membership::requestState(Duration now, Effects& effects) {
  nextStateSyncAt_ = now + settings_.probeInterval * settings_.stateSyncPeriods;
  const auto sample = members_.sampleAlive(1, {}, random_);
  if (sample.empty()) return;
  const MemberName& name = sample.front();
  sendState(Channel::connection, name, members_.at(name).record.address, newMessage(Kind::stateRequest, name),
            effects);
}

void Membership::leave(Duration now, Effects& effects) {
  if (hasLeft_ || !isOpen_ || join_.isRejected()) return;
  hasLeft_ = true;
  nextLeaveNoticeAt_ = now;
  dissemination_.announce(GossipUpdate::Kind::left, self_);
  onTimer(now, effects);
}

// --- Join ---

void Membership::askNextContact(Duration now, Effects& effects) {
  join_.scheduleContact(now + settings_.probeInterval);
  const KnownMember& contact = join_.nextContact();
  // The message names no recipient, because another member may use that address by now.
  sendState(Channel::connection, contact.name, contact.address, newMessage(Kind::stateRequest, {}), effects);
}

/// Admits this instance as a member, unless members of its zone are configured with another region: sums by
/// zone or by region would be wrong.
void Membership::admitSelf(Duration now, Effects& effects) {
  if (join_.hasJoined() || join_.isNameChallenged()) return;
  for (const auto& [name, member] : members_.all()) {
    const MemberRecord& record = member.record;
    if (member.state != MemberState::alive || record.zone != self_.zone || record.region == self_.region)
      continue;
    join_.setRejected();
    effects.events.push_back({EventType::regionMismatch, record, MemberState::alive,
                              "the zone of this instance is configured with another region"});
    return;
  }
  join_.setJoined();
  detector_.onMessageReceived(now);
  effects.events.push_back({EventType::joined, self_, MemberState::alive,
                            std::to_string(members_.size()) + " other members known"});
  dissemination_.announce(GossipUpdate::Kind::alive, self_);
}

void Membership::rejectSelf(const MemberRecord& holder, Effects& effects) {
  join_.setRejected();
  effects.events.push_back(
      {EventType::nameRejected, holder, MemberState::alive, "the name is held by another living instance"});
}

/// Another address is known for this member's name. It belongs either to an earlier process of this member,
/// whose end the others have not detected yet, or to a running instance. Only an answer from there
/// distinguishes them.
void Membership::challengeName(Duration now, const MemberRecord& holder, Effects& effects) {
  if (join_.isNameChallenged()) return;
  join_.setNameChallenged(true);
  probe(now, holder, ProbePurpose::nameChallenge, effects);
}

void Membership::onNameChallengeTimedOut(Duration now, const MemberRecord& holder, Effects& effects) {
  join_.setNameChallenged(false);
  raiseIncarnation(nextIncarnation(holder.incarnation));
  if (join_.hasJoined())
    dissemination_.announce(GossipUpdate::Kind::alive, self_);
  else
    admitSelf(now, effects);
}

/// An instance that has not joined stops. Of two that have joined, the one with the greater process ID stops.
void Membership::onNameChallengeAnswered(const Message& message, const MemberRecord& holder,
                                         Effects& effects) {
  join_.setNameChallenged(false);
  const bool mustYield = message.hasSenderJoined && self_.processId > holder.processId;
  if (!join_.hasJoined() || mustYield) {
    rejectSelf(holder, effects);
    return;
  }
  raiseIncarnation(nextIncarnation(holder.incarnation));
  dissemination_.announce(GossipUpdate::Kind::alive, self_);
}

// --- Probes ---

void Membership::probeNext(Duration now, Effects& effects) {
  detector_.scheduleNextProbe(now);
  if (const Member* const next = round_.next(members_, random_))
    probe(now, next->record, ProbePurpose::failureDetection, effects);
  probeTombstone(now, effects);
  // A member that is alone keeps asking its contacts, because the fleet may have been unreachable when it
  // joined.
  const bool isAlone = members_.admittedCount() == 1;
  if (isAlone && join_.hasContacts() && join_.isContactDue(now)) askNextContact(now, effects);
}

/// Probes a dead member, so that two halves that declared each other dead merge again after a network
/// partition.
void Membership::probeTombstone(Duration now, Effects& effects) {
  std::vector<const MemberRecord*> dead;
  for (const auto& [since, name] : members_.tombstones()) {
    const Member& member = members_.at(name);
    if (member.state == MemberState::dead) dead.push_back(&member.record);
  }
  if (dead.empty()) return;
  probe(now, *dead[random_.below(dead.size())], ProbePurpose::tombstone, effects);
}

void Membership::probe(Duration now, const MemberRecord& target, ProbePurpose purpose, Effects& effects) {
  const auto nonce = detector_.beginProbe(now, target, purpose, random_);
  if (!nonce) return;
  ++counters_.probes;
  sendDatagram(now, target.address, newMessage(Kind::ping, target.name, *nonce), effects);
}

void Membership::askHelpers(Duration now, Nonce nonce, Effects& effects) {
  Probe& probe = *detector_.findProbe(nonce);
  for (const auto& name : members_.sampleAlive(settings_.indirectProbes, probe.target.name, random_)) {
    auto message = newMessage(Kind::pingRequest, name, nonce);
    message.subject = probe.target;
    sendDatagram(now, members_.at(name).record.address, std::move(message), effects);
    ++probe.helpersAsked;
  }
  if (probe.helpersAsked == 0) probe.askHelpersAt = probe.deadline;
}

void Membership::onProbeFailed(Duration now, const Probe& probe, Effects& effects) {
  if (probe.purpose == ProbePurpose::tombstone) return;
  if (probe.purpose == ProbePurpose::nameChallenge) {
    onNameChallengeTimedOut(now, probe.target, effects);
    return;
  }
  ++counters_.failedProbes;
  Member* const member = members_.find(probe.target.name);
  if (!member) return;
  // More than one missing nack from helpers indicates a problem of this member's own links.
  const bool lacksNacks = probe.helpersAsked > probe.nacks + 1;
  detector_.adjustLocalHealth(lacksNacks ? 2 : 1);
  countMissedProbe(*member, "three probes without an answer", effects);
  if (settings_.detectPauses && (isIsolated(now) || detector_.isInGracePeriod(now))) return;
  // A message from the target reached this member or another one after the probe started, so it is alive.
  const bool isKnownAlive =
      member->lastReceived >= probe.started || member->lastReceivedByAny >= probe.started;
  if (settings_.requireCorroboration && isKnownAlive) return;
  if (member->isPresent())
    applySuspect(now, *member, member->record.incarnation, {selfAsReporter()}, effects);
}

/// After too many consecutive missed probes the member counts as unreachable from this member, even if others
/// reach it.
void Membership::countMissedProbe(Member& member, const char* reason, Effects& effects) {
  ++member.missedProbes;
  if (member.missedProbes != Member::unreachableAfterProbes || member.state != MemberState::alive) return;
  members_.markUnreachable(member.record.name);
  effects.events.push_back({EventType::unreachable, member.record, member.state, reason});
}

// --- Messages ---

void Membership::onMessage(Duration now, const Message& message, Effects& effects) {
  if (!isOpen_ || join_.isRejected()) return;
  handlePause(now, effects);
  detector_.onMessageReceived(now);
  if (message.sender.name == self_.name) {
    const bool isOwnEcho = message.sender.processId == self_.processId;
    if (isOwnEcho) return;
    onMessageUnderOwnName(now, message, effects);
    // The response to a state request shows the other instance that its name is in use.
    if (message.kind != Kind::stateRequest) return;
  } else {
    onDirectMessage(now, message, effects);
  }
  for (const auto& update : message.updates) apply(now, update, effects);
  for (const auto& entry : message.statuses) onStatus(now, entry);
  dispatch(now, message, effects);
}

void Membership::onMessageUnderOwnName(Duration now, const Message& message, Effects& effects) {
  effects.events.push_back({EventType::nameConflict, message.sender, MemberState::alive,
                            "another process sends messages under the name of this member"});
  if (message.kind == Kind::ack)
    onAck(now, message, effects);
  else if (message.kind == Kind::ping)
    sendDatagram(now, message.sender.address, newMessage(Kind::ack, {}, message.nonce), effects);
}

/// A message is evidence that its sender is alive.
void Membership::onDirectMessage(Duration now, const Message& message, Effects& effects) {
  if (!message.hasSenderJoined) return;
  applyAlive(now, message.sender, effects);
  Member* const member = members_.find(message.sender.name);
  if (!member || member->record.processId != message.sender.processId) return;
  member->lastReceived = now;
  member->lastEvidence = now;
  member->cannotReach = message.unreachable;
  if (!member->suspicion || now - member->lastReceivedByAny <= settings_.probeInterval / 2) return;
  recordReceivedFrom(*member, selfAsReporter(), now);
  // The accusers learn of the message immediately, before they declare the member dead.
  const std::set<Reporter> accusers = member->suspicion->accusers;
  for (const auto& accuser : accusers)
    if (const Member* const accuserMember = members_.find(accuser.name))
      sendDatagram(now, accuserMember->record.address, newMessage(Kind::ping, accuser.name), effects);
}

void Membership::onStatus(Duration now, const StatusEntry& entry) {
  Member* const member = members_.find(entry.name);
  if (!member || member->record.incarnation > entry.incarnation) return;
  const bool isNewer =
      entry.status.version > member->status.version || entry.incarnation > member->record.incarnation;
  if (!isNewer || entry.status.version == 0) return;
  member->status = entry.status;
  member->statusReceived = now;
}

void Membership::dispatch(Duration now, const Message& message, Effects& effects) {
  const MemberName& sender = message.sender.name;
  const Member* const known = members_.find(sender);
  const Address& address = known ? known->record.address : message.sender.address;
  switch (message.kind) {
    case Kind::ping:
      if (message.nonce != Nonce{})
        sendDatagram(now, address, newMessage(Kind::ack, sender, message.nonce), effects);
      break;
    case Kind::ack:
      onAck(now, message, effects);
      break;
    case Kind::pingRequest:
      if (known) onPingRequest(now, message, effects);
      break;
    case Kind::nack:
      if (Probe* const probe = detector_.findProbe(message.nonce)) ++probe->nacks;
      break;
    case Kind::stateRequest:
      sendState(Channel::reply, sender, address, newMessage(Kind::stateResponse, sender), effects);
      break;
    case Kind::stateResponse:
      admitSelf(now, effects);
      break;
  }
}

void Membership::onPingRequest(Duration now, const Message& message, Effects& effects) {
  const MemberRecord& target = message.subject;
  if (target.name == self_.name || !detector_.hasRoomForIndirectProbe()) return;
  // A recent message from the target is evidence of life, even if the target does not answer the probe.
  Member* const member = members_.find(target.name);
  if (member && member->isPresent() && isRecent(now, member->lastReceived) && !isIsolated(now))
    recordReceivedFrom(*member, selfAsReporter(), member->lastReceived);
  const auto nonce = detector_.beginIndirectProbe(now, message.sender.name, message.nonce, random_);
  sendDatagram(now, target.address, newMessage(Kind::ping, target.name, *nonce), effects);
}

void Membership::onAck(Duration now, const Message& message, Effects& effects) {
  if (const auto indirect = detector_.takeIndirectProbe(message.nonce)) {
    forwardAck(now, *indirect, message, effects);
    return;
  }
  const Probe* const probe = detector_.findProbe(message.nonce);
  if (!probe) return;
  const bool isDirect = message.sender.name == probe->target.name;
  const MemberRecord& answering = isDirect ? message.sender : message.subject;
  if (answering.name != probe->target.name) return;
  if (probe->purpose == ProbePurpose::nameChallenge) {
    if (answering.processId == self_.processId) return;
    detector_.endProbe(message.nonce);
    onNameChallengeAnswered(message, answering, effects);
    return;
  }
  detector_.endProbe(message.nonce);
  onProbeAnswered(now, message, answering, effects);
}

void Membership::forwardAck(Duration now, const IndirectProbe& probe, const Message& message,
                            Effects& effects) {
  const Member* const requester = members_.find(probe.requester);
  if (!requester) return;
  auto ack = newMessage(Kind::ack, probe.requester, probe.requesterNonce);
  ack.subject = message.sender;
  sendDatagram(now, requester->record.address, std::move(ack), effects);
}

void Membership::onProbeAnswered(Duration now, const Message& message, const MemberRecord& target,
                                 Effects& effects) {
  detector_.adjustLocalHealth(-1);
  Member* const member = members_.find(target.name);
  if (!member) return;
  member->lastEvidence = now;
  if (message.sender.name != target.name) {
    countMissedProbe(*member, "it answers other members but not this one", effects);
    applyAlive(now, target, effects);
    return;
  }
  member->missedProbes = 0;
  if (members_.markReachable(target.name))
    effects.events.push_back({EventType::reachable, member->record, member->state, "it answered a probe"});
}

// --- Sending ---

Message Membership::newMessage(Kind kind, const MemberName& recipient, Nonce nonce) const {
  Message out;
  out.kind = kind;
  out.sender = self_;
  out.hasSenderJoined = join_.hasJoined();
  out.recipient = recipient;
  out.nonce = nonce;
  return out;
}

void Membership::sendDatagram(Duration now, const Address& address, Message message, Effects& effects) {
  const MemberName recipient = message.recipient;
  auto bytes = dissemination_.encodeDatagram(std::move(message), now, members_, round_, random_);
  effects.messages.push_back({Channel::datagram, recipient, address, std::move(bytes)});
}

void Membership::sendState(Channel channel, const MemberName& recipient, const Address& address,
                           Message message, Effects& effects) {
  auto bytes = dissemination_.encodeState(std::move(message), hasLeft_, members_);
  effects.messages.push_back({channel, recipient, address, std::move(bytes)});
}

}  // namespace rainhook::membership
