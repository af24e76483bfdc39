/// @file
/// Group membership as one member sees it: who is in the fleet, and in which state. Pure: no I/O, clock,
/// threads or randomness of its own. Messages, the time and a seed go in; messages to send and events come
/// out.
///
/// Published parts: SWIM (Das, Gupta and Motivala, DSN 2002): round-robin probes, indirect probes, suspicion,
/// incarnations, gossip that rides on the probes. Lifeguard (Dadgar, Phillips and Currey, DSN-W 2018,
/// arXiv:1707.00788): local health multiplier, suspicions that shorten with confirmations, the suspect learns
/// of it first. What goes beyond them: docs/membership.md.
///
/// Invariants: an incarnation never goes back, and only the member itself raises it. `left` is never taken
/// for `dead`. A declaration of death has two accusers, of two zones where two zones can accuse; none is made
/// while the own view is in doubt, nor past a bounded rate and share of the fleet.
///
/// Bounds: members `maxMembers` (the dead and the left go after `tombstoneRetention`), probes and indirect
/// probes 128 each, queued updates two for each member and one for each zone, accusers `maxReporters`.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "membership/death_declaration.h"
#include "membership/dissemination.h"
#include "membership/effects.h"
#include "membership/failure_detector.h"
#include "membership/join.h"
#include "membership/member_table.h"
#include "membership/membership_settings.h"
#include "membership/probe_round.h"
#include "membership/suspicion.h"
#include "membership/zone_health.h"

namespace rainhook::membership {

/// Composes the units of the protocol: each of them holds one state, the flow between them is here.
/// Not thread-safe. Moments that are passed in never go back.
class Membership {
 public:
  /// What happened since the start of the process.
  struct Counters {
    std::uint64_t probes = 0;                 ///< sent, those of tombstones and for our name too
    std::uint64_t failedProbes = 0;           ///< of a member, without an answer in time
    std::uint64_t pauses = 0;                 ///< for which this process did not run
    std::uint64_t declaredDead = 0;           ///< members, on whosever word
    std::uint64_t postponedDeclarations = 0;  ///< one for each reason that a suspicion had to wait for
    std::uint64_t refutations = 0;            ///< of a suspicion or a declaration against this member
    std::uint64_t rejectedMembers = 0;        ///< beyond maxMembers
    std::uint64_t postponedRefutations = 0;   ///< for want of a reserved incarnation
  };

  /// @param self its incarnation is set from `identity`
  /// @param seeds whom to ask for the fleet's state; none: this is the first member
  /// @param settings copied
  /// @param randomSeed drawn at the start of the process
  /// @param identity what earlier processes persisted; by default nothing was
  Membership(MemberRecord self, const std::vector<Address>& seeds, const ProtocolSettings& settings,
             std::uint64_t randomSeed, const PersistedIdentity& identity = {});
  ~Membership() = default;
  Membership(const Membership&) = delete;
  Membership& operator=(const Membership&) = delete;

  /// Begins to ask the seeds. Without any, this is the first member of a fleet.
  void open(Duration now, Effects& effects);
  /// Takes a message whose authenticity was verified.
  void onMessage(Duration now, const Message& message, Effects& effects);
  /// Does what is due; to be called at nextDeadline().
  void onTimer(Duration now, Effects& effects);
  /// The moment at which onTimer() is to be called next.
  [[nodiscard]] Duration nextDeadline() const { return detector_.nextDeadline(); }
  /// Sets what this member states about itself from now on.
  void publishStatus(const MemberStatus& status) { dissemination_.publishStatus(status); }
  /// Announces that this member leaves; the host goes on with timers for leaveDuration().
  void leave(Duration now, Effects& effects);
  /// How long the host goes on after leave(): one probe interval.
  [[nodiscard]] Duration leaveDuration() const { return settings_.probeInterval; }
  /// Incarnations up to this one are on the disk by now.
  void reserveUpTo(Incarnation incarnation) { reservation_.reserveUpTo(incarnation); }
  /// The incarnation that this member needs, to be past all that was said about it; it may not be reserved
  /// yet.
  [[nodiscard]] Incarnation requiredIncarnation() const;

  /// Who this member is, with its present incarnation.
  [[nodiscard]] const MemberRecord& self() const { return self_; }
  /// What this member states about itself at present.
  [[nodiscard]] const MemberStatus& status() const { return dissemination_.ownStatus(); }
  /// Whether this member was admitted under its name.
  [[nodiscard]] bool hasJoined() const { return join_.hasJoined(); }
  /// Whether this instance can't be a member and is to stop.
  [[nodiscard]] bool isRejected() const { return join_.isRejected(); }
  /// Whether leave() was called.
  [[nodiscard]] bool hasLeft() const { return hasLeft_; }
  /// Whether this view may be wrong, so that its users should wait: not joined, isolated, paused a moment
  /// ago, or more than half of the fleet lost lately.
  [[nodiscard]] bool isViewUncertain(Duration now) const;
  /// The other members.
  [[nodiscard]] const std::map<MemberName, Member>& members() const { return members_.all(); }
  /// Members admitted so far, this one with them; does not shrink.
  [[nodiscard]] std::size_t admittedCount() const { return members_.admittedCount(); }
  /// The zones that are unreachable as a whole.
  [[nodiscard]] const ZoneHealth& zones() const { return zones_; }
  /// What happened since the start of the process.
  [[nodiscard]] const Counters& counters() const { return counters_; }
  /// How many updates are yet to be passed on.
  [[nodiscard]] std::size_t queuedUpdates() const { return dissemination_.queuedUpdates(); }
  /// 0 (well) to 8: by how much slower this member judges.
  [[nodiscard]] int localHealthMultiplier() const { return detector_.localHealthMultiplier(); }

 private:
  // Timer
  void handlePause(Duration now, Effects& effects);
  void handleExpiredProbes(Duration now, Effects& effects);
  void handleExpiredIndirectProbes(Duration now, Effects& effects);
  void continueJoin(Duration now, Effects& effects);
  void continueMembership(Duration now, Effects& effects);
  void continueLeave(Duration now, Effects& effects);
  void removeExpiredTombstones(Duration now);
  void reportCertainty(Duration now, Effects& effects);
  void requestState(Duration now, Effects& effects);

  // Join
  void askNextContact(Duration now, Effects& effects);
  void admitSelf(Duration now, Effects& effects);
  void rejectSelf(const MemberRecord& holder, Effects& effects);
  void challengeName(Duration now, const MemberRecord& holder, Effects& effects);
  void onNameUnanswered(Duration now, const MemberRecord& holder, Effects& effects);
  void onNameAnswered(const Message& message, const MemberRecord& holder, Effects& effects);

  // Probes
  void probeNext(Duration now, Effects& effects);
  void probeTombstone(Duration now, Effects& effects);
  void probe(Duration now, const MemberRecord& target, ProbePurpose purpose, Effects& effects);
  void askHelpers(Duration now, Nonce nonce, Effects& effects);
  void onProbeFailed(Duration now, const Probe& probe, Effects& effects);
  void countMissedProbe(Member& member, const char* reason, Effects& effects);

  // Messages
  void onMessageUnderOwnName(Duration now, const Message& message, Effects& effects);
  void onDirectMessage(Duration now, const Message& message, Effects& effects);
  void onStatus(Duration now, const StatusEntry& entry);
  void dispatch(Duration now, const Message& message, Effects& effects);
  void onAck(Duration now, const Message& message, Effects& effects);
  void onProbeAnswered(Duration now, const Message& message, const MemberRecord& target, Effects& effects);
  void forwardAck(Duration now, const IndirectProbe& probe, const Message& message, Effects& effects);
  void onPingRequest(Duration now, const Message& message, Effects& effects);

  // Updates
  void apply(Duration now, const GossipUpdate& update, Effects& effects);
  void applyAboutSelf(Duration now, const GossipUpdate& update, Effects& effects);
  void applyAlive(Duration now, const MemberRecord& subject, Effects& effects);
  void addMember(Duration now, const MemberRecord& subject, Effects& effects);
  void applySuspect(Duration now, Member& member, Incarnation incarnation,
                    const std::vector<Reporter>& accusers, Effects& effects);
  bool addAccusers(Member& member, const std::vector<Reporter>& accusers);
  void scheduleDeclaration(Duration now, Member& member, bool isNew);
  void confirmOrRefute(Duration now, Member& member, Effects& effects);
  void applyGone(Duration now, Member& member, const GossipUpdate& update, Effects& effects);
  void corroborate(Member& member, const Reporter& reporter, Duration observedAt);
  void setState(Duration now, Member& member, MemberState state, std::string reason, Effects& effects);
  void raiseIncarnation(Incarnation wanted);

  // Declarations
  void declareDueMembers(Duration now, Effects& effects);
  void postponeDeclaration(Duration now, Member& member, PostponeReason reason, Effects& effects);
  void declareDead(Duration now, Member& member, Effects& effects);

  // Zones
  void checkZones(Duration now, Effects& effects);
  void suspectZone(Duration now, const ZoneInRegion& zone, const std::vector<Reporter>& accusers,
                   Effects& effects);
  void applyAboutZone(Duration now, const GossipUpdate& update, Effects& effects);
  bool declareZoneDead(Duration now, const std::vector<Member*>& members,
                       const std::vector<Reporter>& reporters, Effects& effects);
  bool addZoneAccusers(Duration now, const std::vector<Member*>& members,
                       const std::vector<Reporter>& accusers, Effects& effects);

  // Sending
  [[nodiscard]] Message newMessage(Message::Kind kind, const MemberName& recipient, Nonce nonce = {}) const;
  void sendDatagram(Duration now, const Address& address, Message message, Effects& effects);
  /// `recipient` may be a name that the message itself does not insist on.
  void sendState(OutgoingMessage::Channel channel, const MemberName& recipient, const Address& address,
                 Message message, Effects& effects);

  // Conditions
  [[nodiscard]] bool isIsolated(Duration now) const {
    return detector_.isIsolated(now, members_.admittedCount());
  }
  [[nodiscard]] bool isLostMajority(Duration now) const;
  /// Whether this was not long ago, and did happen.
  [[nodiscard]] bool isRecent(Duration now, Duration at) const {
    return at >= Duration{} && now - at < 2 * settings_.probeInterval;
  }
  [[nodiscard]] Reporter selfAsReporter() const { return {self_.name, self_.zone}; }
  [[nodiscard]] LocalView localView(Duration now) const;

  const ProtocolSettings settings_;
  RandomSource random_;
  MemberRecord self_;
  MemberTable members_;
  ProbeRound round_;
  FailureDetector detector_;
  SuspicionTracker suspicions_;
  DeathDeclaration declaration_;
  ZoneHealth zones_;
  Dissemination dissemination_;
  JoinProtocol join_;
  IncarnationReservation reservation_;
  Duration nextStateSyncAt_{};
  Duration nextLeaveNoticeAt_{};
  bool isOpen_ = false;
  bool hasLeft_ = false;
  bool wasViewUncertain_ = false;
  Counters counters_;
};

}  // namespace rainhook::membership
