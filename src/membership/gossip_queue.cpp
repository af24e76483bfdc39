#include "membership/gossip_queue.h"

#include <utility>

namespace rainhook::membership {

void GossipQueue::add(GossipUpdate update) {
  const auto key = keyOf(update);
  erase(key);
  --newest_;
  order_.insert({0, newest_, key});
  entries_.emplace(key, Entry{std::move(update), 0, newest_});
}

void GossipQueue::remove(const MemberName& name) {
  erase({Topic::member, name.text});
  erase({Topic::receivedFrom, name.text});
}

std::vector<GossipUpdate> GossipQueue::next(std::size_t limit, const MemberName& first) const {
  std::vector<GossipUpdate> out;
  const Key firstKey{Topic::member, first.text};
  if (const auto it = entries_.find(firstKey); it != entries_.end()) out.push_back(it->second.update);
  for (const auto& rank : order_) {
    if (out.size() >= limit) break;
    if (rank.key != firstKey) out.push_back(entries_.at(rank.key).update);
  }
  return out;
}

void GossipQueue::markSent(const std::vector<GossipUpdate>& updates, std::size_t count,
                           std::size_t fleetSize) {
  const std::size_t limit = transmissions(fleetSize);
  for (std::size_t i = 0; i < count; ++i) {
    const auto it = entries_.find(keyOf(updates[i]));
    if (it == entries_.end()) continue;
    Entry& entry = it->second;
    order_.erase({entry.timesSent, entry.number, it->first});
    ++entry.timesSent;
    if (entry.timesSent >= limit)
      entries_.erase(it);
    else
      order_.insert({entry.timesSent, entry.number, it->first});
  }
}

GossipQueue::Key GossipQueue::keyOf(const GossipUpdate& update) {
  switch (update.kind) {
    case GossipUpdate::Kind::receivedFrom:
      return {Topic::receivedFrom, update.subject.name.text};
    case GossipUpdate::Kind::zoneUnreachable:
    case GossipUpdate::Kind::zoneDead:
      return {Topic::zone, update.subject.zone.text};
    default:
      return {Topic::member, update.subject.name.text};
  }
}

/// Each update is sent four times, and four more times for each factor of ten in the fleet size.
std::size_t GossipQueue::transmissions(std::size_t fleetSize) {
  constexpr std::size_t perDecade = 4;
  std::size_t out = perDecade;
  for (std::size_t size = fleetSize; size >= 10; size /= 10) out += perDecade;
  return out;
}

void GossipQueue::erase(const Key& key) {
  const auto it = entries_.find(key);
  if (it == entries_.end()) return;
  order_.erase({it->second.timesSent, it->second.number, key});
  entries_.erase(it);
}

}  // namespace rainhook::membership
