/// @file
/// The updates that are yet to be passed on. Each goes out a number of times that grows with the logarithm of
/// the fleet (SWIM, Das, Gupta and Motivala, DSN 2002, section 4.1); those sent least often go first.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "membership/types.h"

namespace rainhook::membership {

/// Holds one update for each member, one proof of life for each member and one update for each zone: a later
/// one replaces the earlier. Sending empties it.
class GossipQueue {
 public:
  /// Queues an update as one that was never sent, in place of an earlier one on the same topic.
  void add(GossipUpdate update);
  /// Drops what is queued about a member.
  void remove(const MemberName& name);
  /// The updates to send next, at most `limit` of them; one about `first` goes before all others.
  [[nodiscard]] std::vector<GossipUpdate> next(std::size_t limit, const MemberName& first) const;
  /// Counts the first `count` of these updates as sent once more, in a fleet of that size.
  void markSent(const std::vector<GossipUpdate>& updates, std::size_t count, std::size_t fleetSize);
  /// How many updates are yet to be passed on.
  [[nodiscard]] std::size_t size() const { return entries_.size(); }

 private:
  /// What an update is about. The order of the topics is the order among updates of equal rank.
  enum class Topic : char { receivedFrom = 'h', member = 'm', zone = 'z' };
  struct Key {
    Topic topic{};
    std::string name;
    // NOLINTNEXTLINE(modernize-use-nullptr): takes the zero inside of a defaulted comparison for a pointer
    auto operator<=>(const Key&) const = default;
  };
  struct Entry {
    GossipUpdate update;
    std::size_t timesSent = 0;
    std::int64_t number = 0;
  };
  /// Those sent least often first, among them the newest first.
  struct Rank {
    std::size_t timesSent = 0;
    std::int64_t number = 0;
    Key key;
    // NOLINTNEXTLINE(modernize-use-nullptr): takes the zero inside of a defaulted comparison for a pointer
    auto operator<=>(const Rank&) const = default;
  };
  static Key keyOf(const GossipUpdate& update);
  static std::size_t transmissions(std::size_t fleetSize);
  void erase(const Key& key);

  std::map<Key, Entry> entries_;
  std::set<Rank> order_;
  std::int64_t newest_ = 0;  ///< goes down, so that the newest ranks first
};

}  // namespace rainhook::membership
