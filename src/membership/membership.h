/// @file
/// Group membership in the view of one member: the members of the fleet and their states. The class is pure:
/// it has no I/O, clock, threads or source of entropy of its own. Its inputs are messages, the time and a
/// random seed; its outputs are messages to send and events.
///
/// The protocol follows SWIM (Das, Gupta and Motivala, DSN 2002): round-robin probes, indirect probes,
/// suspicion, incarnations, and gossip that the probes carry. It adds Lifeguard (Dadgar, Phillips and Currey,
/// DSN-W 2018, arXiv:1707.00788): the local health multiplier, suspicion timeouts that confirmations shorten,
/// and updates that reach the suspect first. docs/membership.md describes the extensions of this
/// implementation.
///
/// Invariants: An incarnation never decreases, and only the member itself raises it. A member that has left
/// is never declared dead. A declaration of death has two accusers, from two zones if two zones have members
/// that can accuse. A member declares no other dead while its own view is uncertain, nor above a limited rate
/// and a limited share of the fleet.
///
/// Bounds: `maxMembers` members (dead and left members are removed after `tombstoneRetention`), 128 probes,
/// 128 indirect probes, two queued updates per member and one per zone, `maxReporters` accusers per
/// suspicion.
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

/// Composes the components of the protocol: each component holds its own state, and this class controls the
/// flow between them. Not thread-safe. The time that the caller passes in must never decrease.
class Membership {
 public:
  /// Counts of events since the start of the process.
  struct Counters {
    std::uint64_t probes = 0;        ///< probes sent, including those of tombstones and of this member's name
    std::uint64_t failedProbes = 0;  ///< probes of members without an answer in time
    std::uint64_t pauses = 0;        ///< pauses of this process
    std::uint64_t declaredDead = 0;  ///< members declared dead by this member or by others
    std::uint64_t postponedDeclarations = 0;  ///< counted once per suspicion and reason for the delay
    std::uint64_t refutations = 0;            ///< refuted suspicions and declarations against this member
    std::uint64_t rejectedMembers = 0;        ///< members not added because of maxMembers
    std::uint64_t postponedRefutations = 0;   ///< updates not refuted yet for lack of a reserved incarnation
  };

  /// @param self the identity of this member; its incarnation is set from `identity`
  /// @param seeds addresses to ask for the fleet's state; if empty, this is the first member
  /// @param settings the protocol's parameters; the object copies them
  /// @param randomSeed a number that the host draws at the start of the process
  /// @param identity the identity that earlier processes persisted; the default is none
  Membership(MemberRecord self, const std::vector<Address>& seeds, const ProtocolSettings& settings,
             std::uint64_t randomSeed, const PersistedIdentity& identity = {});
  ~Membership() = default;
  Membership(const Membership&) = delete;
  Membership& operator=(const Membership&) = delete;

  /// Starts to ask the contacts. Without contacts, this is the first member of a fleet.
  void open(Duration now, Effects& effects);
  /// Handles a message whose authenticity the host has verified.
  void onMessage(Duration now, const Message& message, Effects& effects);
  /// Performs the actions that are due. The host calls this at nextDeadline().
  void onTimer(Duration now, Effects& effects);
  /// Returns the time at which the host has to call onTimer() next.
  [[nodiscard]] Duration nextDeadline() const { return detector_.nextDeadline(); }
  /// Replaces the status that this member publishes.
  void publishStatus(const MemberStatus& status) { dissemination_.publishStatus(status); }
  /// Announces that this member leaves; the host continues to call onTimer() for leaveDuration().
  void leave(Duration now, Effects& effects);
  /// Returns how long the host has to keep running after leave(): one probe interval.
  [[nodiscard]] Duration leaveDuration() const { return settings_.probeInterval; }
  /// Allows incarnations up to this one, whose reservation is on disk.
  void reserveUpTo(Incarnation incarnation) { reservation_.reserveUpTo(incarnation); }
  /// Returns the incarnation that this member needs in order to exceed all updates about it; it may not be
  /// reserved yet.
  [[nodiscard]] Incarnation requiredIncarnation() const;

  /// Returns the identity of this member with its current incarnation.
  [[nodiscard]] const MemberRecord& self() const { return self_; }
  /// Returns the status that this member publishes.
  [[nodiscard]] const MemberStatus& status() const { return dissemination_.ownStatus(); }
  /// Returns whether this member was admitted under its name.
  [[nodiscard]] bool hasJoined() const { return join_.hasJoined(); }
  /// Returns whether this instance cannot be a member and has to stop.
  [[nodiscard]] bool isRejected() const { return join_.isRejected(); }
  /// Returns whether leave() was called.
  [[nodiscard]] bool hasLeft() const { return hasLeft_; }
  /// Returns whether this view may be wrong, so that its users should wait: this member has not joined, is
  /// isolated, was paused recently, or more than half of the recent fleet is not alive.
  [[nodiscard]] bool isViewUncertain(Duration now) const;
  /// Returns the other members by name.
  [[nodiscard]] const std::map<MemberName, Member>& members() const { return members_.all(); }
  /// Returns the number of members admitted so far, including this one; it does not decrease.
  [[nodiscard]] std::size_t admittedCount() const { return members_.admittedCount(); }
  /// Returns the zones that are unreachable as a whole.
  [[nodiscard]] const ZoneHealth& zones() const { return zones_; }
  /// Returns the counts of events since the start of the process.
  [[nodiscard]] const Counters& counters() const { return counters_; }
  /// Returns the number of updates that are still to be sent.
  [[nodiscard]] std::size_t queuedUpdates() const { return dissemination_.queuedUpdates(); }
  /// Returns Lifeguard's multiplier, 0 (healthy) to 8: the higher it is, the longer probes wait for an
  /// answer.
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
  void onNameChallengeTimedOut(Duration now, const MemberRecord& holder, Effects& effects);
  void onNameChallengeAnswered(const Message& message, const MemberRecord& holder, Effects& effects);

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
  void applyDeadOrLeft(Duration now, Member& member, const GossipUpdate& update, Effects& effects);
  void recordReceivedFrom(Member& member, const Reporter& reporter, Duration observedAt);
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
  /// @param recipient the expected recipient; the message itself may leave its recipient open
  void sendState(OutgoingMessage::Channel channel, const MemberName& recipient, const Address& address,
                 Message message, Effects& effects);

  // Conditions
  [[nodiscard]] bool isIsolated(Duration now) const {
    return detector_.isIsolated(now, members_.admittedCount());
  }
  [[nodiscard]] bool hasLostMajority(Duration now) const;
  /// Returns whether `at` is set and lies less than two probe intervals in the past.
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
