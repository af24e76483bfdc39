#include "membership/dissemination.h"

#include <algorithm>
#include <utility>

#include "membership/message_codec.h"

namespace rainhook::membership {
namespace {

constexpr std::size_t maxUnreachable = 8;
constexpr std::size_t maxUpdates = 24;
constexpr int statusesOfOthers = 2;
constexpr std::size_t authenticationReserveBytes = 64;  // reserved for the bytes that the transport adds

GossipUpdate::Kind kindOf(MemberState state) {
  switch (state) {
    case MemberState::alive:
      return GossipUpdate::Kind::alive;
    case MemberState::suspect:
      return GossipUpdate::Kind::suspect;
    case MemberState::dead:
      return GossipUpdate::Kind::dead;
    case MemberState::left:
      return GossipUpdate::Kind::left;
  }
  return GossipUpdate::Kind::alive;
}

/// Returns an update with the state, death reporters and accusers that this member knows of another.
GossipUpdate toUpdate(const Member& member) {
  GossipUpdate out{kindOf(member.state), member.record, member.deathReporters};
  if (member.suspicion)
    out.reporters.assign(member.suspicion->accusers.begin(), member.suspicion->accusers.end());
  return out;
}

void addStatus(Message& message, const Member& member) {
  if (member.status.version == 0) return;
  message.statuses.push_back({member.record.name, member.record.incarnation, member.status});
}

/// The queue stores the times of observations; messages carry their ages.
void convertTimesToAges(std::vector<GossipUpdate>& updates, Duration now) {
  for (auto& update : updates)
    if (update.kind == GossipUpdate::Kind::receivedFrom)
      update.observed = std::max(now - update.observed, Duration{});
}

}  // namespace

void Dissemination::announce(GossipUpdate::Kind kind, const MemberRecord& subject,
                             std::vector<Reporter> reporters) {
  if (reporters.size() > maxReporters) reporters.resize(maxReporters);
  queue_.add({kind, subject, std::move(reporters)});
}

void Dissemination::announceReceivedFrom(const MemberRecord& subject, const Reporter& reporter,
                                         Duration observedAt) {
  queue_.add({GossipUpdate::Kind::receivedFrom, subject, {reporter}, observedAt});
}

void Dissemination::publishStatus(const MemberStatus& status) {
  const auto version = ownStatus_.version + 1;
  ownStatus_ = status;
  ownStatus_.version = version;
}

void Dissemination::addOwnObservations(Message& message, const MemberTable& members) const {
  for (const auto& name : members.unreachable()) {
    if (message.unreachable.size() >= maxUnreachable) break;
    message.unreachable.push_back(name);
  }
  if (ownStatus_.version > 0)
    message.statuses.push_back({message.sender.name, message.sender.incarnation, ownStatus_});
}

std::string Dissemination::encodeState(Message message, bool hasLeft, const MemberTable& members) const {
  addOwnObservations(message, members);
  for (const auto& [name, member] : members.all()) {
    message.updates.push_back(toUpdate(member));
    addStatus(message, member);
  }
  if (hasLeft) message.updates.push_back({GossipUpdate::Kind::left, message.sender, {}});
  return encodeMessage(message, maxStateBytes).bytes;
}

std::string Dissemination::encodeDatagram(Message message, Duration now, const MemberTable& members,
                                          const ProbeRound& round, RandomSource& random) {
  addOwnObservations(message, members);
  message.updates = queue_.next(maxUpdates, message.recipient);
  const Member* const recipient = members.find(message.recipient);
  const bool isFirstAboutRecipient =
      !message.updates.empty() && message.updates.front().subject.name == message.recipient;
  if (recipient && recipient->state != MemberState::alive && !isFirstAboutRecipient)
    message.updates.insert(message.updates.begin(), toUpdate(*recipient));
  for (int i = 0; i < statusesOfOthers && !round.isEmpty(); ++i)
    if (const Member* const member = members.find(round.randomName(random))) addStatus(message, *member);
  convertTimesToAges(message.updates, now);
  auto encoded = encodeMessage(message, maxDatagramBytes - authenticationReserveBytes);
  queue_.markSent(message.updates, encoded.updateCount, members.admittedCount());
  return std::move(encoded.bytes);
}

}  // namespace rainhook::membership
