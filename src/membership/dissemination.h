/// @file
/// What rides along on each message: gossip, statuses, and who is unreachable.
#pragma once

#include <string>
#include <vector>

#include "membership/gossip_queue.h"
#include "membership/member_table.h"
#include "membership/probe_round.h"
#include "membership/random_source.h"
#include "membership/types.h"

namespace rainhook::membership {

/// Fills and encodes outgoing messages. The random statuses that ride on a message are drawn from the probe
/// round, since that holds the present members in a vector.
class Dissemination {
 public:
  /// Queues an update, in place of an earlier one on the same member or zone.
  void announce(GossipUpdate::Kind kind, const MemberRecord& subject, std::vector<Reporter> reporters = {});
  /// Queues the proof that `reporter` received from `subject` at that moment.
  void announceReceivedFrom(const MemberRecord& subject, const Reporter& reporter, Duration observedAt);
  /// Drops what is queued about a member.
  void removeUpdatesAbout(const MemberName& name) { queue_.remove(name); }
  /// How many updates are yet to be passed on.
  [[nodiscard]] std::size_t queuedUpdates() const { return queue_.size(); }

  /// What this member states about itself from now on; its version is set here.
  void publishStatus(const MemberStatus& status);
  /// What this member states about itself at present.
  [[nodiscard]] const MemberStatus& ownStatus() const { return ownStatus_; }

  /// A message with the full state, for a stateRequest or stateResponse.
  [[nodiscard]] std::string encodeState(Message message, bool hasLeft, const MemberTable& members) const;
  /// A message that fits into a datagram. The update on its recipient goes first, so that a member that is
  /// suspected learns of it at once (Lifeguard's buddy system, section IV.C).
  [[nodiscard]] std::string encodeDatagram(Message message, Duration now, const MemberTable& members,
                                           const ProbeRound& round, RandomSource& random);

 private:
  void addOwnFacts(Message& message, const MemberTable& members) const;

  GossipQueue queue_;
  MemberStatus ownStatus_;
};

}  // namespace rainhook::membership
