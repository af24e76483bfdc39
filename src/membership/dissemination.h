/// @file
/// The content that each message carries: gossip updates, statuses, and the names of unreachable members.
#pragma once

#include <string>
#include <vector>

#include "membership/gossip_queue.h"
#include "membership/member_table.h"
#include "membership/probe_round.h"
#include "membership/random_source.h"
#include "membership/types.h"

namespace rainhook::membership {

/// Fills and encodes outgoing messages. A datagram carries the statuses of random members. They are drawn
/// from the probe round, which unlike the member table is a vector and allows random access.
class Dissemination {
 public:
  /// Queues an update; it replaces an earlier one about the same member or zone.
  void announce(GossipUpdate::Kind kind, const MemberRecord& subject, std::vector<Reporter> reporters = {});
  /// Queues the observation that `reporter` received a message from `subject` at `observedAt`.
  void announceReceivedFrom(const MemberRecord& subject, const Reporter& reporter, Duration observedAt);
  /// Removes the queued updates about a member.
  void removeUpdatesAbout(const MemberName& name) { queue_.remove(name); }
  /// Returns the number of updates that are still to be sent.
  [[nodiscard]] std::size_t queuedUpdates() const { return queue_.size(); }

  /// Replaces the status that this member publishes; this function sets its version.
  void publishStatus(const MemberStatus& status);
  /// Returns the status that this member publishes.
  [[nodiscard]] const MemberStatus& ownStatus() const { return ownStatus_; }

  /// Encodes a message with the full state, for a stateRequest or stateResponse.
  [[nodiscard]] std::string encodeState(Message message, bool hasLeft, const MemberTable& members) const;
  /// Encodes a message that fits into a datagram. The update about the recipient comes first, so that a
  /// suspected member learns of the suspicion immediately (Lifeguard's buddy system, section IV.C).
  [[nodiscard]] std::string encodeDatagram(Message message, Duration now, const MemberTable& members,
                                           const ProbeRound& round, RandomSource& random);

 private:
  void addOwnObservations(Message& message, const MemberTable& members) const;

  GossipQueue queue_;
  MemberStatus ownStatus_;
};

}  // namespace rainhook::membership
