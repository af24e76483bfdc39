/// @file
/// The queue of updates to send. Each update is sent a number of times that grows with the logarithm of the
/// fleet size (SWIM, Das, Gupta and Motivala, DSN 2002, section 4.1); the updates that were sent least often
/// go first.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "membership/types.h"

namespace rainhook::membership {

/// Holds one state update and one `receivedFrom` update for each member, and one update for each zone. A
/// later update replaces the earlier one. An update leaves the queue after its last transmission.
class GossipQueue {
 public:
  /// Queues an update as not sent yet; it replaces an earlier one with the same topic and name.
  void add(GossipUpdate update);
  /// Removes the updates about a member.
  void remove(const MemberName& name);
  /// Returns at most `limit` updates to send next; a state update about the member `first` comes before all
  /// others.
  [[nodiscard]] std::vector<GossipUpdate> next(std::size_t limit, const MemberName& first) const;
  /// Records that the first `count` of these updates were sent once more. The fleet size determines how often
  /// an update is sent.
  void markSent(const std::vector<GossipUpdate>& updates, std::size_t count, std::size_t fleetSize);
  /// Returns the number of updates that are still to be sent.
  [[nodiscard]] std::size_t size() const { return entries_.size(); }

 private:
  /// The topic of an update. The queue holds one update for each topic and name.
  enum class Topic : char { receivedFrom = 'h', member = 'm', zone = 'z' };
  struct Key {
    Topic topic{};
    std::string name;
    // NOLINTNEXTLINE(modernize-use-nullptr): false positive for a defaulted comparison, which contains a zero
    auto operator<=>(const Key&) const = default;
  };
  struct Entry {
    GossipUpdate update;
    std::size_t timesSent = 0;
    std::int64_t number = 0;  ///< the value of newest_ when the update was added
  };
  /// The order of sending: updates sent least often first, among those the newest first.
  struct Rank {
    std::size_t timesSent = 0;
    std::int64_t number = 0;
    Key key;
    // NOLINTNEXTLINE(modernize-use-nullptr): false positive for a defaulted comparison, which contains a zero
    auto operator<=>(const Rank&) const = default;
  };
  static Key keyOf(const GossipUpdate& update);
  static std::size_t transmissions(std::size_t fleetSize);
  void erase(const Key& key);

  std::map<Key, Entry> entries_;
  std::set<Rank> order_;
  std::int64_t newest_ = 0;  ///< decreases with each update, so that the newest ranks first
};

}  // namespace rainhook::membership
